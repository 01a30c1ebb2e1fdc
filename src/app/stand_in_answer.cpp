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
        text += '\n'; // keeps bytes from moving between neighbouring fields unnoticed
    }
    text += std::to_string(it.executions);
    text += '\n';
    text += padding;
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

} // namespace

std::string encode_answer(const stand_in_answer& answer, std::size_t bytes) {
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
    const std::string padding(bytes > length ? bytes - length : 0, '.');
    body["padding"] = padding;
    body["checksum"] = checksum(answer, padding);
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stand_in_answer> decode_answer(const std::string& body) {
    try {
        const auto it = json::parse(body);
        stand_in_answer answer{it.at("key"),  it.at("idempotency_key"), it.at("method"),
                               it.at("path"), it.at("upstream"),        it.at("executions")};
        if (checksum(answer, it.at("padding")) == it.at("checksum").get<std::string>()) {
            return answer;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace kingcupseam::app
