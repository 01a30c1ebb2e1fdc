#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace kingcupseam::app {

/// JSON body of a stand-in's answer to an executed request. It echoes what the caller sent and has a
/// checksum, so that the caller detects the answer to another request and a truncated or damaged answer.
struct stand_in_answer {
    std::string key;
    std::string idempotency_key;
    std::string method;
    std::string path;
    std::string upstream;
    std::uint64_t executions = 0; ///< executions of the key so far, including this one
    bool operator==(const stand_in_answer&) const = default;
};

/// @param min_bytes minimum length of the body; a shorter one is padded
std::string encode_answer(const stand_in_answer& answer, std::size_t min_bytes);
/// @returns empty when the body is not a complete answer with a correct checksum
std::optional<stand_in_answer> decode_answer(const std::string& body);

} // namespace kingcupseam::app
