#pragma once

#include "app/run_record.h"
#include "app/stand_in_answer.h"
#include "support/process_cluster.h"

#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace kingcupseam::test {

/// Options of a cluster in one data centre.
inline cluster_options single_data_center_options(std::size_t instances, std::size_t upstreams,
                                                  double service_time_ms, std::uint32_t slots = 4,
                                                  const std::vector<std::string>& upstream_options = {}) {
    cluster_options result;
    result.data_centers = {instances};
    result.upstreams = upstreams;
    result.service_time_ms = service_time_ms;
    result.slots = slots;
    result.upstream_options = upstream_options;
    return result;
}

/// Number of started executions in the records of all stand-ins.
struct run_counts {
    std::map<std::string, int> by_key;
    std::map<std::string, int> by_idempotency_key;

    int of_key(const std::string& key) const { return count(by_key, key); }
    int of_id(const std::string& id) const { return count(by_idempotency_key, id); }

private:
    static int count(const std::map<std::string, int>& from, const std::string& name) {
        const auto it = from.find(name);
        return it == from.end() ? 0 : it->second;
    }
};

inline run_counts count_runs(process_cluster& cluster) {
    run_counts result;
    for (const auto& upstream : cluster.upstreams()) {
        std::ifstream in(cluster.record_file(upstream));
        for (std::string line; std::getline(in, line);) {
            const auto parsed = app::decode_record(upstream.name, line);
            const auto* run = std::get_if<app::run_event>(&parsed.event);
            if (run != nullptr && run->start) {
                ++result.by_key[run->key];
                ++result.by_idempotency_key[run->idempotency_key];
            }
        }
    }
    return result;
}

/// Upstream that owns the key, taken from the body of an answer; empty when the lookup did not run.
inline std::string owner_of(process_cluster& cluster, const process_cluster::instance& entry,
                            const std::string& key) {
    const auto found = cluster.lookup(entry, key, std::chrono::seconds(1));
    const auto body = found.ran() ? app::decode_answer(found.body) : std::nullopt;
    return body ? body->upstream : std::string();
}

/// A key that the upstream owns.
inline std::string find_key_owned_by(process_cluster& cluster, const process_cluster::instance& entry,
                                     const std::string& upstream) {
    for (int n = 0; n < 200; ++n) {
        const auto key = "key-" + std::to_string(n);
        if (owner_of(cluster, entry, key) == upstream) {
            return key;
        }
    }
    FAIL("no key of " << upstream);
    return {};
}

/// Books @p id at @p address with the calling thread's own client; the cluster's client isn't thread-safe.
inline answer book_from(http_caller& caller, const std::string& address, const std::string& key,
                        const std::string& id, duration timeout = std::chrono::milliseconds(1500)) {
    return caller.send("POST", address, "/registry/rafts/" + key + "/bookings", "body",
                       {{"Idempotency-Key", id}}, timeout);
}

} // namespace kingcupseam::test
