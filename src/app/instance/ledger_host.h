#pragma once

#include "app/instance/peer_mesh.h"

#include <kingcupseam/ledger.h>

#include <peer_types.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcupseam::app {

ledger::record record_from_wire(const wire::LedgerRecord& source);

/// The ledger on the gate thread: this instance's replicas, and the writer that its gates share.
class ledger_host {
public:
    ledger_host(const instance_id& self, peer_mesh& mesh, const view_holder& views);

    /// Applies the ledger groups of a new routing table. A replica of a new group starts empty; a replica
    /// that joins an existing group first copies the windows of the others.
    void on_view_changed(const routing_view& view);
    /// Groups that this instance joins and whose windows it has installed.
    std::set<std::uint32_t> installed_groups() const;

    /// Records that a request is about to run; see ledger::writer::begin().
    void begin(const ledger::record& wanted, const ledger::writer::on_decision& done);
    /// Looks a key up in the window without recording anything; see ledger::writer::look_up().
    void look_up(const ledger::record& wanted, const ledger::writer::on_decision& done);
    void finish(const ledger::record& result);
    void abandon(const std::string& service, std::uint32_t shard, const std::string& key);
    ledger::writer& writer() noexcept { return writer_; }

    /// Writes a record of another instance's gate to this instance's replica.
    wire::LedgerRecordReply on_record(const wire::LedgerRecord& received);
    /// Fences a shard at this instance's replica; `LedgerSeal` is the wire name of a fence.
    wire::LedgerSealReply on_fence(const wire::LedgerSeal& received);
    void tick(time_point now);
    /// Sets the retention of all windows to the longest one of the accepted profiles.
    void update_retention(const routing_view& view, time_point now);
    /// True if the key was created before the period that the windows cover for the service.
    bool expired(const std::string& service, const std::string& idempotency_key, time_point now) const;

private:
    /// A copy in progress of one group's windows from its live replicas.
    struct window_copy {
        std::uint32_t group = 0;
        std::size_t outstanding = 0;
        bool failed = false;
        std::vector<ledger::shard_window> windows;
    };

    std::optional<std::uint32_t> group_of(std::uint32_t shard) const;
    ledger::replica* local_replica(std::uint32_t shard);
    /// True if the key may have begun before its ledger group was last reset.
    bool may_predate_reset(const ledger::record& wanted) const;
    void start_window_copy(time_point now);
    void request_window(const std::string& replica, const std::string& service, std::uint32_t shard,
                        std::uint64_t epoch);
    void on_window(std::optional<ledger::shard_window> window);
    std::vector<std::string> replicas_of(std::uint32_t shard) const;
    void send(const std::vector<ledger::replica_request>& messages);
    void send_write(const ledger::replica_request& message);
    void send_fence(const ledger::replica_request& message);
    transport::peer_link* link_to(const std::string& replica);

    std::string self_;
    peer_mesh& mesh_;
    const view_holder& views_;
    std::map<std::uint32_t, ledger::replica> replicas_; ///< by ledger group
    std::set<std::uint32_t> joining_;
    std::optional<window_copy> window_copy_;
    time_point next_window_copy_;
    duration retention_ = std::chrono::minutes(10);
    ledger::writer writer_;
    ledger::guaranteed_retention guaranteed_retention_;
};

} // namespace kingcupseam::app
