#include "app/load_options.h"

#include "app/option_parser.h"

#include <kingcupseam/error.h>

#include <cmath>

namespace kingcupseam::app {

namespace po = boost::program_options;

namespace {

constexpr double max_requests_per_second = 1e6;
constexpr double max_seconds = 86400;

std::size_t index_of(rank value) {
    return static_cast<std::size_t>(value);
}

duration from_seconds(double value) {
    return duration(std::llround(value * 1e6));
}

void add_workload_options(option_parser& parser) {
    parser.add()("address", po::value<std::vector<std::string>>(),
                 "IP:PORT of an instance's caller listener, or a comma-separated list; may be repeated");
    parser.add()("firm", po::value<std::string>()->default_value("navalsig"),
                 "navalsig or cairnmark; sets the method and path of each rank");
    parser.add()("rate", po::value<double>()->default_value(100),
                 "requests per second of all ranks together");
    parser.add()("mix", po::value<std::string>()->default_value("70:20:10"),
                 "ratio of urgent, standard and deferrable requests");
    parser.add()("rank-rate", po::value<std::vector<std::string>>(),
                 "RANK:RATE, overrides the rank's share of --rate");
    parser.add()("duration", po::value<double>()->default_value(10), "seconds, warm-up included");
    parser.add()("warmup", po::value<double>()->default_value(0),
                 "initial seconds whose requests are not counted");
    parser.add()("keys", po::value<std::uint64_t>()->default_value(10000), "number of keys");
    parser.add()("key-skew", po::value<double>()->default_value(0),
                 "exponent of the Zipf distribution; 0: uniform");
    parser.add()("hot-key-shift", po::value<double>()->default_value(0),
                 "interval in seconds at which the set of hot keys changes; 0: never");
    parser.add()(
        "flood", po::value<std::vector<std::string>>(),
        "RANK:RATE:FROM:TO, additional requests per second between FROM and TO, in seconds since the start");
    parser.add()("seed", po::value<std::uint64_t>()->default_value(1), "seed of arrivals and keys");
    parser.add()("body-bytes", po::value<std::uint64_t>()->default_value(64), "body size of a POST in bytes");
}

void add_sending_and_report_options(option_parser& parser) {
    parser.add()(
        "resend", po::value<double>()->default_value(0),
        "fraction of at-most-once requests that are sent again with the same Idempotency-Key, both as "
        "unprompted duplicates and after each lost or unknown answer");
    parser.add()("timeout", po::value<double>()->default_value(5000), "time limit of each attempt, ms");
    parser.add()("late-after",
                 po::value<std::string>()->default_value("urgent:200,standard:1000,deferrable:5000"),
                 "RANK:MS list; a slower answer counts as late");
    parser.add()("connections", po::value<std::uint64_t>()->default_value(512),
                 "maximum connections to each address");
    parser.add()("judge", po::value<std::string>()->default_value(""),
                 "folder with the run records of all stand-ins; without --address they are judged and no "
                 "load is sent");
    parser.add()("judge-shards", po::value<std::uint64_t>()->default_value(4096),
                 "number of shards of each service in the records");
    parser.add()("report", po::value<std::string>()->default_value(""), "write an HTML report to this file");
    parser.add()("json", po::bool_switch(), "print JSON");
    parser.add()("csv", po::bool_switch(), "print CSV");
}

/// Splits RANK:NUMBER and checks the range.
std::pair<rank, double> parse_rank_value(const std::string& option, const std::string& text, double high) {
    const auto parts = split(text, ':');
    if (parts.size() != 2) {
        throw invalid_input("load", "--" + option, "'" + text + "' must be RANK:NUMBER");
    }
    const double value = parse_number(option, parts[1]);
    if (value < 0 || value > high) {
        throw invalid_input("load", "--" + option, "'" + parts[1] + "' is out of range");
    }
    return {parse_rank("load", "--" + option, parts[0]), value};
}

std::array<double, rank_count> read_rates(const option_parser& parser) {
    const double total = parser.number("rate", 0, max_requests_per_second);
    const auto parts = split(parser.text("mix"), ':');
    if (parts.size() != rank_count) {
        parser.reject("mix", "must have three parts");
    }
    std::array<double, rank_count> result{};
    double sum = 0;
    for (std::size_t n = 0; n < rank_count; ++n) {
        result.at(n) = parse_number("mix", parts[n]);
        if (result.at(n) < 0) {
            parser.reject("mix", "parts must not be negative");
        }
        sum += result.at(n);
    }
    if (sum == 0) {
        parser.reject("mix", "at least one part must not be zero");
    }
    for (auto& it : result) {
        it *= total / sum;
    }
    for (const auto& text : parser.texts("rank-rate")) {
        const auto [priority, rate] = parse_rank_value("rank-rate", text, max_requests_per_second);
        result.at(index_of(priority)) = rate;
    }
    return result;
}

std::array<duration, rank_count> read_late_after(const option_parser& parser) {
    std::array<duration, rank_count> result{std::chrono::milliseconds(200), std::chrono::seconds(1),
                                            std::chrono::seconds(5)};
    for (const auto& text : split(parser.text("late-after"), ',')) {
        const auto [priority, ms] = parse_rank_value("late-after", text, max_seconds * 1000);
        result.at(index_of(priority)) = from_seconds(ms / 1000);
    }
    return result;
}

void read_workload_options(const option_parser& parser, load_options& result) {
    result.addresses = parser.endpoints("address");
    result.firm = parser.text("firm");
    requests_of_firm(result.firm); // throws when the firm is unknown
    result.rates = read_rates(parser);
    result.length = parser.seconds("duration", 0, max_seconds);
    result.warmup = parser.seconds("warmup", 0, max_seconds);
    result.keys = parser.integer("keys", 1, 5'000'000);
    result.key_skew = parser.number("key-skew", 0, 5);
    result.hot_key_shift = parser.seconds("hot-key-shift", 0, max_seconds);
    for (const auto& it : parser.texts("flood")) {
        result.floods.push_back(parse_flood(it));
    }
    result.seed = parser.integer("seed", 0, UINT64_MAX);
    result.body_bytes = parser.integer("body-bytes", 0, 1'000'000);
}

load_output read_output(const option_parser& parser) {
    if (parser.flag("json") && parser.flag("csv")) {
        parser.reject("csv", "cannot be combined with --json");
    }
    if (parser.flag("json")) {
        return load_output::json;
    }
    return parser.flag("csv") ? load_output::csv : load_output::table;
}

} // namespace

const firm_requests& requests_of_firm(const std::string& firm) {
    static const firm_requests navalsig{{{"GET", "/registry/rafts/", "/history"},
                                         {"POST", "/registry/rafts/", "/bookings"},
                                         {"POST", "/repack/rafts/", "/orders"}}};
    static const firm_requests cairnmark{{{"GET", "/records/sites/", "/reports"},
                                          {"POST", "/records/sites/", "/signoffs"},
                                          {"POST", "/ledger/sites/", "/invoices"}}};
    if (firm != "navalsig" && firm != "cairnmark") {
        throw invalid_input("load", "--firm", "must be navalsig or cairnmark");
    }
    return firm == "navalsig" ? navalsig : cairnmark;
}

flood parse_flood(const std::string& text) {
    const auto parts = split(text, ':');
    if (parts.size() != 4) {
        throw invalid_input("load", "--flood", "'" + text + "' must be RANK:RATE:FROM:TO");
    }
    const double rate = parse_number("flood", parts[1]);
    const double from = parse_number("flood", parts[2]);
    const double to = parse_number("flood", parts[3]);
    if (rate < 0 || rate > max_requests_per_second || from < 0 || to < from || to > max_seconds) {
        throw invalid_input("load", "--flood", "'" + text + "' has a rate or time out of range");
    }
    return {parse_rank("load", "--flood", parts[0]), rate, from_seconds(from), from_seconds(to)};
}

std::optional<load_options> parse_load_options(const arguments& args) {
    option_parser parser("load", "Sends requests in an open loop and reports outcomes and latency per rank.");
    add_workload_options(parser);
    add_sending_and_report_options(parser);
    if (!parser.parse(args)) {
        return std::nullopt;
    }
    load_options result;
    read_workload_options(parser, result);
    result.resend_fraction = parser.number("resend", 0, 1);
    result.timeout = parser.milliseconds("timeout", 1, max_seconds * 1000);
    result.late_after = read_late_after(parser);
    result.connections = parser.integer("connections", 1, 4096);
    result.record_folder = parser.text("judge");
    result.judge_shards = static_cast<std::uint32_t>(parser.integer("judge-shards", 1, 1U << 20U));
    result.html_file = parser.text("report");
    result.output = read_output(parser);
    if (result.addresses.empty() && result.record_folder.empty()) {
        parser.reject("address", "is needed unless --judge is given");
    }
    return result;
}

} // namespace kingcupseam::app
