#include "ledger/writer_state.h"

namespace kingcupseam::ledger {

writer::writer(duration operation_timeout, duration retention)
    : state_(std::make_shared<state>(operation_timeout, retention)) {}

void writer::set_retention(duration retention) {
    state_->set_retention(retention);
}

std::vector<replica_request> writer::begin(const record& wanted, const std::vector<std::string>& replicas,
                                           const on_decision& done, time_point now) {
    state::effects out;
    state_->now = now;
    state_->drop_expired_keys();
    state_->process_request({wanted, done, false}, replicas, out);
    return out.run();
}

std::vector<replica_request> writer::look_up(const record& wanted, const std::vector<std::string>& replicas,
                                             const on_decision& done, time_point now) {
    state::effects out;
    state_->now = now;
    state_->drop_expired_keys();
    state_->process_request({wanted, done, true}, replicas, out);
    return out.run();
}

std::vector<replica_request> writer::finish(const record& result,
                                            const std::vector<std::string>& /*replicas*/, const on_done& done,
                                            time_point now) {
    state::effects out;
    state_->now = now;
    state_->finish(result, done, out);
    return out.run();
}

void writer::abandon(const std::string& service, std::uint32_t shard, const std::string& key) {
    state::effects out;
    state_->abandon({service, shard}, key, out);
    out.run();
}

std::vector<replica_request> writer::on_write_reply(std::uint64_t operation, const std::string& from,
                                                    const write_result& reply, time_point now) {
    state::effects out;
    state_->now = now;
    state_->on_write_reply(operation, from, reply, out);
    return out.run();
}

std::vector<replica_request> writer::on_fence_reply(std::uint64_t operation, const std::string& from,
                                                    const fence_result& reply, time_point now) {
    state::effects out;
    state_->now = now;
    state_->on_fence_reply(operation, from, reply, out);
    return out.run();
}

std::vector<replica_request> writer::on_replica_failed(std::uint64_t operation, const std::string& from,
                                                       time_point now) {
    state::effects out;
    state_->now = now;
    state_->on_replica_failed(operation, from, out);
    return out.run();
}

std::vector<replica_request> writer::tick(time_point now) {
    state::effects out;
    state_->now = now;
    state_->expire_operations(out);
    state_->drop_expired_keys();
    return out.run();
}

std::size_t writer::pending() const noexcept {
    return state_->operations.size();
}

} // namespace kingcupseam::ledger
