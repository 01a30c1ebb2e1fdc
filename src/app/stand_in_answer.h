#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace kingcupseam::app {

/// Body of a stand-in's answer to an executed request. It repeats what the caller sent, so that the caller
/// can tell its own answer from another's and a whole one from a damaged one.
struct stand_in_answer {
    std::string key;
    std::string idempotency_key;
    std::string method;
    std::string path;
    std::string upstream;
    std::uint64_t executions = 0; ///< of the key, counting this one
    bool operator==(const stand_in_answer&) const = default;
};

/// @param bytes minimum length of the body, reached by padding
std::string encode_answer(const stand_in_answer& answer, std::size_t bytes);
/// @returns empty when the body is not a complete, undamaged answer
std::optional<stand_in_answer> decode_answer(const std::string& body);

} // namespace kingcupseam::app
