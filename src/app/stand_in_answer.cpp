#include "app/stand_in_answer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

std::string checksum(const stand_in_answer& it, const std::string& padding) {
    std::string text;
    for (const auto* part : {&it.key, &it.idempotency_key, &it.method, &it.path, &it.upstream}) {
        text += *part;
        text += '\n'; // separates the fields, so that "ab", "c" and "a", "bc" differ
    }
    text += std::to_string(it.executions);
    text += '\n';
    text += padding;
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

} // namespace

std::string encode_answer(const stand_in_answer& answer, std::size_t min_bytes) {
    json body{{"key", answer.key},
              {"idempotency_key", answer.idempotency_key},
              {"method", answer.method},
              {"path", answer.path},
              {"upstream", answer.upstream},
              {"executions", answer.executions},
              {"padding", ""},
              {"checksum", ""}};
    constexpr std::size_t checksum_digits = 16;
    const auto length = body.dump(-1, ' ', false, json::error_handler_t::replace).size() + checksum_digits;
    const std::string padding(min_bytes > length ? min_bytes - length : 0, '.');
    body["padding"] = padding;
    body["checksum"] = checksum(answer, padding);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stand_in_answer> decode_answer(const std::string& body) {
    try {
        const auto parsed = json::parse(body);
        stand_in_answer answer{parsed.at("key"),  parsed.at("idempotency_key"), parsed.at("method"),
                               parsed.at("path"), parsed.at("upstream"),        parsed.at("executions")};
        if (checksum(answer, parsed.at("padding")) == parsed.at("checksum").get<std::string>()) {
            return answer;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace kingcupseam::app
