#pragma once

#include "app/commands.h"

#include <kingcupseam/types.h>

#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace kingcupseam::app {

/// Method and path of one rank of a firm; the key stands between prefix and suffix.
struct request_template {
    std::string method;
    std::string path_prefix;
    std::string path_suffix;
    std::string path(const std::string& key) const { return path_prefix + key + path_suffix; }
};
using firm_requests = std::array<request_template, rank_count>;

/// @throws invalid_input unless @p firm is navalsig or cairnmark
const firm_requests& requests_of_firm(const std::string& firm);

struct flood {
    rank priority = rank::urgent;
    double rate = 0; ///< requests per second on top of the rank's own
    duration from{};
    duration to{};
    bool operator==(const flood&) const = default;
};

enum class load_output : std::uint8_t { table, json, csv };

struct load_options {
    std::vector<endpoint_address> addresses;
    std::string firm = "navalsig";
    std::array<double, rank_count> rates{};
    duration length{};
    duration warmup{};
    std::uint64_t keys = 10000;
    double key_skew = 0;
    duration hot_key_shift{}; ///< zero: hot keys stay
    std::vector<flood> floods;
    double resend_fraction = 0;
    duration timeout{};
    std::array<duration, rank_count> late_after{};
    std::size_t connections = 512; ///< to each address
    std::size_t body_bytes = 64;
    std::uint64_t seed = 1;
    std::filesystem::path record_folder;
    std::uint32_t judge_shards = 4096;
    std::filesystem::path html_file;
    load_output output = load_output::table;
};

/// @returns empty when --help was given
/// @throws invalid_input
std::optional<load_options> parse_load_options(const arguments& args);

/// RANK:RATE:FROM:TO, times in seconds.
/// @throws invalid_input
flood parse_flood(const std::string& text);

} // namespace kingcupseam::app
