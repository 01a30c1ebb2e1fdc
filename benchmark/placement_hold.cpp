// Computes the fraction of requests served during outages, by length of the hold (setting home_hold_s), from
// an analytic model; docs/design.md, "Measured: home hold".
//
// Assumptions: three data centres have a third of the shards and a third of the callers each. Callers reach
// only data centres on their side of a cut; callers near a lost data centre use the other two. A request is
// served when the data centre of its shard is reachable and its hold has not expired. Two data centres can
// carry the load of three. The global group has a majority on the larger side of a 2+1 cut and none in a
// three-way cut. Keys that moved are moved back once the data centre is reachable again.
#include <kingcupseam/placement.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupseam;
using namespace kingcupseam::placement;

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// From the end of the hold to the first request at the new data centre: a contact of that data
/// centre (0.5 s), two commits, and grants.
constexpr duration takeover_time = seconds(1);
/// How long a key is unserved during a planned move: the end of the grants (0.6 s), two contacts
/// (0.5 s each), three commits.
constexpr duration planned_move_time = seconds(2);

const std::vector<duration> holds{seconds(5), minutes(1), minutes(10), minutes(30), hours(1), hours(2)};

enum class outage { two_plus_one, three_way, lost };

struct result {
    double unserved_s = 0;   ///< time without service, averaged over all requests
    double longest_s = 0;    ///< longest time in which no caller is served for some key
    double cut_off_s = 0;    ///< longest time in which no key is served for the callers of one data centre
    bool taken_over = false; ///< the shards were moved by a takeover
};

double in_seconds(duration length) {
    return static_cast<double>(length.count()) / 1e6;
}

std::string name_of(duration length) {
    const auto s = length.count() / 1'000'000;
    return s < 60     ? std::to_string(s) + " s"
           : s < 3600 ? std::to_string(s / 60) + " min"
                      : std::to_string(s / 3600) + " h";
}

/// @param length until the cut heals or the lost data centre is back
result evaluate(outage kind, duration length, duration hold) {
    const auto margin = drift_margin(hold);
    const double end = in_seconds(length);
    const double hold_end = std::min(end, in_seconds(hold - margin));
    const double taken_over = std::min(end, in_seconds(hold + margin + takeover_time));
    const double move_back = in_seconds(planned_move_time);
    result it;
    switch (kind) {
    case outage::two_plus_one:
        // The callers of the larger side reach 2/3 of the keys until the takeover and then all; those of the
        // cut-off data centre reach 1/3 until the hold ends and then none.
        it.unserved_s = hold_end * 4 / 9 + (taken_over - hold_end) * 5 / 9 + (end - taken_over) / 3;
        it.longest_s = taken_over - hold_end;
        it.cut_off_s = end - hold_end;
        break;
    case outage::three_way:
        it.unserved_s = hold_end * 2 / 3 + (end - hold_end);
        it.longest_s = it.cut_off_s = end - hold_end;
        return it;
    case outage::lost:
        it.unserved_s = taken_over / 3;
        it.longest_s = taken_over;
        break;
    }
    it.taken_over = taken_over < end;
    it.unserved_s += it.taken_over ? move_back / 3 : 0;
    return it;
}

void print_outage(const char* title, outage kind, duration length, duration window) {
    std::printf("\n%s\n  hold      served   longest unserved key   callers of one data centre without any "
                "key   taken over\n",
                title);
    for (const auto hold : holds) {
        const auto it = evaluate(kind, length, hold);
        std::printf("  %-7s  %6.2f%%  %16.1f s      %16.1f s                            %s\n",
                    name_of(hold).c_str(), 100 * (1 - it.unserved_s / in_seconds(window)), it.longest_s,
                    it.cut_off_s, it.taken_over ? "yes" : "no");
    }
}

struct outage_rates {
    double partitions_a_month = 2;
    double three_way_share = 0.1;
    duration partition_length = hours(1);
    double losses_a_month = 0.5;   ///< of a data centre
    double short_cuts_a_month = 0; ///< 2+1 cuts of 20 s
};

/// Hours a year without service, averaged over all requests.
double unserved_hours(const outage_rates& it, duration hold) {
    const double two = evaluate(outage::two_plus_one, it.partition_length, hold).unserved_s;
    const double three = evaluate(outage::three_way, it.partition_length, hold).unserved_s;
    const double lost = evaluate(outage::lost, hours(4), hold).unserved_s;
    const double brief = evaluate(outage::two_plus_one, seconds(20), hold).unserved_s;
    const double month =
        it.partitions_a_month * ((1 - it.three_way_share) * two + it.three_way_share * three) +
        it.losses_a_month * lost + it.short_cuts_a_month * brief;
    return 12 * month / 3600;
}

