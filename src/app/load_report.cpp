#include "app/load_report.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

struct quantile_column {
    const char* name;
    double fraction;
};
constexpr std::array<quantile_column, 4> quantile_columns{
    {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

double to_ms(std::uint64_t microseconds) {
    return static_cast<double>(microseconds) / 1000;
}

double answered_fraction(const rank_results& it) {
    return it.sent == 0 ? 0 : static_cast<double>(it.answered) / static_cast<double>(it.sent);
}

json rank_to_json(const rank_results& it) {
    json latency;
    for (const auto& [name, fraction] : quantile_columns) {
        latency[name] = to_ms(it.latency->quantile(fraction));
    }
    latency["max"] = to_ms(it.latency->max());
    return {{"sent", it.sent},      {"answered", it.answered},       {"service", answered_fraction(it)},
            {"late", it.late},      {"not_run", it.not_run},         {"unknown", it.unknown},
            {"lost", it.lost},      {"errors", it.errors},           {"resent", it.resent},
            {"wrong", it.wrong},    {"double_runs", it.double_runs}, {"false_not_run", it.false_not_run},
            {"latency_ms", latency}};
}

json judgement_to_json(const judgement& it) {
    return {{"files", it.files},
            {"runs", it.runs},
            {"double_runs", it.double_runs},
            {"double_owners", it.double_owners},
            {"longest_double_ownership_ms",
             to_ms(static_cast<std::uint64_t>(it.longest_double_ownership.count()))},
            {"runs_without_grant", it.runs_without_grant},
            {"unchecked_runs_without_grant", it.unchecked_runs_without_grant},
            {"examples", it.examples}};
}

std::string format_judgement(const judgement& it) {
    std::string out = fmt::format(
        "\nrecords of {} upstreams: {} runs, {} double runs, {} double owners (longest {:.3f} ms), "
        "{} runs without a grant, {} by upstreams that do not check\n",
        it.files, it.runs, it.double_runs, it.double_owners,
        to_ms(static_cast<std::uint64_t>(it.longest_double_ownership.count())), it.runs_without_grant,
        it.unchecked_runs_without_grant);
    for (const auto& text : it.examples) {
        out += "  " + text + '\n';
    }
    return out;
}

std::string format_rank_row(rank priority, const rank_results& it) {
    return fmt::format("{:<11}{:>9}{:>9}{:>8.2f}%{:>8}{:>9}{:>9}{:>7}{:>7}{:>7}{:>7}{:>7}",
                       to_string(priority), it.sent, it.answered, answered_fraction(it) * 100, it.late,
                       it.not_run_total(), it.unknown, it.lost, it.errors, it.wrong, it.double_runs,
                       it.false_not_run);
}

} // namespace

std::string format_table_report(const load_results& results) {
    std::string out = fmt::format("{:<11}{:>9}{:>9}{:>9}{:>8}{:>9}{:>9}{:>7}{:>7}{:>7}{:>7}{:>7}\n", "rank",
                                  "sent", "answered", "service", "late", "not-run", "unknown", "lost",
                                  "errors", "wrong", "double", "false");
    for (const rank priority : all_ranks) {
        out += format_rank_row(priority, results.ranks.at(static_cast<std::size_t>(priority))) + '\n';
    }
    out += fmt::format("\n{:<11}{:>10}{:>10}{:>10}{:>10}{:>10}\n", "latency ms", "p50", "p90", "p99", "p99.9",
                       "max");
    for (const rank priority : all_ranks) {
        const auto& it = results.ranks.at(static_cast<std::size_t>(priority));
        out += fmt::format("{:<11}", to_string(priority));
        for (const auto& [name, fraction] : quantile_columns) {
            out += fmt::format("{:>10.2f}", to_ms(it.latency->quantile(fraction)));
        }
        out += fmt::format("{:>10.2f}\n", to_ms(it.latency->max()));
    }
    for (const rank priority : all_ranks) {
        for (const auto& [reason, n] : results.ranks.at(static_cast<std::size_t>(priority)).not_run) {
            out += fmt::format("not-run {} {}: {}\n", to_string(priority), reason, n);
        }
    }
    return results.judged ? out + format_judgement(*results.judged) : out;
}

std::string format_json_report(const load_options& settings, const load_results& results) {
    json out{{"firm", settings.firm}, {"seed", settings.seed}, {"seconds", results.measured_seconds}};
    for (const rank priority : all_ranks) {
        out["ranks"][std::string(to_string(priority))] =
            rank_to_json(results.ranks.at(static_cast<std::size_t>(priority)));
    }
    if (results.judged) {
        out["records"] = judgement_to_json(*results.judged);
    }
    out["violated"] = results.violated();
    return out.dump(2) + '\n';
}

std::string format_csv_report(const load_results& results) {
    std::string out =
        "rank,sent,answered,late,not_run,unknown,lost,errors,resent,wrong,double_runs,false_not_run,p50_ms,"
        "p90_ms,p99_ms,p99.9_ms,max_ms\n";
    for (const rank priority : all_ranks) {
        const auto& it = results.ranks.at(static_cast<std::size_t>(priority));
        out += fmt::format("{},{},{},{},{},{},{},{},{},{},{},{}", to_string(priority), it.sent, it.answered,
                           it.late, it.not_run_total(), it.unknown, it.lost, it.errors, it.resent, it.wrong,
                           it.double_runs, it.false_not_run);
        for (const auto& [name, fraction] : quantile_columns) {
            out += fmt::format(",{:.3f}", to_ms(it.latency->quantile(fraction)));
        }
        out += fmt::format(",{:.3f}\n", to_ms(it.latency->max()));
    }
    return out;
}

} // namespace kingcupseam::app
