#include "app/stand_in_options.h"

#include "app/option_parser.h"

#include <kingcupseam/error.h>

#include <algorithm>
#include <cmath>

namespace kingcupseam::app {

namespace po = boost::program_options;

namespace {

constexpr double day_ms = 86'400'000;

void add_options(option_parser& parser) {
    parser.add()("name", po::value<std::string>()->required(), "unique name");
    parser.add()("service", po::value<std::string>()->required(), "service that it belongs to");
    parser.add()("listen", po::value<std::string>()->required(), "IP:PORT to serve on");
    parser.add()("instance", po::value<std::vector<std::string>>(),
                 "IP:PORT of an instance's upstream listener, or a comma-separated list; without one it does "
                 "not announce itself");
    parser.add()("slots", po::value<std::uint64_t>()->default_value(2),
                 "maximum number of requests that run at once");
    parser.add()("connections", po::value<std::uint64_t>()->default_value(120),
                 "maximum number of connections that it accepts");
    parser.add()("waiting", po::value<std::uint64_t>()->default_value(16),
                 "maximum number of requests that wait for a slot; others are shed");
    parser.add()("reset-when-full", po::bool_switch(),
                 "reset the connection of a request that would be shed, without an answer");
    parser.add()("no-grant-checks", po::bool_switch(), "also run requests without a live grant");
    parser.add()("service-time", po::value<double>()->default_value(10), "mean time of an execution, ms");
    parser.add()("service-time-spread", po::value<double>()->default_value(0),
                 "sigma of the lognormal distribution of the service time; 0: fixed");
    parser.add()("cold-start", po::value<double>()->default_value(1),
                 "factor on the service time at the start, declining to 1");
    parser.add()("cold-start-period", po::value<double>()->default_value(5000),
                 "time in which the cold-start factor declines to 1, ms");
    parser.add()("load-lag", po::value<double>()->default_value(0), "age of the reported load, ms");
    parser.add()("load-misreport", po::value<double>()->default_value(1), "factor on the reported load");
    parser.add()("answer-bytes", po::value<std::uint64_t>()->default_value(512),
                 "minimum length of an answer's body, bytes");
    parser.add()("crash-prefix", po::value<std::string>()->default_value(""),
                 "exit when a request whose key has this prefix starts to run");
    parser.add()("record", po::value<std::string>()->default_value(""),
                 "append executions and grants to this file");
    parser.add()("seed", po::value<std::uint64_t>()->default_value(1), "seed of all random choices");
    parser.add()(
        "fault", po::value<std::vector<std::string>>(),
        "KIND:AFTER_MS:FOR_MS[:FRACTION], with KIND freeze, late, crossed, cut-off, silent or crash");
    parser.add()("late-by", po::value<double>()->default_value(2000), "delay of late answers, ms");
    parser.add()("drain-limit", po::value<double>()->default_value(10000),
                 "longest time to drain on SIGTERM, ms");
}

void read_model_options(const option_parser& parser, stand_in_options& result) {
    result.slots = static_cast<std::uint32_t>(parser.integer("slots", 1, 1024));
    result.max_connections = static_cast<std::uint32_t>(parser.integer("connections", 1, 65535));
    result.max_waiting = static_cast<std::uint32_t>(parser.integer("waiting", 0, 1'000'000));
    result.resets_when_full = parser.flag("reset-when-full");
    result.checks_grants = !parser.flag("no-grant-checks");
    result.service_time = parser.milliseconds("service-time", 0, day_ms);
    result.service_time_spread = parser.number("service-time-spread", 0, 3);
    result.cold_start = parser.number("cold-start", 1, 1000);
    result.cold_start_period = parser.milliseconds("cold-start-period", 1, day_ms);
    result.load_lag = parser.milliseconds("load-lag", 0, day_ms);
    result.load_misreport = parser.number("load-misreport", 0, 1000);
    result.late_by = parser.milliseconds("late-by", 0, day_ms);
    result.drain_limit = parser.milliseconds("drain-limit", 0, day_ms);
}

bool is_valid_name(const std::string& name) {
    constexpr std::string_view punctuation = "._-";
    return !name.empty() && name.size() <= 64 && std::all_of(name.begin(), name.end(), [&](unsigned char c) {
        return std::isalnum(c) != 0 || punctuation.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

} // namespace

fault_kind parse_fault_kind(const std::string& source, const std::string& text) {
    const auto* const it = std::find(fault_names.begin(), fault_names.end(), text);
    if (it == fault_names.end()) {
        throw invalid_input(source, "kind",
                            "'" + text + "' is not one of freeze, late, crossed, cut-off, silent, crash");
    }
    return static_cast<fault_kind>(it - fault_names.begin());
}

scheduled_fault parse_scheduled_fault(const std::string& text) {
    const auto parts = split(text, ':');
    if (parts.size() < 3 || parts.size() > 4) {
        throw invalid_input("stand-in", "--fault", "must be KIND:AFTER_MS:FOR_MS[:FRACTION]");
    }
    scheduled_fault result;
    result.kind = parse_fault_kind("--fault", parts[0]);
    const double after = parse_number("fault", parts[1]);
    const double length = parse_number("fault", parts[2]);
    result.fraction = parts.size() == 4 ? parse_number("fault", parts[3]) : 1;
    if (after < 0 || length < 0 || after > day_ms || length > day_ms || result.fraction < 0 ||
        result.fraction > 1) {
        throw invalid_input("stand-in", "--fault",
                            "times must lie between 0 and a day, the fraction between 0 and 1");
    }
    result.after = duration(std::llround(after * 1e3));
    result.length = duration(std::llround(length * 1e3));
    return result;
}

std::optional<stand_in_options> parse_stand_in_options(const arguments& args) {
    option_parser parser("stand-in", "Runs a model of an upstream, for experiments and tests.");
    add_options(parser);
    if (!parser.parse(args)) {
        return std::nullopt;
    }
    stand_in_options result;
    result.name = parser.text("name");
    if (!is_valid_name(result.name)) {
        parser.reject("name", "must have 1 to 64 characters of A-Z, a-z, 0-9, '.', '_' and '-'");
    }
    result.service = parser.text("service");
    result.listen = parser.endpoint("listen");
    result.instances = parser.endpoints("instance");
    read_model_options(parser, result);
    result.answer_bytes = parser.integer("answer-bytes", 0, 4'000'000);
    result.crash_prefix = parser.text("crash-prefix");
    result.record = parser.text("record");
    result.seed = parser.integer("seed", 0, UINT64_MAX);
    for (const auto& it : parser.texts("fault")) {
        result.faults.push_back(parse_scheduled_fault(it));
    }
    return result;
}

service_time_source::service_time_source(const stand_in_options& settings, time_point started)
    : mean_(settings.service_time), cold_start_(settings.cold_start),
      cold_start_period_(settings.cold_start_period), started_(started),
      fixed_(settings.service_time_spread == 0), random_(settings.seed),
      // exp(mu + sigma^2 / 2) is the mean of a lognormal distribution, so this mu gives the factor a mean
      // of 1.
      factor_(-settings.service_time_spread * settings.service_time_spread / 2,
              fixed_ ? 1 : settings.service_time_spread) {}

duration service_time_source::next(time_point now) {
    double factor = fixed_ ? 1 : factor_(random_);
    const duration age = now - started_;
    if (age < cold_start_period_) {
        const double remaining =
            1 - static_cast<double>(age.count()) / static_cast<double>(cold_start_period_.count());
        factor *= 1 + (cold_start_ - 1) * remaining;
    }
    return duration(std::llround(static_cast<double>(mean_.count()) * factor));
}

void active_faults::activate(fault_kind kind, time_point until, double fraction) {
    active_.at(static_cast<std::size_t>(kind)) = {until, fraction};
}

bool active_faults::hits(fault_kind kind, time_point now) {
    const auto& it = active_.at(static_cast<std::size_t>(kind));
    return now < it.until && std::uniform_real_distribution<double>(0, 1)(random_) < it.fraction;
}

} // namespace kingcupseam::app
