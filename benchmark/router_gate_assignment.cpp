// Measures what one change of the entries or upstreams costs an entry that selects gates, at several sizes of
// a deployment, and prints the exponent by which the cost grows with the number of machines.
#include "router/gate_assignment.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupseam;
using namespace kingcupseam::router;

namespace {

constexpr int data_centers = 5;
constexpr int changes = 40;

struct deployment {
    int machines = 0;
    int entries = 0;
    int upstreams = 0;
};

std::string data_center_of(int n) {
    return std::string("dc").append(std::to_string(n % data_centers));
}

std::vector<entry_instance> make_entries(int n) {
    std::vector<entry_instance> result;
    result.reserve(n);
    for (int i = 0; i < n; ++i) {
        result.push_back({"10.1.0." + std::to_string(i) + ":7720", data_center_of(i)});
    }
    return result;
}

std::vector<directory::upstream> make_upstreams(int n) {
    std::vector<directory::upstream> result;
    result.reserve(n);
    for (int i = 0; i < n; ++i) {
        result.push_back({{"upstream-" + std::to_string(i), 1}, "s", data_center_of(i), {"127.0.0.1", 1}, 2});
    }
    return result;
}

/// Mean time of a change with the selection of one gate after it, ms.
template <class Change>
double measure(gate_assignment& it, const directory::upstream& asked, const Change& change) {
    const auto begun = steady_now();
    for (int n = 0; n < changes; ++n) {
        change(n);
        it.gates_of(asked);
    }
    return std::chrono::duration<double, std::milli>(steady_now() - begun).count() / changes;
}

double exponent(double before, double after, const deployment& smaller, const deployment& larger) {
    return std::log(after / before) / std::log(static_cast<double>(larger.machines) / smaller.machines);
}

} // namespace

int main() {
    const std::vector<deployment> sizes{{13, 10, 32}, {89, 85, 437}, {300, 285, 990}, {540, 513, 1782}};
    std::printf("machines  entries  upstreams  upstream changes ms  exponent  entry changes ms  exponent\n");
    double last_upstream_ms = 0;
    double last_entry_ms = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n) {
        const auto entries = make_entries(sizes[n].entries);
        const auto upstreams = make_upstreams(sizes[n].upstreams);
        std::vector<const directory::upstream*> all;
        all.reserve(upstreams.size());
        for (const auto& it : upstreams) {
            all.push_back(&it);
        }
        const std::vector<const directory::upstream*> without_last(all.begin(), all.end() - 1);
        gate_assignment it;
        it.set_entries(entries);
        it.set_upstreams(all);
        it.gates_of(upstreams.front());
        const double upstream_ms =
            measure(it, upstreams.back(), [&](int i) { it.set_upstreams(i % 2 == 0 ? without_last : all); });
        const double entry_ms = measure(it, upstreams.front(), [&](int i) {
            it.set_entries({entries.begin() + (i % 2 == 0 ? 1 : 0), entries.end()});
        });
        std::printf("%8d %8d %10d %20.3f", sizes[n].machines, sizes[n].entries, sizes[n].upstreams,
                    upstream_ms);
        if (n == 0) {
            std::printf("         - %17.3f         -\n", entry_ms);
        } else {
            std::printf(" %9.2f %17.3f %9.2f\n",
                        exponent(last_upstream_ms, upstream_ms, sizes[n - 1], sizes[n]), entry_ms,
                        exponent(last_entry_ms, entry_ms, sizes[n - 1], sizes[n]));
        }
        last_upstream_ms = upstream_ms;
        last_entry_ms = entry_ms;
    }
}
