#pragma once

#include "app/run_record.h"
#include "app/stand_in_options.h"
#include "app/stand_in_server.h"

#include <kingcupseam/ownership.h>

#include <asio.hpp>

#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace kingcupseam::app {

/// A request to run, with the fields of its headers (docs/protocol.md).
struct stand_in_task {
    http_request request;
    stand_in_connection_ptr connection;
    std::string id;
    std::string key;
    std::string service;
    std::string idempotency_key;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    time_point deadline = time_point::max();
    std::uint64_t execution = 0; ///< number of this execution of the key, from 1; set when it starts
};

/// Totals since the start of the process.
struct stand_in_counts {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused_grant = 0;     ///< no live grant for the key
    std::uint64_t refused_deadline = 0;  ///< the deadline passed before the start
    std::uint64_t refused_cancelled = 0; ///< cancelled before the request arrived
    std::uint64_t shed = 0;              ///< too many requests waited already
    std::uint64_t reset = 0;             ///< likewise, and their connections were reset
    std::uint64_t cancelled = 0;         ///< cancelled while the request waited
    std::uint64_t late = 0;              ///< answers that the fault of this name hit
    std::uint64_t crossed = 0;           ///< likewise
    std::uint64_t cut_off = 0;           ///< likewise
};

/// Model of an upstream's request execution: runs requests in a limited number of slots, queues or sheds the
/// others, and refuses those that the current grant does not cover.
class stand_in_worker {
public:
    stand_in_worker(asio::io_context& context, const stand_in_options& settings);

    /// Runs, queues or refuses a request, and answers it on its connection.
    void submit(stand_in_task task);
    /// @returns the state that docs/protocol.md lists for /kcs/cancel
    std::string cancel(const std::string& request_id);
    /// Receives a grant and records it. The caller must acknowledge it only in the callback of
    /// wait_for_revoked_runs().
    ownership::grant_holder::reply receive_grant(std::uint64_t epoch, std::uint64_t version, duration lease,
                                                 const std::string& token,
                                                 const std::optional<grant_scope>& scope);
    /// Calls @p callback when no running request has a key outside the grant any more; at once when none has.
    void wait_for_revoked_runs(std::function<void()> callback);

    ownership::grant_holder& holder() noexcept { return holder_; }
    const ownership::grant_holder& holder() const noexcept { return holder_; }
    active_faults& faults() noexcept { return faults_; }
    /// True when the last accepted grant covers any shard or hot key, whether or not it is still live.
    bool grant_covers_keys() const { return !scope_.shards.empty() || !scope_.hot_keys.empty(); }
    const stand_in_counts& counts() const noexcept { return counts_; }
    /// Number of running requests.
    std::size_t running() const noexcept { return running_.size(); }
    /// Number of requests that wait for a slot.
    std::size_t waiting() const noexcept { return waiting_.size(); }
    /// Number of different keys of which a request has started.
    std::size_t executed_keys() const noexcept { return executions_.size(); }

private:
    struct running_task {
        stand_in_task task;
        asio::steady_timer timer;
    };

    void start_waiting_tasks();
    /// Refuses the task and returns false when it must not start.
    bool admit(const stand_in_task& task);
    void start(stand_in_task task);
    void finish(std::list<running_task>::iterator run);
    void send_answer(const stand_in_task& task);
    void refuse(const stand_in_task& task, int status, const char* reason);
    void record_run_event(const stand_in_task& task, bool start, time_point at);
    void record_grant_event(bool with_scope, time_point at);
    bool is_outside_grant(const stand_in_task& task) const;
    /// Calls the held callbacks of wait_for_revoked_runs() when no revoked request runs any more.
    void release_held_callbacks();
    void remember(std::unordered_set<std::string>& ids, const std::string& id);

    asio::io_context& context_;
    const stand_in_options settings_;
    ownership::grant_holder holder_;
    grant_scope scope_;
    time_point recorded_until_ = time_point::min(); ///< end of the lease in the last recorded grant
    run_recorder recorder_;
    service_time_source service_times_;
    active_faults faults_;
    std::list<running_task> running_;
    std::deque<stand_in_task> waiting_;
    std::unordered_map<std::string, std::uint64_t> executions_; ///< by key
    std::unordered_set<std::string> finished_ids_;
    std::unordered_set<std::string> cancelled_ids_;
    std::vector<std::function<void()>> held_callbacks_;
    std::optional<http_response> last_answer_; ///< sent again by the fault `crossed`
    stand_in_counts counts_;
};

} // namespace kingcupseam::app
