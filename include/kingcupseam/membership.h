#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::membership {

enum class status : std::uint8_t { alive, suspect, dead, left };

/// State of one instance as known to another. A record of a higher incarnation replaces one of a lower.
/// Within an incarnation the higher version wins, and at equal versions the later status in the order of the
/// enum.
struct record {
    instance_id id;
    status condition = status::alive;
    std::uint32_t version = 0; ///< raised only by the instance itself, to refute a suspicion
    endpoint_address address;
    auto operator<=>(const record&) const = default;
};

enum class message_kind : std::uint8_t { probe, probe_ack, indirect_probe, join, join_reply };

struct message {
    message_kind kind = message_kind::probe;
    std::uint64_t sequence = 0;
    instance_id from;
    instance_id subject;      ///< target of an indirect probe
    endpoint_address address; ///< address of the subject
    std::vector<record> changes;
    bool operator==(const message&) const = default;
};

struct outgoing {
    endpoint_address to;
    message body;
};

struct effects {
    std::vector<outgoing> messages;
    std::vector<record> changed; ///< records whose status or incarnation changed
};

struct options {
    record self;
    std::vector<endpoint_address> seeds;
    // A death is detected within one probe interval, two probe timeouts and one suspicion timeout: 277 ms,
    // less than the required 300 ms. The timeouts add up to more than 200 ms, so that a pause of that length
    // is not taken for a death. A shorter interval would need more than 2 KB/s with UDP and IP headers
    // (benchmark/membership_cost.cpp).
    duration probe_interval = std::chrono::milliseconds(72);
    duration probe_timeout = std::chrono::milliseconds(20);
    duration suspicion_timeout = std::chrono::milliseconds(165);
    duration dead_retention = std::chrono::minutes(10);
    std::size_t indirect_probes = 2;
    std::size_t max_piggyback = 6;
    std::uint64_t seed = 1;
};

/// SWIM-like failure detector. Probes its successor in a ring of all members, and less often a random member,
/// so the cost per instance does not grow with their number. Changes are piggybacked on the messages; deaths
/// and refutations are also sent at once. The caller passes the time and sends the messages.
class detector {
public:
    detector(options settings, time_point now);

    effects tick(time_point now);
    effects receive(const message& received, const endpoint_address& from, time_point now);
    /// Announces that this instance leaves, so that the others do not wait for a suspicion timeout.
    effects leave(time_point now);

    std::vector<record> members() const;
    bool alive(const instance_id& id) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::membership
