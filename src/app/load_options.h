#pragma once

#include "app/commands.h"

#include <kingcupseam/types.h>

#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// Method and path of the requests of one rank; the key stands between prefix and suffix.
struct request_template {
    std::string method;
    std::string path_prefix;
    std::string path_suffix;
    std::string path(const std::string& key) const { return path_prefix + key + path_suffix; }
};
/// Request template of each rank of a firm.
using firm_requests = std::array<request_template, rank_count>;

/// @throws invalid_input unless @p firm is navalsig or cairnmark
const firm_requests& requests_of_firm(const std::string& firm);

/// Additional load of one rank for a limited time.
struct flood {
    rank priority = rank::urgent;
    double rate = 0; ///< requests per second, added to load_options::rates
    duration from{}; ///< since the start of the load
    duration to{};
    bool operator==(const flood&) const = default;
};

enum class load_output : std::uint8_t { table, json, csv };

struct load_options {
    std::vector<endpoint_address> addresses;
    std::string firm = "navalsig";
    std::array<double, rank_count> rates{}; ///< requests per second of each rank
    duration length{};                      ///< warm-up included
    duration warmup{};                      ///< requests scheduled in this time are not counted
    std::uint64_t keys = 10000;
    double key_skew = 0;      ///< exponent of the Zipf distribution; 0: uniform
    duration hot_key_shift{}; ///< interval at which the set of hot keys changes; zero: never
    std::vector<flood> floods;
    /// Probability of an unprompted duplicate of an at-most-once request, and of resending it after each lost
    /// or unknown attempt.
    double resend_fraction = 0;
    duration timeout{};                            ///< of each attempt
    std::array<duration, rank_count> late_after{}; ///< latency above which an answer counts as late
    std::size_t connections = 512;                 ///< maximum to each address
    std::size_t body_bytes = 64;
    std::uint64_t seed = 1;
    std::filesystem::path record_folder; ///< run records of the stand-ins to judge; empty: none
    std::uint32_t judge_shards = 4096;   ///< shards of each service in these records
    std::filesystem::path html_file;     ///< empty: no HTML report
    load_output output = load_output::table;
};

/// @returns empty when --help was given and the options were printed
/// @throws invalid_input
std::optional<load_options> parse_load_options(const arguments& args);

/// Parses RANK:RATE:FROM:TO, with times in seconds.
/// @throws invalid_input
flood parse_flood(const std::string& text);

} // namespace kingcupseam::app
