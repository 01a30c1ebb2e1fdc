#include "app/stand_in_worker.h"

#include "app/stand_in_answer.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace kingcupseam::app {

namespace {

constexpr std::size_t max_remembered_ids = 100'000;
constexpr int crash_exit_code = 70;

} // namespace

stand_in_worker::stand_in_worker(asio::io_context& context, const stand_in_options& settings)
    : context_(context), settings_(settings), holder_(std::random_device{}()), recorder_(settings.record),
      service_times_(settings, steady_now()), faults_(settings.seed + 1) {
    recorder_.append(
        {steady_now(), process_start_event{settings_.name, settings_.service,
                                           static_cast<std::uint64_t>(::getpid()), settings_.checks_grants}});
}

void stand_in_worker::submit(stand_in_task task) {
    if (!admit(task)) {
        return;
    }
    if (running_.size() < settings_.slots) {
        start(std::move(task));
    } else if (waiting_.size() < settings_.max_waiting) {
        waiting_.push_back(std::move(task));
    } else if (settings_.resets_when_full) {
        ++counts_.reset;
        task.connection->reset();
    } else {
        ++counts_.shed;
        refuse(task, 503, "shed");
    }
}

/// Reads the clock again for each start, because the process may have been stopped since the last reading.
bool stand_in_worker::admit(const stand_in_task& task) {
    const auto now = steady_now();
    if (cancelled_ids_.count(task.id) > 0) {
        ++counts_.refused_cancelled;
        refuse(task, 503, "shed");
        return false;
    }
    if (settings_.checks_grants &&
        holder_.check(task.epoch, task.shard, task.key, now) != ownership::grant_refusal::none) {
        ++counts_.refused_grant;
        refuse(task, 421, "grant");
        return false;
    }
    if (now >= task.deadline) {
        ++counts_.refused_deadline;
        refuse(task, 504, "deadline");
        return false;
    }
    return true;
}

void stand_in_worker::start(stand_in_task task) {
    const auto now = steady_now();
    ++counts_.started;
    task.execution = ++executions_[task.key];
    record_run_event(task, true, now);
    const bool has_crash_prefix =
        !settings_.crash_prefix.empty() &&
        task.key.compare(0, settings_.crash_prefix.size(), settings_.crash_prefix) == 0;
    if (has_crash_prefix || task.request.header("X-Crash") == "1") {
        ::_exit(crash_exit_code);
    }
    running_.push_back({std::move(task), asio::steady_timer(context_, service_times_.next(now))});
    const auto it = std::prev(running_.end());
    it->timer.async_wait([this, it](const asio::error_code& ec) {
        if (!ec) {
            finish(it);
        }
    });
}

void stand_in_worker::finish(std::list<running_task>::iterator run) {
    const stand_in_task task = std::move(run->task);
    running_.erase(run);
    ++counts_.finished;
    record_run_event(task, false, steady_now());
    remember(finished_ids_, task.id);
    release_held_callbacks();
    send_answer(task);
    start_waiting_tasks();
}

void stand_in_worker::start_waiting_tasks() {
    while (!waiting_.empty() && running_.size() < settings_.slots) {
        auto task = std::move(waiting_.front());
        waiting_.pop_front();
        if (admit(task)) {
            start(std::move(task));
        }
    }
}

void stand_in_worker::send_answer(const stand_in_task& task) {
    const auto now = steady_now();
    http_response response;
    response.headers = {{"Content-Type", "application/json"},
                        {"Kingcupseam-Request-Id", task.id},
                        {"Kingcupseam-Token", holder_.issue_token(now)}};
    response.body = encode_answer({task.key, task.idempotency_key, task.request.method, task.request.path(),
                                   settings_.name, task.execution},
                                  settings_.answer_bytes);
    const auto own_answer = response;
    if (faults_.hits(fault_kind::crossed, now) && last_answer_) {
        ++counts_.crossed;
        response = *last_answer_;
    }
    last_answer_ = own_answer;
    const bool cut = faults_.hits(fault_kind::cut_off, now);
    counts_.cut_off += cut ? 1 : 0;
    const auto damage = cut ? answer_damage::cut_off : answer_damage::none;
    if (!faults_.hits(fault_kind::late, now)) {
        task.connection->answer(response, damage);
        return;
    }
    ++counts_.late;
    auto timer = std::make_shared<asio::steady_timer>(context_, settings_.late_by);
    timer->async_wait([timer, response, damage, connection = task.connection](const asio::error_code& ec) {
        if (!ec) {
            connection->answer(response, damage);
        }
    });
}

