#pragma once

#include "app/instance/peer_mesh.h"

#include <kingcupseam/ledger.h>

#include <peer_types.h>

#include <string>
#include <vector>

namespace kingcupseam::app {

/// The ledger on the gate thread: this instance's replica, and the writer that its gates share.
class ledger_host {
public:
    ledger_host(std::string self, peer_mesh& mesh, const view_holder& views);

    void begin(const ledger::record& wanted, const ledger::writer::on_decision& done);
    /// Reports what the window says of a key; see ledger::writer::check().
    void check(const ledger::record& wanted, const ledger::writer::on_decision& done);
    void finish(const ledger::record& result);
    void abandon(const std::string& service, std::uint32_t shard, const std::string& key);
    ledger::writer& writer() noexcept { return writer_; }

    wire::LedgerRecordReply on_record(const wire::LedgerRecord& received);
    wire::LedgerSealReply on_seal(const wire::LedgerSeal& received);
    void tick(time_point now);
    /// Takes the retention from the accepted profiles: the longest of them for all windows.
    void update_retention(const routing_view& view, time_point now);
    /// True when the time in the key is older than what the windows still hold for the service.
    bool expired(const std::string& service, const std::string& idempotency_key, time_point now) const;

private:
    std::vector<std::string> replicas_of(std::uint32_t shard) const;
    void send(const std::vector<ledger::outgoing>& messages);
    void send_write(const ledger::outgoing& message);
    void send_seal(const ledger::outgoing& message);
    transport::peer_link* link_to(const std::string& replica);

    std::string self_;
    peer_mesh& mesh_;
    const view_holder& views_;
    ledger::replica replica_;
    ledger::writer writer_;
    ledger::covered_age covered_;
};

} // namespace kingcupseam::app
