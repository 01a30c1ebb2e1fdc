#pragma once

#include <kingcupseam/error.h>
#include <kingcupseam/types.h>

#include <string>
#include <vector>

namespace kingcupseam::app {

/// No operator listener gave a usable answer within the time allowed.
class operator_unreachable : public error {
public:
    using error::error;
};

/// The operator listener refused the token.
class token_refused : public error {
public:
    using error::error;
};

/// The operator listener answered something other than the protocol.
class unexpected_answer : public error {
public:
    using error::error;
};

struct operator_answer {
    long status = 0;
    std::string body;
};

/// Synchronous client of the operator API (docs/protocol.md). A request goes to the given listeners in turn
/// until one gives an answer other than 503, so it may arrive more than once: only idempotent requests, or
/// ones with a change id, may be sent.
class operator_client {
public:
    /// @param listeners at least one
    /// @param timeout for a request over all listeners and rounds
    operator_client(std::vector<endpoint_address> listeners, std::string token, duration timeout);

    /// @throws operator_unreachable, token_refused
    operator_answer get(const std::string& target) const;
    operator_answer post(const std::string& target, const std::string& body) const;

private:
    operator_answer send(const std::string& target, const std::string* body) const;

    std::vector<endpoint_address> listeners_;
    std::string token_;
    duration timeout_;
};

/// Percent-encodes a path segment or query value.
std::string url_escape(const std::string& text);

} // namespace kingcupseam::app
