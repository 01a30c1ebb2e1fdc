#pragma once

#include <kingcupseam/ownership.h>

#include <deque>

namespace kingcupseam::ownership {

/// Inputs of one plan, with what is derived from them once.
struct plan_input {
    plan_input(const table& current, const cluster_view& seen, time_point at, const planner_options& options);

    const table& rows;
    const cluster_view& view;
    time_point now;
    const planner_options& settings;
    /// Weight by upstream index: slots after the ramp; 0 for an upstream that gets no shards.
    std::vector<double> weights;

    /// True once no grant can let the owner of @p row run it any more.
    bool grant_ended(const shard_row& row) const;
    /// Upstream that has the row or is to get it; no_upstream when it is free or not at home here.
    std::uint32_t intended_owner(const shard_row& row) const;
    /// True when @p row needs another target now: no holder that may keep it, and no grant to wait for.
    bool needs_new_target(const shard_row& row) const;
    /// Upstreams of the service that may get shards.
    std::vector<std::uint32_t> eligible_upstreams(const std::string& service) const;

private:
    double target_weight(const upstream_row& row) const;
    void exclude_returned_incarnations();
};

/// Collects moves of one service by target.
class move_list {
public:
    explicit move_list(std::string service) : service_(std::move(service)) {}
    void add_begin(const std::string& to, std::uint32_t shard) { begins_[to].shards.push_back(shard); }
    void add_begin(const std::string& to, const std::string& key) { begins_[to].hot_keys.push_back(key); }
    void add_completion(const std::string& to, std::uint32_t shard) {
        completions_[to].shards.push_back(shard);
    }
    void add_completion(const std::string& to, const std::string& key) {
        completions_[to].hot_keys.push_back(key);
    }
    /// Appends one command per target; completions come first, since their keys are without owner.
    void append_to(std::vector<command>& out) const;

private:
    struct moves {
        std::vector<std::uint32_t> shards;
        std::vector<std::string> hot_keys;
    };
    std::string service_;
    std::map<std::string, moves> begins_;
    std::map<std::string, moves> completions_;
};

/// Shards that each weight is due: the exact share rounded down or up, rounded up first where @p current
/// already has more, which needs the fewest moves.
std::vector<std::uint32_t> fair_shares(const std::vector<double>& weights,
                                       const std::vector<std::uint32_t>& current, std::uint32_t total);

void plan_shards(const plan_input& input, const std::string& name, const service_rows& service,
                 move_list& moves);

/// Moves single hot keys with a limit per period; remembers its recent moves.
class hot_key_planner {
public:
    void plan(const plan_input& input, const std::string& name, const service_rows& service,
              move_list& moves);

private:
    struct loads;
    bool take_budget(const plan_input& input);
    void rescue(const plan_input& input, const service_rows& service, loads& seen, move_list& moves) const;
    void spread(const plan_input& input, const service_rows& service, loads& seen, move_list& moves);
    void return_cold(const plan_input& input, const std::string& name, const service_rows& service,
                     const loads& seen, move_list& moves);

    std::deque<time_point> recent_;
    std::map<std::pair<std::string, std::string>, time_point> cold_since_;
};

void plan_gates(const plan_input& input, std::vector<command>& out);
void plan_ledger_groups(const plan_input& input, std::vector<command>& out);

} // namespace kingcupseam::ownership
