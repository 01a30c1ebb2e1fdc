#pragma once

#include "router/answer_parts.h"
#include "router/gate_assignment.h"
#include "router/gate_network.h"
#include "router/link_delay.h"

#include <kingcupseam/transport.h>

#include <asio.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// Links between entries. Runs on the traffic thread.
class gate_links : public gate_network {
public:
    /// Handlers of messages from other entries, and of the end of their connections.
    struct receiver {
        /// @returns false when this entry does not accept the request
        std::function<bool(routed_request request, std::uint64_t connection, std::uint64_t number,
                           routed_reply reply)>
            on_request;
        std::function<void(std::uint64_t connection, std::uint64_t number)> on_withdrawn;
        std::function<void(std::uint64_t connection)> on_disconnect;
    };

    /// @param max_answer_bytes of all long answers together that arrive, and of all that are being sent
    gate_links(asio::io_context& context, const transport::peer_identity& self,
               const endpoint_address& listen, receiver callbacks,
               std::size_t max_answer_bytes = std::size_t{32} * 1024 * 1024);

    /// @param entries all entries that accept requests
    void set_entries(std::vector<entry_instance> entries);

    void set_upstreams(const std::vector<const directory::upstream*>& upstreams) override {
        assignment_.set_upstreams(upstreams);
    }
    bool is_gate(const directory::upstream& target) override;
    std::string gate_of(const directory::upstream& target) override;
    std::uint64_t forward(const std::string& gate, routed_request request, duration limit,
                          on_end done) override;
    void withdraw(const std::string& gate, std::uint64_t number) override;
    /// True while parts of an answer wait to be sent.
    bool sending() const { return sender_->sending(); }

private:
    using connection_ptr = std::shared_ptr<transport::connection>;

    /// An accepted connection of another entry.
    struct incoming {
        std::uint64_t number = 0;
        link_delay delay;
    };

    /// @param number 0 cancels nothing, and only tells the gate the clock of this entry
    static void cancel(transport::peer_link& link, std::uint64_t number);
    /// Null while the link is down; the first call starts to connect it.
    transport::peer_link* link(const std::string& name);
    void on_frame(const connection_ptr& from, const transport::frame& received);
    void on_routed_request(const connection_ptr& from, const transport::frame& received);
    /// Takes the time that a request was held up on its link off the time that it has left.
    /// @returns false for a request that was held up for too long to be accepted
    static bool deduct_delay(routed_request& request, duration delay);
    incoming& incoming_of(const connection_ptr& from);
    void on_link_state(const std::string& name, bool up);
    void on_answer_part(const std::string& gate, const transport::frame& received);

    asio::io_context& context_;
    transport::peer_identity self_;
    receiver callbacks_;
    gate_assignment assignment_;
    std::map<std::string, std::unique_ptr<transport::peer_link>> links_;
    /// Pending requests that may run again, by gate and number: they need not wait for a silent gate.
    std::map<std::string, std::map<std::uint64_t, on_end>> repeatable_;
    std::map<connection_ptr, incoming> connections_; ///< those that have sent something
    std::uint64_t next_connection_;
    answer_gatherer gathered_;
    std::shared_ptr<answer_sender> sender_;
    transport::peer_server server_;
};

} // namespace kingcupseam::router
