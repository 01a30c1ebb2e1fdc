#pragma once

#include <kingcupseam/ledger.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace kingcupseam::ledger {

using shard_id = std::pair<std::string, std::uint32_t>;

/// What the gate knows about a key of its shard.
struct key_entry {
    enum class phase : std::uint8_t {
        settled,    ///< read from a window, or ended at this gate
        writing,    ///< `begun` is being recorded
        dispatched, ///< may be running
        abandoned,  ///< was dispatched, outcome unknown
    };
    record known; ///< latest record of the key that this gate has read or written
    phase stage = phase::settled;
    std::vector<writer::on_decision> waiting; ///< while writing, the first one is the request itself
    time_point expires;
};

/// Arguments of a begin() or look_up() call, kept while the shard is not fenced yet.
struct key_request {
    record wanted;
    writer::on_decision done;
    bool lookup_only = false; ///< of look_up(): records nothing
};

/// A shard of which this process is or was the gate.
struct gate_shard {
    std::uint64_t epoch = 0;
    bool fenced = false;
    std::uint64_t fence_operation = 0; ///< 0 if none is in progress
    std::vector<std::string> replicas;
    std::vector<key_request> waiting_for_fence;
    std::unordered_map<std::string, key_entry> keys;
};

/// A fence or write that is sent to all replicas of a shard, and the replies to it. `cleanup` writes a
/// `not_run` record after a failed `begin`.
struct operation {
    enum class type : std::uint8_t { fence, begin, finish, cleanup };
    type kind = type::cleanup;
    std::uint64_t id = 0;
    shard_id shard;
    std::uint64_t epoch = 0;
    record to_write; ///< unused by a fence
    std::vector<std::string> replicas;
    std::set<std::string> replied; ///< each replica counts once, however often it replies
    std::set<std::string> accepted;
    bool decided = false;         ///< of a fence: has a majority, and still waits for the last window
    bool begun_elsewhere = false; ///< a replica holds `begun` of another gate
    int resends_left = 0;
    time_point started;
    std::unordered_map<std::string, record> window; ///< of a fence: merged records by key
    writer::on_done done;

    std::size_t majority() const { return replicas.size() / 2 + 1; }
    bool has_majority() const { return accepted.size() >= majority(); }
    bool all_replied() const { return replied.size() == replicas.size(); }
    bool cannot_succeed() const { return accepted.size() + (replicas.size() - replied.size()) < majority(); }
    /// @returns true if this is the first reply of one of the replicas
    bool count_reply(const std::string& from, bool accepts);
};

struct writer::state {
    state(duration timeout, duration replica_retention)
        : operation_timeout(timeout), retention(replica_retention + replica_retention / 4) {}
    void set_retention(duration replica_retention);

    /// Requests to send and callbacks to run. The callbacks run last, since they may call the writer again.
    struct effects {
        std::vector<replica_request> messages;
        std::vector<std::function<void()>> callbacks;

        void decide(const on_decision& done, verdict result, std::optional<record> known = {});
        /// Runs the callbacks. @returns the requests to send
        std::vector<replica_request> run();
    };

    /// Processes a request now, or once its shard is fenced.
    void process_request(const key_request& request, const std::vector<std::string>& replicas, effects& out);
    void finish(const record& result, const on_done& done, effects& out);
    void abandon(const shard_id& id, const std::string& key, effects& out);
    void on_write_reply(std::uint64_t id, const std::string& from, const write_result& reply, effects& out);
    void on_fence_reply(std::uint64_t id, const std::string& from, const fence_result& reply, effects& out);
    void on_replica_failed(std::uint64_t id, const std::string& from, effects& out);
    void expire_operations(effects& out);
    void drop_expired_keys();

    duration operation_timeout;
    duration retention;
    time_point now;
    std::map<std::uint64_t, operation> operations; ///< in the order in which they started
    std::map<shard_id, gate_shard> shards;

private:
    /// Sets the epoch and the replicas of a shard; it must be fenced again.
    void change_configuration(gate_shard& shard, const shard_id& id, std::uint64_t epoch,
                              const std::vector<std::string>& replicas, effects& out);
    void start_fence(gate_shard& shard, const shard_id& id, effects& out);
    void process_fenced_request(gate_shard& shard, const shard_id& id, const key_request& request,
                                effects& out);
    static void decide_lookup(const gate_shard& shard, const key_request& request, effects& out);
    void start_begin(gate_shard& shard, const shard_id& id, const key_request& request, effects& out);
    operation& start_operation(operation new_operation, effects& out);
    void send(const operation& to_send, effects& out) const;
    void evaluate(operation& current, effects& out);
    void evaluate_begin(operation& current, effects& out);
    void evaluate_finish(operation& current, effects& out);
    void evaluate_fence(operation& current, effects& out);
    void end_with_existing(operation& current, const record& existing, effects& out);
    /// Ends a begin without dispatch: all waiting requests of the key get @p result.
    void settle_begin(const operation& current, verdict result, const record& known, effects& out);
    void clean_up(const operation& failed, effects& out);
    void end_as_stale(operation& current, effects& out);
    void merge_window(gate_shard& shard, const operation& fence);
    void reset_fence(gate_shard& shard, verdict result, effects& out);
    void schedule_expiry(gate_shard& shard, const shard_id& id, const std::string& key);
    bool resend(operation& current, effects& out);

    struct key_expiry {
        time_point at;
        shard_id shard;
        std::string key;
    };
    std::deque<key_expiry> expiries_;
    std::uint64_t last_operation_ = 0;
    std::uint64_t last_attempt_ = 0;
};

} // namespace kingcupseam::ledger
