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

/// A request as docs/protocol.md describes it.
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
    std::uint64_t execution = 0; ///< of its key, counting this one; set at the start
};

struct stand_in_counts {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused_grant = 0;
    std::uint64_t refused_deadline = 0;
    std::uint64_t refused_cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t late = 0;
    std::uint64_t crossed = 0;
    std::uint64_t cut_off = 0;
};

/// Runs requests in a limited number of slots under the grant that the holder has.
class stand_in_worker {
public:
    stand_in_worker(asio::io_context& context, const stand_in_options& settings);

    void submit(stand_in_task task);
    /// @returns the state that docs/protocol.md lists for /kcs/cancel
    std::string cancel(const std::string& request_id);
    /// Takes a grant and records it. A reply must wait until no key outside of the grant runs.
    ownership::grant_holder::reply receive_grant(std::uint64_t epoch, std::uint64_t version, duration lease,
                                                 const std::string& token,
                                                 const std::optional<grant_scope>& scope);
    /// Calls @p then once no request runs whose key is not granted.
    void after_revoked_runs(std::function<void()> then);

    ownership::grant_holder& holder() noexcept { return holder_; }
    const ownership::grant_holder& holder() const noexcept { return holder_; }
    active_faults& faults() noexcept { return faults_; }
    bool holds_keys() const { return !scope_.shards.empty() || !scope_.hot_keys.empty(); }
    const stand_in_counts& counts() const noexcept { return counts_; }
    std::size_t running() const noexcept { return running_.size(); }
    std::size_t waiting() const noexcept { return waiting_.size(); }
    std::size_t keys() const noexcept { return executions_.size(); }

private:
    struct granted_run {
        stand_in_task task;
        asio::steady_timer timer;
    };

    void start_waiting();
    bool may_start(const stand_in_task& task);
    void start(stand_in_task task);
    void finish(std::list<granted_run>::iterator run);
    void send_answer(const stand_in_task& task);
    void refuse(const stand_in_task& task, int status, const char* reason);
    void record_run_event(const stand_in_task& task, bool start, time_point at);
    void record_grant_event(bool with_scope, time_point at);
    bool outside_grant(const stand_in_task& task) const;
    void release_held_replies();
    void remember(std::unordered_set<std::string>& ids, const std::string& id);

    asio::io_context& context_;
    const stand_in_options settings_;
    ownership::grant_holder holder_;
    grant_scope scope_;
    time_point recorded_until_ = time_point::min();
    run_recorder recorder_;
    service_time_source service_times_;
    active_faults faults_;
    std::list<granted_run> running_;
    std::deque<stand_in_task> waiting_;
    std::unordered_map<std::string, std::uint64_t> executions_;
    std::unordered_set<std::string> finished_ids_;
    std::unordered_set<std::string> cancelled_ids_;
    std::vector<std::function<void()>> held_replies_;
    std::optional<http_response> last_answer_;
    stand_in_counts counts_;
};

} // namespace kingcupseam::app
