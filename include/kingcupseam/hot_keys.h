#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupseam::hot_keys {

struct options {
    std::size_t capacity = 256; ///< keys tracked at once, which bounds the memory
    duration half_life = std::chrono::seconds(2);
    double min_rate = 5;     ///< requests per second below which no key counts as hot
    double min_share = 0.05; ///< share of all requests below which no key counts as hot
    std::size_t max_reported = 10;
};

/// A key with enough load to be moved on its own.
struct key_rate {
    std::string service;
    std::string key;
    double requests_per_second = 0; ///< lower bound
    auto operator<=>(const key_rate&) const = default;
};

/// Finds the keys with the highest load in bounded memory (Space-Saving with exponential decay). Rates are
/// lower bounds: the count that a key takes over from the one it replaces is subtracted.
/// Single-threaded; has no clock.
class tracker {
public:
    explicit tracker(options settings) : settings_(settings) {}

    void record(const std::string& service, const std::string& key, time_point now);
    /// @returns the hot keys, highest rate first
    std::vector<key_rate> hottest(time_point now);
    std::size_t size() const noexcept { return entries_.size(); }

private:
    struct id {
        std::string service;
        std::string key;
        bool operator==(const id&) const = default;
    };
    struct id_hash {
        std::size_t operator()(const id& value) const noexcept;
    };
    struct entry {
        double count = 0;
        double max_overestimate = 0; ///< count taken over from the replaced key
    };

    void decay(time_point now);
    void replace_smallest(const id& added);

    options settings_;
    std::unordered_map<id, entry, id_hash> entries_;
    double total_ = 0;
    time_point decayed_;
    time_point started_;
};

} // namespace kingcupseam::hot_keys
