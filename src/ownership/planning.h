#pragma once

#include <kingcupseam/ownership.h>

#include <deque>

namespace kingcupseam::ownership {

/// Inputs of one plan, and values derived from them.
struct plan_input {
    plan_input(const table& current, const cluster_view& seen, time_point at, const planner_options& options);

    const table& rows;
    const cluster_view& view;
    time_point now;
    const planner_options& settings;
    /// Weight by upstream index: its slots, reduced during the ramp; 0 for an upstream that gets no shards.
    std::vector<double> weights;

    /// True once the owner of @p row cannot hold a grant for it any more.
    bool grant_ended(const shard_row& row) const;
    /// Target of the move in progress, else the owner; no_upstream without one, or when placed elsewhere.
    std::uint32_t intended_owner(const shard_row& row) const;
    /// True when the intended owner of @p row may not keep it and no grant has to end first.
    bool needs_new_target(const shard_row& row) const;
    /// Indexes of the upstreams of the service that may get shards.
    std::vector<std::uint32_t> eligible_upstreams(const std::string& service) const;

private:
    double target_weight(const upstream_row& row) const;
    void exclude_returned_incarnations();
};

/// Moves of one service, grouped by target.
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
    /// Appends one command per target; completions come first, since their shards are not served meanwhile.
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

/// Divides @p total in proportion to the weights. Exact shares are rounded down, and what remains goes first
/// to those that already have more in @p current, which needs the fewest moves, then to the largest
/// remainders.
std::vector<std::uint32_t> fair_shares(const std::vector<double>& weights,
                                       const std::vector<std::uint32_t>& current, std::uint32_t total);

void plan_shards(const plan_input& input, const std::string& name, const service_rows& service,
                 move_list& moves);

/// Moves hot keys, limited to planner_options::max_hot_key_moves per period.
class hot_key_planner {
public:
    void plan(const plan_input& input, const std::string& name, const service_rows& service,
              move_list& moves);

private:
    struct loads;
    bool use_move_budget(const plan_input& input);
    void reassign_unserved(const plan_input& input, const service_rows& service, loads& load,
                           move_list& moves) const;
    void spread_load(const plan_input& input, const service_rows& service, loads& load, move_list& moves);
    void return_cold_keys(const plan_input& input, const std::string& name, const service_rows& service,
                          const loads& load, move_list& moves);

    std::deque<time_point> recent_moves_;
    std::map<std::pair<std::string, std::string>, time_point> cold_since_;
};

void plan_gates(const plan_input& input, std::vector<command>& out);
void plan_ledger_groups(const plan_input& input, std::vector<command>& out);

} // namespace kingcupseam::ownership
