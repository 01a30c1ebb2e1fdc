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

/// The operator listener gave an answer that the protocol does not allow.
class unexpected_answer : public error {
public:
    using error::error;
};

struct operator_answer {
    long status = 0;
    std::string body;
};

/// Synchronous client of the operator API (docs/protocol.md). Sends a request to the listeners in turn until
/// one gives an answer other than 503. A request may therefore arrive more than once: it must be idempotent
/// or carry a change id.
class operator_client {
public:
    /// @param listeners at least one
    /// @param timeout total time for a request, over all attempts
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
