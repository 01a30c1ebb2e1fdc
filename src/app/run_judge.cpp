#include "app/run_judge.h"

#include <kingcupseam/error.h>

#include <algorithm>
#include <cerrno>
#include <fstream>

namespace kingcupseam::app {

namespace {

constexpr std::size_t max_examples = 20;

bool covers(const grant_scope& scope, std::uint32_t shard, const std::string& key) {
    if (scope.hot_keys.count(key) > 0) {
        return true;
    }
    return scope.moved_keys.count(key) == 0 &&
           std::any_of(scope.shards.begin(), scope.shards.end(),
                       [shard](const auto& it) { return it.first <= shard && shard <= it.second; });
}

} // namespace

run_judge::run_judge(std::uint32_t shards) : shards_(shards) {}

void run_judge::add_upstream(const std::vector<record_line>& lines) {
    ++upstreams_;
    ++result_.files;
    upstream_state upstream;
    for (const auto& line : lines) {
        if (const auto* process_start = std::get_if<process_start_event>(&line.event)) {
            end_grant(upstream, line.at);
            upstream = {*process_start, {}};
        } else if (const auto* run = std::get_if<run_event>(&line.event)) {
            check_run(upstream, *run, line.at);
        } else {
            const auto& granted = std::get<grant_event>(line.event);
            auto scope = granted.scope.value_or(upstream.grant.scope);
            end_grant(upstream, line.at);
            upstream.grant = {line.at, granted.until, std::move(scope)};
        }
    }
    end_grant(upstream, time_point::max());
}

void run_judge::check_run(const upstream_state& upstream, const run_event& run, time_point at) {
    if (!run.start) {
        return;
    }
    ++result_.runs;
    ++result_.runs_by_idempotency_key[run.idempotency_key];
    const bool idempotent = run.method == "GET" || run.method == "HEAD";
    if (!idempotent && ++at_most_once_starts_[run.idempotency_key] == 2) {
        ++result_.double_runs;
        add_example("idempotency key " + run.idempotency_key + " ran again on " + upstream.identity.upstream);
    }
    const auto& grant = upstream.grant;
    if (at < grant.until && covers(grant.scope, run.shard, run.key)) {
        return;
    }
    ++(upstream.identity.checks_grants ? result_.runs_without_grant : result_.unchecked_runs_without_grant);
    add_example("key " + run.key + " ran without a grant on " + upstream.identity.upstream);
}

void run_judge::end_grant(upstream_state& upstream, time_point at) {
    const auto& grant = upstream.grant;
    const interval live{grant.from, std::min(grant.until, at), upstreams_};
    if (live.until <= live.from) {
        return;
    }
    auto& service = services_[upstream.identity.service];
    const auto append = [&live](std::vector<interval>& list) {
        if (!list.empty() && list.back().upstream == live.upstream && list.back().until == live.from) {
            list.back().until = live.until; // a renewal continues the grant
        } else {
            list.push_back(live);
        }
    };
    for (const auto& [first, last] : grant.scope.shards) {
        for (std::uint32_t n = first; n <= last && n < shards_; ++n) {
            append(service.shards[n]);
        }
    }
    for (const auto& key : grant.scope.hot_keys) {
        append(service.hot_keys[key]);
    }
    for (const auto& key : grant.scope.moved_keys) {
        append(service.moved_keys[key]);
    }
}

void run_judge::count_overlaps(const std::string& what, std::vector<interval>& intervals) {
    std::sort(intervals.begin(), intervals.end(),
              [](const auto& a, const auto& b) { return a.from < b.from; });
    for (auto it = intervals.begin(); it != intervals.end(); ++it) {
        for (auto other = it + 1; other != intervals.end() && other->from < it->until; ++other) {
            if (other->upstream == it->upstream) {
                continue;
            }
            const duration overlap = std::min(it->until, other->until) - other->from;
            ++result_.double_owners;
            result_.longest_double_ownership = std::max(result_.longest_double_ownership, overlap);
            add_example(what + " had two owners for " + std::to_string(overlap.count()) + " us");
        }
    }
}

/// A hot key is owned by the upstreams that were granted it by name, and by the owners of its shard while
/// their grant does not list it as moved.
void run_judge::count_hot_key_overlaps(const std::string& key, service_grants& service) {
    auto intervals = service.hot_keys[key];
    const auto& moved = service.moved_keys[key];
    for (const auto& owned : service.shards[shard_of(key, shards_)]) {
        interval rest = owned;
        for (const auto& it : moved) { // sorted by time for each upstream
            if (it.upstream != owned.upstream || it.until <= rest.from || it.from >= rest.until) {
                continue;
            }
            if (it.from > rest.from) {
                intervals.push_back({rest.from, it.from, rest.upstream});
            }
            rest.from = it.until;
        }
        if (rest.from < rest.until) {
            intervals.push_back(rest);
        }
    }
    // Overlaps between two owners of the shard are counted with the shard.
    const auto granted_by_name = service.hot_keys[key];
    std::erase_if(intervals, [&granted_by_name](const interval& it) {
        return std::none_of(granted_by_name.begin(), granted_by_name.end(), [&it](const interval& other) {
            return other.from < it.until && it.from < other.until;
        });
    });
    count_overlaps("hot key " + key, intervals);
}

judgement run_judge::finish() {
    for (auto& [name, service] : services_) {
        std::vector<std::string> keys;
        for (const auto& it : service.hot_keys) {
            keys.push_back(it.first);
        }
        for (const auto& key : keys) {
            count_hot_key_overlaps(key, service);
        }
        for (auto& [shard, intervals] : service.shards) {
            count_overlaps("shard " + std::to_string(shard) + " of " + name, intervals);
        }
    }
    return std::move(result_);
}

void run_judge::add_example(const std::string& text) {
    if (result_.examples.size() < max_examples) {
        result_.examples.push_back(text);
    }
}

namespace {

std::vector<record_line> read_record(const std::filesystem::path& file) {
    std::ifstream in(file);
    if (!in) {
        throw io_error(file.string(), "open", errno);
    }
    std::vector<record_line> lines;
    for (std::string text; std::getline(in, text);) {
        if (in.eof()) {
            break; // no line break: the process was killed while it wrote the line
        }
        lines.push_back(decode_record(file.string(), text));
    }
    return lines;
}

} // namespace

judgement judge_folder(const std::filesystem::path& folder, std::uint32_t shards) {
    std::vector<std::filesystem::path> files;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(folder, ec)) {
        if (it.is_regular_file()) {
            files.push_back(it.path());
        }
    }
    if (ec) {
        throw io_error(folder.string(), "read", ec.value());
    }
    std::sort(files.begin(), files.end());
    run_judge judge(shards);
    for (const auto& it : files) {
        judge.add_upstream(read_record(it));
    }
    return judge.finish();
}

} // namespace kingcupseam::app
