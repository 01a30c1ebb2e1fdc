#include <kingcupseam/admission.h>

#include <algorithm>
#include <map>

namespace kingcupseam::admission {

namespace {

enum class phase : std::uint8_t { receiving, waiting, complete };

struct counted_body {
    std::size_t bytes = 0;
    phase now_in = phase::receiving;
    time_point waiting_since;
    std::uint32_t checks = 0; ///< since the mark
    std::size_t bytes_at_mark = 0;
};

} // namespace

struct body_budget::state {
    body_budget_options settings;
    std::map<body_id, counted_body> bodies; ///< oldest first
    body_id next_id = 1;
    std::size_t used = 0;
    std::size_t waiting = 0;

    bool has_room_for(body_id id) const { return used < settings.max_bytes || id == bodies.begin()->first; }
    void end_wait(counted_body& it) {
        it.now_in = phase::receiving;
        it.checks = 0;
        it.bytes_at_mark = it.bytes;
        --waiting;
    }
};

body_budget::body_budget(body_budget_options settings) : state_(std::make_shared<state>()) {
    state_->settings = settings;
}

body_budget::body_id body_budget::add(std::size_t bytes) {
    const body_id id = state_->next_id++;
    state_->bodies.emplace(id, counted_body{bytes, phase::receiving, {}, 0, bytes});
    state_->used += bytes;
    return id;
}

void body_budget::grow(body_id id, std::size_t bytes) {
    state_->bodies.at(id).bytes += bytes;
    state_->used += bytes;
}

bool body_budget::may_receive(body_id id, time_point now) {
    if (state_->has_room_for(id)) {
        return true;
    }
    auto& it = state_->bodies.at(id);
    it.now_in = phase::waiting;
    it.waiting_since = now;
    ++state_->waiting;
    return false;
}

void body_budget::complete(body_id id) {
    state_->bodies.at(id).now_in = phase::complete;
}

void body_budget::remove(body_id id) {
    const auto found = state_->bodies.find(id);
    if (found == state_->bodies.end()) {
        return;
    }
    state_->used -= found->second.bytes;
    state_->waiting -= found->second.now_in == phase::waiting ? 1 : 0;
    state_->bodies.erase(found);
}

std::vector<body_budget::body_id> body_budget::take_resumable() {
    std::vector<body_id> result;
    for (auto& [id, it] : state_->bodies) {
        if (state_->waiting == 0 || !state_->has_room_for(id)) {
            break;
        }
        if (it.now_in == phase::waiting) {
            state_->end_wait(it);
            result.push_back(id);
        }
    }
    return result;
}

body_budget::expired body_budget::find_expired(time_point now) {
    expired result;
    if (state_->waiting == 0) {
        return result;
    }
    const auto& settings = state_->settings;
    for (auto& [id, it] : state_->bodies) {
        if (it.now_in == phase::waiting && now - it.waiting_since >= settings.max_wait) {
            result.refused.push_back(id);
        } else if (it.now_in == phase::receiving && ++it.checks >= settings.progress_checks) {
            if (it.bytes - it.bytes_at_mark < settings.min_progress) {
                result.stalled.push_back(id);
            }
            it.checks = 0;
            it.bytes_at_mark = it.bytes;
        }
    }
    return result;
}

std::size_t body_budget::used() const {
    return state_->used;
}

std::size_t body_budget::waiting() const {
    return state_->waiting;
}

} // namespace kingcupseam::admission
