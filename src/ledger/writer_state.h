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
        settled,    ///< read from a window, or finished at this gate
        writing,    ///< `begun` is being recorded
        dispatched, ///< may be running
        abandoned,  ///< was dispatched, outcome unknown
    };
    record known;
    phase stage = phase::settled;
    std::vector<writer::on_decision> waiting; ///< while writing, the first one is the request itself
    time_point expires;
};

/// A begin() or look_up() call, which may have to wait until its shard is fenced.
struct waiting_begin {
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
    std::vector<waiting_begin> waiting_for_fence;
    std::unordered_map<std::string, key_entry> keys;
};

/// Requests to all replicas of a shard whose replies are counted.
struct operation {
    enum class type : std::uint8_t { fence, begin, finish, cleanup };
    type kind = type::cleanup;
    std::uint64_t id = 0;
    shard_id shard;
    std::uint64_t epoch = 0;
    record wanted;
    std::vector<std::string> replicas;
    std::set<std::string> replied; ///< each replica counts once, however often it replies
    std::set<std::string> accepted;
    bool decided = false;         ///< has a majority; a fence then still waits for the last window
    bool begun_elsewhere = false; ///< a replica holds `begun` of another gate
    int resends_left = 0;
    time_point started;
    std::unordered_map<std::string, record> window;
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

    /// Requests to send and callbacks to run. Callbacks run last, since they may call the writer again.
    struct effects {
        std::vector<replica_request> messages;
        std::vector<std::function<void()>> calls;

        void decide(const on_decision& done, verdict result, std::optional<record> known = {});
        std::vector<replica_request> run();
    };

    void begin(const waiting_begin& request, const std::vector<std::string>& replicas, effects& out);
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
    void change_configuration(gate_shard& shard, const shard_id& id, std::uint64_t epoch,
                              const std::vector<std::string>& replicas, effects& out);
    void start_fence(gate_shard& shard, const shard_id& id, effects& out);
    void process_request(gate_shard& shard, const shard_id& id, const waiting_begin& request, effects& out);
    static void report_known(const gate_shard& shard, const waiting_begin& request, effects& out);
    void start_begin(gate_shard& shard, const shard_id& id, const waiting_begin& request, effects& out);
    operation& start_operation(operation wanted, effects& out);
    void send(const operation& wanted, effects& out) const;
    void evaluate(operation& current, effects& out);
    void evaluate_begin(operation& current, effects& out);
    void evaluate_finish(operation& current, effects& out);
    void evaluate_fence(operation& current, effects& out);
    void end_with_existing(operation& current, const record& existing, effects& out);
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
