#include "admission/slot_meter.h"

#include <kingcupseam/admission.h>

#include <deque>
#include <unordered_map>

namespace kingcupseam::admission {
namespace {

class fifo_queue final : public queue {
public:
    explicit fifo_queue(const queue_options& settings) : meter_(settings.slots) {
        set_policy(settings.ranks);
    }

    admit_result admit(const queued_request& request, time_point now) override {
        if (waiting_.size() >= max_waiting_) {
            return admit_result::queue_full;
        }
        if (request.deadline <= now) {
            return admit_result::would_miss_deadline;
        }
        waiting_.push_back(request);
        return admit_result::admitted;
    }

    std::optional<queued_request> next(time_point now, std::vector<queued_request>& expired) override {
        advance(now);
        while (!waiting_.empty() && waiting_.front().deadline <= now) {
            expired.push_back(waiting_.front());
            waiting_.pop_front();
        }
        if (waiting_.empty() || exclusive_running_ || !meter_.has_free_slot(running()) ||
            (waiting_.front().exclusive && !running_.empty())) {
            return std::nullopt;
        }
        const queued_request result = waiting_.front();
        waiting_.pop_front();
        running_[result.id] = result.exclusive;
        exclusive_running_ = result.exclusive;
        return result;
    }

    void finished(std::uint64_t id, std::optional<duration> /*service_time*/, time_point now) override {
        advance(now);
        const auto it = running_.find(id);
        if (it != running_.end()) {
            exclusive_running_ = exclusive_running_ && !it->second;
            running_.erase(it);
        }
    }

    bool cancel(std::uint64_t id) override {
        const auto it =
            std::find_if(waiting_.begin(), waiting_.end(), [&](const auto& t) { return t.id == id; });
        if (it == waiting_.end()) {
            return false;
        }
        waiting_.erase(it);
        return true;
    }

    void set_slots(double slots) override { meter_.set_slots(slots); }
    void set_policy(const std::array<rank_policy, rank_count>& ranks) override {
        max_waiting_ = 0;
        for (const auto& it : ranks) {
            max_waiting_ += it.max_waiting;
        }
    }
    std::uint32_t running() const noexcept override { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting(rank value) const noexcept override {
        return static_cast<std::uint32_t>(std::count_if(
            waiting_.begin(), waiting_.end(), [&](const auto& it) { return it.priority == value; }));
    }
    bool saturated(rank /*value*/, duration /*deadline*/, time_point /*now*/) const override {
        return waiting_.size() >= max_waiting_;
    }
    std::vector<queued_request> drain() override {
        std::vector<queued_request> all(waiting_.begin(), waiting_.end());
        waiting_.clear();
        return all;
    }

private:
    void advance(time_point now) {
        if (now > advanced_to_) {
            meter_.advance(started_ ? double((now - advanced_to_).count()) : 0.0, running());
            advanced_to_ = now;
            started_ = true;
        }
    }

    slot_meter meter_;
    std::size_t max_waiting_ = 0;
    std::deque<queued_request> waiting_;
    std::unordered_map<std::uint64_t, bool> running_; ///< whether each running request is exclusive
    bool exclusive_running_ = false;
    bool started_ = false;
    time_point advanced_to_{time_point::min()};
};

} // namespace

std::unique_ptr<queue> make_fifo_queue(const queue_options& settings) {
    return std::make_unique<fifo_queue>(settings);
}

} // namespace kingcupseam::admission
