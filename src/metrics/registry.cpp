#include <kingcupseam/error.h>
#include <kingcupseam/metrics.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <string_view>

namespace kingcupseam::metrics {

namespace {

/// Bounds of the exposed buckets in microseconds, from 100 us to 10 s.
const std::vector<std::uint64_t> exposed_bounds{100,       250,       500,       1'000,     2'500,   5'000,
                                                10'000,    25'000,    50'000,    100'000,   250'000, 500'000,
                                                1'000'000, 2'500'000, 5'000'000, 10'000'000};

void check_name(const std::string& name) {
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '_' || c == ':'; };
    const bool starts_with_digit = !name.empty() && std::isdigit(static_cast<unsigned char>(name[0])) != 0;
    if (name.empty() || starts_with_digit || !std::all_of(name.begin(), name.end(), allowed)) {
        throw invalid_input("metrics", name, "a metric or label name consists of [A-Za-z0-9_:]");
    }
}

void check_free(bool taken, const std::string& name) {
    if (taken) {
        throw invalid_input("metrics", name, "is already registered as another kind of metric");
    }
}

void check_names(const std::string& name, const label_set& labels) {
    check_name(name);
    for (const auto& [label, value] : labels) {
        check_name(label);
    }
}

std::string escaped(std::string_view text, bool quotes) {
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\\' || (quotes && c == '"')) {
            result += '\\';
            result += c;
        } else {
            result += c;
        }
    }
    return result;
}

std::string braces(const label_set& labels, const std::string& bound = "") {
    std::string result;
    for (const auto& [label, value] : labels) {
        result += (result.empty() ? "" : ",") + label + "=\"" + escaped(value, true) + "\"";
    }
    if (!bound.empty()) {
        result += (result.empty() ? "le=\"" : ",le=\"") + bound + "\"";
    }
    return result.empty() ? result : "{" + result + "}";
}

std::string number(double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.10g", value);
    return buf.data();
}

void append_header(std::string& out, const std::string& name, const std::string& help, const char* kind) {
    out += "# HELP " + name + " " + escaped(help, false) + "\n# TYPE " + name + " " + kind + "\n";
}

template <class Families>
void append_values(std::string& out, const Families& families, const char* kind) {
    for (const auto& [name, family] : families) {
        append_header(out, name, family.help, kind);
        for (const auto& [labels, member] : family.members) {
            out += name + braces(labels) + " " + std::to_string(member->value()) + "\n";
        }
    }
}

void append_histogram(std::string& out, const std::string& name, const label_set& labels,
                      const histogram& source) {
    const auto counts = source.cumulative(exposed_bounds);
    // Values that arrive while the text is written must not make the total smaller than a bucket.
    const std::uint64_t total = std::max(source.count(), counts.back());
    for (std::size_t n = 0; n < counts.size(); ++n) {
        const auto bound = number(static_cast<double>(exposed_bounds[n]) / 1e6);
        out += name + "_bucket" + braces(labels, bound) + " " + std::to_string(counts[n]) + "\n";
    }
    out += name + "_bucket" + braces(labels, "+Inf") + " " + std::to_string(total) + "\n";
    const double sum = source.mean() * static_cast<double>(total) / 1e6;
    out += name + "_sum" + braces(labels) + " " + number(sum) + "\n";
    out += name + "_count" + braces(labels) + " " + std::to_string(total) + "\n";
}

template <class T, class Family>
T& member_of(Family& family, const std::string& help, const label_set& labels) {
    if (family.help.empty()) {
        family.help = help;
    }
    auto& member = family.members[labels];
    if (!member) {
        member = std::make_unique<T>();
    }
    return *member;
}

} // namespace

counter& registry::counter_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_free(gauges_.contains(name) || histograms_.contains(name), name);
    return member_of<counter>(counters_[name], help, labels);
}

gauge& registry::gauge_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_free(counters_.contains(name) || histograms_.contains(name), name);
    return member_of<gauge>(gauges_[name], help, labels);
}

histogram& registry::histogram_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_free(counters_.contains(name) || gauges_.contains(name), name);
    return member_of<histogram>(histograms_[name], help, labels);
}

std::string registry::prometheus_text() const {
    const std::lock_guard lock(mutex_);
    std::string out;
    append_values(out, counters_, "counter");
    append_values(out, gauges_, "gauge");
    for (const auto& [name, group] : histograms_) {
        append_header(out, name, group.help, "histogram");
        for (const auto& [labels, member] : group.members) {
            append_histogram(out, name, labels, *member);
        }
    }
    return out;
}

} // namespace kingcupseam::metrics