double takeovers(const outage_rates& it, duration hold) {
    const bool two = evaluate(outage::two_plus_one, it.partition_length, hold).taken_over;
    const bool lost = evaluate(outage::lost, hours(4), hold).taken_over;
    const bool brief = evaluate(outage::two_plus_one, seconds(20), hold).taken_over;
    return 12 * ((two ? it.partitions_a_month * (1 - it.three_way_share) : 0) +
                 (lost ? it.losses_a_month : 0) + (brief ? it.short_cuts_a_month : 0));
}

void print_row(const std::string& title, const outage_rates& it, std::vector<double>& worst_regret) {
    std::printf("  %-44s", title.c_str());
    std::vector<double> all;
    for (const auto hold : holds) {
        all.push_back(unserved_hours(it, hold));
        std::printf(" %7.2f", all.back());
    }
    const auto best = std::min_element(all.begin(), all.end());
    std::printf("   %s\n", name_of(holds[static_cast<std::size_t>(best - all.begin())]).c_str());
    for (std::size_t n = 0; n < all.size(); ++n) {
        worst_regret[n] = std::max(worst_regret[n], all[n] - *best);
    }
}

void print_year() {
    std::printf("\nHours a year without service, averaged over all requests (of 8,760)\n  %-44s",
                "assumption");
    for (const auto hold : holds) {
        std::printf(" %7s", name_of(hold).c_str());
    }
    std::printf("   best\n");
    std::vector<double> regret(holds.size());
    print_row("base: 2 cuts of 1 h a month, 10% three-way", {}, regret);
    for (const double share : {0.0, 0.25, 0.4, 0.5, 1.0}) {
        outage_rates it;
        it.three_way_share = share;
        print_row("three-way cuts " + std::to_string(static_cast<int>(100 * share)) + "%", it, regret);
    }
    for (const double count : {0.5, 1.0, 4.0, 8.0}) {
        outage_rates it;
        it.partitions_a_month = count;
        print_row("cuts a month: " + std::to_string(count).substr(0, 3), it, regret);
    }
    for (const auto length : std::vector<duration>{minutes(10), hours(3)}) {
        outage_rates it;
        it.partition_length = length;
        print_row("cuts of " + name_of(length), it, regret);
    }
    outage_rates rarely;
    rarely.losses_a_month = 1.0 / 12;
    print_row("a data centre is lost once a year", rarely, regret);
    rarely.three_way_share = 0.25;
    print_row("the same, three-way cuts 25%", rarely, regret);
    outage_rates brief;
    brief.short_cuts_a_month = 100;
    print_row("and 100 cuts of 20 s a month", brief, regret);
    std::printf("  %-44s", "most hours behind the best of a row");
    for (const auto it : regret) {
        std::printf(" %7.2f", it);
    }
    std::printf("\n\nTakeovers a year\n");
    for (const auto& [title, it] :
         {std::pair{"base", outage_rates{}}, std::pair{"and 100 cuts of 20 s a month", brief}}) {
        std::printf("  %-44s", title);
        for (const auto hold : holds) {
            std::printf(" %7.0f", takeovers(it, hold));
        }
        std::printf("\n");
    }
}

/// Share of three-way cuts above which the longer of two holds serves more.
void print_break_even(const char* title, outage_rates it) {
    std::printf("\nShare of three-way cuts from which the longer hold serves more, %s\n", title);
    for (std::size_t n = 0; n + 1 < holds.size(); ++n) {
        int percent = 0;
        for (; percent <= 100; ++percent) {
            it.three_way_share = percent / 100.0;
            if (unserved_hours(it, holds[n + 1]) < unserved_hours(it, holds[n])) {
                break;
            }
        }
        std::printf("  %-7s against %-7s  %s\n", name_of(holds[n + 1]).c_str(), name_of(holds[n]).c_str(),
                    percent > 100 ? "never" : (std::to_string(percent) + "%").c_str());
    }
}

} // namespace

int main() {
    print_outage("2+1 partition of 1 h", outage::two_plus_one, hours(1), hours(1));
    print_outage("three-way partition of 1 h", outage::three_way, hours(1), hours(1));
    print_outage("data centre lost for 4 h (window 4 h)", outage::lost, hours(4), hours(4));
    print_outage("data centre lost for good (window 24 h)", outage::lost, hours(24), hours(24));
    print_year();
    print_break_even("base rates", {});
    outage_rates rarely_lost;
    rarely_lost.losses_a_month = 1.0 / 12;
    print_break_even("a data centre is lost once a year", rarely_lost);
    outage_rates more_cuts;
    more_cuts.partitions_a_month = 8;
    print_break_even("8 cuts a month", more_cuts);
}
