#include "app/instance/ledger_host.h"

#include "app/instance/replica_name.h"

#include <algorithm>

namespace kingcupseam::app {

namespace {

constexpr duration operation_timeout = std::chrono::milliseconds(200);
// Five times the 2 s within which an accepted profile comes into force on all reachable instances.
constexpr duration profile_propagation_time = std::chrono::seconds(10);

wire::LedgerRecord to_wire(const ledger::record& source) {
    wire::LedgerRecord result;
    result.service_name = source.service;
    result.shard = static_cast<std::int32_t>(source.shard);
    result.idempotency_key = source.key;
    result.epoch = static_cast<std::int64_t>(source.epoch);
    result.attempt = static_cast<std::int64_t>(source.attempt);
    result.state = static_cast<std::int8_t>(source.state);
    result.status = source.status;
    result.answer = source.answer;
    result.request_digest = source.digest;
    return result;
}

} // namespace

ledger::record record_from_wire(const wire::LedgerRecord& source) {
    return {source.service_name,
            static_cast<std::uint32_t>(source.shard),
            source.idempotency_key,
            static_cast<std::uint64_t>(source.epoch),
            static_cast<std::uint64_t>(source.attempt),
            static_cast<ledger::record_state>(source.state),
            source.status,
            source.answer,
            source.request_digest};
}

ledger_host::ledger_host(const instance_id& self, peer_mesh& mesh, const view_holder& views)
    : self_(replica_name(self)), mesh_(mesh), views_(views), writer_(operation_timeout),
      guaranteed_retention_(profile_propagation_time) {}

void ledger_host::update_retention(const routing_view& view, time_point now) {
    duration longest{0};
    for (const auto& [service, placement] : view.placements) {
        const auto* profile = view.rules ? view.rules->profile_of(service) : nullptr;
        longest = std::max(longest, profile == nullptr ? duration::zero() : profile->ledger_retention);
    }
    if (longest == duration::zero()) {
        return;
    }
    retention_ = longest;
    for (auto& [group, it] : replicas_) {
        it.set_retention(longest);
    }
    writer_.set_retention(longest);
    guaranteed_retention_.set_retention(longest, now);
}

bool ledger_host::expired(const std::string& service, const std::string& idempotency_key,
                          time_point now) const {
    const auto created = ledger::creation_time(idempotency_key);
    const auto view = views_.load();
    const auto* profile = view->rules ? view->rules->profile_of(service) : nullptr;
    if (!created || profile == nullptr) {
        return false;
    }
    const auto age = std::chrono::system_clock::now() - *created;
    return age > std::min(profile->ledger_retention, guaranteed_retention_.at(now));
}

std::vector<std::string> ledger_host::replicas_of(std::uint32_t shard) const {
    const auto view = views_.load();
    const auto* table = view->local_table();
    if (table == nullptr || table->ledger_groups.empty()) {
        return {};
    }
    return table->ledger_groups[shard % table->ledger_groups.size()].replicas;
}

void ledger_host::begin(const ledger::record& wanted, const ledger::writer::on_decision& done) {
    if (may_predate_reset(wanted)) {
        done({ledger::verdict::in_doubt, std::nullopt});
        return;
    }
    send(writer_.begin(wanted, replicas_of(wanted.shard), done, steady_now()));
}

void ledger_host::look_up(const ledger::record& wanted, const ledger::writer::on_decision& done) {
    if (may_predate_reset(wanted)) {
        done({ledger::verdict::in_doubt, std::nullopt});
        return;
    }
    send(writer_.look_up(wanted, replicas_of(wanted.shard), done, steady_now()));
}

void ledger_host::finish(const ledger::record& result) {
    send(writer_.finish(
        result, replicas_of(result.shard), [](bool) {}, steady_now()));
}

void ledger_host::abandon(const std::string& service, std::uint32_t shard, const std::string& key) {
    writer_.abandon(service, shard, key);
}

void ledger_host::tick(time_point now) {
    send(writer_.tick(now));
    if (!window_copy_ && now >= next_window_copy_) {
        start_window_copy(now);
    }
}

void ledger_host::send(const std::vector<ledger::replica_request>& messages) {
    for (const auto& it : messages) {
        if (it.write) {
            send_write(it);
        } else {
            send_fence(it);
        }
    }
}

transport::peer_link* ledger_host::link_to(const std::string& replica) {
    const auto id = instance_of(replica);
    const auto view = views_.load();
    const auto it = view->instances.find(id.name);
    if (it == view->instances.end() || it->second.incarnation != id.incarnation) {
        return nullptr; // the instance has restarted and lost its windows
    }
    return &mesh_.link_to(id.name, traffic_address(it->second.address));
}

void ledger_host::send_write(const ledger::replica_request& message) {
    const time_point now = steady_now();
    if (message.replica == self_) {
        auto* const replica = local_replica(message.write->shard);
        const auto result = replica == nullptr ? ledger::write_result{} : replica->write(*message.write, now);
        send(writer_.on_write_reply(message.operation, self_, result, now));
        return;
    }
    auto* const link = link_to(message.replica);
    if (link == nullptr) {
        send(writer_.on_replica_failed(message.operation, message.replica, now));
        return;
    }
    link->request(
        {transport::frame_type::ledger_record, 0, transport::encode(to_wire(*message.write))},
        operation_timeout, [this, message](const transport::reply& it) {
            const time_point received = steady_now();
            if (!it.answer) {
                send(writer_.on_replica_failed(message.operation, message.replica, received));
                return;
            }
            const auto reply = transport::decode<wire::LedgerRecordReply>(it.answer->payload);
            ledger::write_result result{reply.accepted, static_cast<std::uint64_t>(reply.sealed_epoch), {}};
            if (reply.__isset.existing) {
                result.existing = record_from_wire(reply.existing);
            }
            send(writer_.on_write_reply(message.operation, message.replica, result, received));
        });
}

void ledger_host::send_fence(const ledger::replica_request& message) {
    const time_point now = steady_now();
    const auto& [service, shard] = *message.fence;
    if (message.replica == self_) {
        auto* const replica = local_replica(shard);
        const auto result =
            replica == nullptr ? ledger::fence_result{} : replica->fence(service, shard, message.epoch, now);
        send(writer_.on_fence_reply(message.operation, self_, result, now));
        return;
    }
    auto* const link = link_to(message.replica);
    if (link == nullptr) {
        send(writer_.on_replica_failed(message.operation, message.replica, now));
        return;
    }
    wire::LedgerSeal fence;
    fence.service_name = service;
    fence.shard = static_cast<std::int32_t>(shard);
    fence.epoch = static_cast<std::int64_t>(message.epoch);
    link->request(
        {transport::frame_type::ledger_seal, 0, transport::encode(fence)}, operation_timeout,
        [this, message](const transport::reply& it) {
            const time_point received = steady_now();
            if (!it.answer) {
                send(writer_.on_replica_failed(message.operation, message.replica, received));
                return;
            }
            const auto reply = transport::decode<wire::LedgerSealReply>(it.answer->payload);
            ledger::fence_result result{reply.accepted, static_cast<std::uint64_t>(reply.sealed_epoch), {}};
            for (const auto& record : reply.window) {
                result.window.push_back(record_from_wire(record));
            }
            send(writer_.on_fence_reply(message.operation, message.replica, result, received));
        });
}

wire::LedgerRecordReply ledger_host::on_record(const wire::LedgerRecord& received) {
    auto* const replica = local_replica(static_cast<std::uint32_t>(received.shard));
    const auto result = replica == nullptr ? ledger::write_result{}
                                           : replica->write(record_from_wire(received), steady_now());
    wire::LedgerRecordReply reply;
    reply.accepted = result.accepted;
    reply.sealed_epoch = static_cast<std::int64_t>(result.fenced_epoch);
    if (result.existing) {
        reply.__set_existing(to_wire(*result.existing));
    }
    return reply;
}

wire::LedgerSealReply ledger_host::on_fence(const wire::LedgerSeal& received) {
    const auto shard = static_cast<std::uint32_t>(received.shard);
    auto* const replica = local_replica(shard);
    const auto result = replica == nullptr
                            ? ledger::fence_result{}
                            : replica->fence(received.service_name, shard,
                                             static_cast<std::uint64_t>(received.epoch), steady_now());
    wire::LedgerSealReply reply;
    reply.accepted = result.accepted;
    reply.sealed_epoch = static_cast<std::int64_t>(result.fenced_epoch);
    for (const auto& it : result.window) {
        reply.window.push_back(to_wire(it));
    }
    return reply;
}

} // namespace kingcupseam::app
