#include <kingcupseam/error.h>
#include <kingcupseam/metrics.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <string_view>

namespace kingcupseam::metrics {

namespace {

/// Upper bounds of the Prometheus buckets, from 100 us to 10 s.
const std::vector<std::uint64_t> bucket_bounds_us{
    100,    250,     500,     1'000,   2'500,     5'000,     10'000,    25'000,
    50'000, 100'000, 250'000, 500'000, 1'000'000, 2'500'000, 5'000'000, 10'000'000};

void check_name(const std::string& name) {
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '_' || c == ':'; };
    const bool starts_with_digit = !name.empty() && std::isdigit(static_cast<unsigned char>(name[0])) != 0;
    if (name.empty() || starts_with_digit || !std::all_of(name.begin(), name.end(), allowed)) {
        throw invalid_input("metrics", name, "a metric or label name consists of [A-Za-z0-9_:]");
    }
}

void check_not_registered(bool registered, const std::string& name) {
    if (registered) {
        throw invalid_input("metrics", name, "is already registered as another kind of metric");
    }
}

void check_names(const std::string& name, const label_set& labels) {
    check_name(name);
    for (const auto& [label, value] : labels) {
        check_name(label);
    }
}

std::string escape(std::string_view text, bool escape_quotes) {
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\\' || (escape_quotes && c == '"')) {
            result += '\\';
            result += c;
        } else {
            result += c;
        }
    }
    return result;
}

std::string format_labels(const label_set& labels, const std::string& upper_bound = "") {
    std::string result;
    for (const auto& [label, value] : labels) {
        result += (result.empty() ? "" : ",") + label + "=\"" + escape(value, true) + "\"";
    }
    if (!upper_bound.empty()) {
        result += (result.empty() ? "le=\"" : ",le=\"") + upper_bound + "\"";
    }
    return result.empty() ? result : "{" + result + "}";
}

std::string format_number(double value) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.10g", value);
    return buf.data();
}

void append_header(std::string& out, const std::string& name, const std::string& help, const char* kind) {
    out += "# HELP " + name + " " + escape(help, false) + "\n# TYPE " + name + " " + kind + "\n";
}

template <class Families>
void append_values(std::string& out, const Families& families, const char* kind) {
    for (const auto& [name, family] : families) {
        append_header(out, name, family.help, kind);
        for (const auto& [labels, metric] : family.metrics) {
            out += name + format_labels(labels) + " " + std::to_string(metric->value()) + "\n";
        }
    }
}

void append_histogram(std::string& out, const std::string& name, const label_set& labels,
                      const histogram& source) {
    const auto counts = source.cumulative_counts(bucket_bounds_us);
    // Values recorded between the two calls must not make the total smaller than a bucket.
    const std::uint64_t total = std::max(source.count(), counts.back());
    for (std::size_t n = 0; n < counts.size(); ++n) {
        const auto bound = format_number(static_cast<double>(bucket_bounds_us[n]) / 1e6);
        out += name + "_bucket" + format_labels(labels, bound) + " " + std::to_string(counts[n]) + "\n";
    }
    out += name + "_bucket" + format_labels(labels, "+Inf") + " " + std::to_string(total) + "\n";
    const double sum = source.mean() * static_cast<double>(total) / 1e6;
    out += name + "_sum" + format_labels(labels) + " " + format_number(sum) + "\n";
    out += name + "_count" + format_labels(labels) + " " + std::to_string(total) + "\n";
}

template <class T, class Family>
T& find_or_create(Family& family, const std::string& help, const label_set& labels) {
    if (family.help.empty()) {
        family.help = help;
    }
    auto& metric = family.metrics[labels];
    if (!metric) {
        metric = std::make_unique<T>();
    }
    return *metric;
}

} // namespace

counter& registry::counter_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_not_registered(gauges_.contains(name) || histograms_.contains(name), name);
    return find_or_create<counter>(counters_[name], help, labels);
}

gauge& registry::gauge_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_not_registered(counters_.contains(name) || histograms_.contains(name), name);
    return find_or_create<gauge>(gauges_[name], help, labels);
}

histogram& registry::histogram_of(const std::string& name, const std::string& help, const label_set& labels) {
    check_names(name, labels);
    const std::lock_guard lock(mutex_);
    check_not_registered(counters_.contains(name) || gauges_.contains(name), name);
    return find_or_create<histogram>(histograms_[name], help, labels);
}

std::string registry::prometheus_text() const {
    const std::lock_guard lock(mutex_);
    std::string out;
    append_values(out, counters_, "counter");
    append_values(out, gauges_, "gauge");
    for (const auto& [name, group] : histograms_) {
        append_header(out, name, group.help, "histogram");
        for (const auto& [labels, metric] : group.metrics) {
            append_histogram(out, name, labels, *metric);
        }
    }
    return out;
}

} // namespace kingcupseam::metrics
