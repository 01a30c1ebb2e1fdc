#pragma once

#include "router/gate_network.h"

#include <kingcupseam/transport.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace kingcupseam::router {

/// Sends the answers of a gate to other entries. The body of a long one is sent in parts, each once the
/// former one is written, so that no frame is long and other frames pass between the parts.
class answer_sender : public std::enable_shared_from_this<answer_sender> {
public:
    using connection_ptr = std::shared_ptr<transport::connection>;

    /// @param max_unsent_bytes of the bodies of all long answers that are being sent; the request of a
    /// further one ends as lost
    explicit answer_sender(std::size_t max_unsent_bytes) : max_unsent_bytes_(max_unsent_bytes) {}

    /// @param number of the request on its connection
    void send(const connection_ptr& to, std::uint64_t number, routed_result result);
    /// Drops the unsent parts of an answer.
    void drop(const connection_ptr& to, std::uint64_t number);
    void drop_all(const connection_ptr& to);
    bool sending() const { return !unsent_.empty(); }

private:
    struct long_answer {
        routed_result result;
        time_point begun;
        std::size_t sent = 0; ///< bytes of the body
    };
    using answer_map = std::map<std::pair<connection_ptr, std::uint64_t>, long_answer>;

    void send_next(const connection_ptr& to, std::uint64_t number);
    void send_last(const connection_ptr& to, std::uint64_t number, long_answer answer);
    long_answer remove(answer_map::iterator it);

    std::size_t max_unsent_bytes_;
    std::size_t unsent_bytes_ = 0; ///< of the whole bodies in unsent_
    answer_map unsent_;
};

/// Keeps what has arrived of long answers from gates.
class answer_gatherer {
public:
    /// @param max_bytes of all unfinished answers together
    explicit answer_gatherer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// @returns false, and adds nothing, if the limit would be exceeded
    bool add(const std::string& gate, std::uint64_t number, std::string_view bytes);
    /// Removes the parts of an answer; empty if there are none.
    std::string take(const std::string& gate, std::uint64_t number);

private:
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::string> parts_;
};

} // namespace kingcupseam::router
