#include "app/body_gate.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <vector>

namespace kingcupseam::app {

namespace {

constexpr std::size_t max_short_bytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds check_interval{100};

} // namespace

incoming_body::~incoming_body() {
    gate->forget(*this);
}

body_gate::body_gate(asio::io_context& context, admission::body_budget_options settings,
                     metrics::registry& registry)
    : budget_(settings), timer_(context),
      bytes_(registry.gauge_of("long_body_bytes", "bytes of long request bodies that are held")),
      waits_(registry.counter_of("long_body_waits_total", "times that the receipt of a body was held back")),
      refused_(registry.counter_of("long_bodies_refused_total", "bodies refused for lack of memory")),
      stalled_(registry.counter_of("long_bodies_stalled_total",
                                   "connections closed because their body stalled while others waited")) {}

void body_gate::on_bytes(incoming_body& it, std::size_t n) {
    if (it.id != 0) {
        budget_.grow(it.id, n);
    } else if (it.received->size() + n > max_short_bytes) {
        it.id = budget_.add(it.received->size() + n);
        unfinished_.emplace(it.id, &it);
    } else {
        return;
    }
    bytes_.set(static_cast<std::int64_t>(budget_.used()));
}

bool body_gate::may_receive(const incoming_body& it) {
    if (it.id == 0 || budget_.may_receive(it.id, steady_now())) {
        return true;
    }
    waits_.add();
    schedule_check();
    return false;
}

std::shared_ptr<void> body_gate::complete(incoming_body& it) {
    const auto id = std::exchange(it.id, 0);
    it.received = nullptr;
    if (id == 0) {
        return nullptr;
    }
    unfinished_.erase(id);
    budget_.complete(id);
    return {static_cast<void*>(this), [self = shared_from_this(), id](void*) { self->give_back(id); }};
}

void body_gate::forget(incoming_body& it) {
    const auto id = std::exchange(it.id, 0);
    if (id != 0) {
        unfinished_.erase(id);
        give_back(id);
    }
}

void body_gate::stop() {
    timer_.cancel();
    for (const auto& [id, it] : std::exchange(unfinished_, {})) {
        const auto dropped = std::exchange(it->resume, nullptr);
    }
}

void body_gate::give_back(admission::body_budget::body_id id) {
    budget_.remove(id);
    bytes_.set(static_cast<std::int64_t>(budget_.used()));
    resume_waiting();
}

void body_gate::resume_waiting() {
    if (budget_.waiting() == 0) {
        return;
    }
    for (const auto id : budget_.take_resumable()) {
        if (const auto found = unfinished_.find(id); found != unfinished_.end()) {
            if (const auto resume = std::exchange(found->second->resume, nullptr)) {
                resume();
            }
        }
    }
}

void body_gate::schedule_check() {
    if (checking_) {
        return;
    }
    checking_ = true;
    timer_.expires_after(check_interval);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
        if (const auto self = weak.lock(); self && !ec) {
            self->checking_ = false;
            self->check();
        }
    });
}

void body_gate::check() {
    const auto expired = budget_.find_expired(steady_now());
    for (const auto id : expired.stalled) {
        if (const auto found = unfinished_.find(id); found != unfinished_.end()) {
            disconnect(*found->second);
        }
    }
    for (const auto id : expired.refused) {
        // The bytes of a stalled body may have let it go on.
        const auto found = unfinished_.find(id);
        if (found != unfinished_.end() && found->second->resume) {
            refuse(*found->second);
        }
    }
    if (budget_.waiting() > 0) {
        schedule_check();
    }
}

void body_gate::refuse(incoming_body& it) {
    spdlog::info("request body refused reason=no-memory received={} held={}", it.received->size(),
                 budget_.used());
    refused_.add();
    it.refused = true;
    std::string().swap(*it.received); // clear() would keep the memory
    const auto resume = std::exchange(it.resume, nullptr);
    forget(it);
    resume();
}

void body_gate::disconnect(incoming_body& it) {
    spdlog::info("connection closed reason=body-stalled received={} held={}", it.received->size(),
                 budget_.used());
    stalled_.add();
    std::string().swap(*it.received);
    it.refused = true; // what still arrives is discarded
    asio::error_code ignored;
    it.socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    forget(it);
}

} // namespace kingcupseam::app