void stand_in_worker::refuse(const stand_in_task& task, int status, const char* reason) {
    http_response response;
    response.status = status;
    response.headers = {{"Kingcupseam-Request-Id", task.id},
                        {"Kingcupseam-Not-Started", reason},
                        {"Kingcupseam-Token", holder_.issue_token(steady_now())}};
    task.connection->answer(response, answer_damage::none);
}

std::string stand_in_worker::cancel(const std::string& request_id) {
    const auto waiting_task = std::find_if(waiting_.begin(), waiting_.end(),
                                           [&](const stand_in_task& it) { return it.id == request_id; });
    if (waiting_task != waiting_.end()) {
        const auto task = std::move(*waiting_task);
        waiting_.erase(waiting_task);
        ++counts_.cancelled;
        remember(cancelled_ids_, request_id);
        refuse(task, 503, "shed");
        return "cancelled";
    }
    const bool is_running = std::any_of(running_.begin(), running_.end(),
                                        [&](const running_task& it) { return it.task.id == request_id; });
    if (is_running) {
        return "running";
    }
    if (finished_ids_.count(request_id) > 0) {
        return "finished";
    }
    const bool cancelled_before = cancelled_ids_.count(request_id) > 0;
    remember(cancelled_ids_, request_id);
    return cancelled_before ? "cancelled" : "not-seen";
}

void stand_in_worker::remember(std::unordered_set<std::string>& ids, const std::string& id) {
    if (ids.size() >= max_remembered_ids) {
        ids.clear(); // an id is looked up only for seconds, so dropping all at once is harmless
    }
    ids.insert(id);
}

ownership::grant_holder::reply stand_in_worker::receive_grant(std::uint64_t epoch, std::uint64_t version,
                                                              duration lease, const std::string& token,
                                                              const std::optional<grant_scope>& scope) {
    const auto now = steady_now();
    const auto held_version = holder_.version();
    const auto reply = holder_.receive(epoch, version, lease, token, scope, now);
    const bool changed =
        reply == ownership::grant_holder::reply::accepted && scope && held_version != version;
    if (changed) {
        scope_ = *scope;
    }
    if (changed || holder_.live_until() != recorded_until_) {
        record_grant_event(changed, now);
    }
    return reply;
}

void stand_in_worker::record_grant_event(bool with_scope, time_point at) {
    recorded_until_ = holder_.live_until();
    grant_event line;
    line.until = std::max(recorded_until_, time_point{});
    line.epoch = holder_.epoch();
    if (with_scope) {
        line.scope = scope_;
    }
    recorder_.append({at, line});
}

void stand_in_worker::record_run_event(const stand_in_task& task, bool start, time_point at) {
    recorder_.append({at, run_event{start, task.service, task.key, task.shard, task.id, task.idempotency_key,
                                    task.epoch, task.request.method}});
}

bool stand_in_worker::is_outside_grant(const stand_in_task& task) const {
    if (scope_.hot_keys.count(task.key) > 0) {
        return false;
    }
    const bool in_ranges = std::any_of(scope_.shards.begin(), scope_.shards.end(), [&](const auto& it) {
        return it.first <= task.shard && task.shard <= it.second;
    });
    return !in_ranges || scope_.moved_keys.count(task.key) > 0;
}

void stand_in_worker::wait_for_revoked_runs(std::function<void()> callback) {
    held_callbacks_.push_back(std::move(callback));
    release_held_callbacks();
}

void stand_in_worker::release_held_callbacks() {
    const bool revoked_task_runs = std::any_of(running_.begin(), running_.end(),
                                               [this](const auto& it) { return is_outside_grant(it.task); });
    if (!revoked_task_runs) {
        for (const auto& it : std::exchange(held_callbacks_, {})) {
            it();
        }
    }
}

} // namespace kingcupseam::app
