#include "app/run_record.h"

#include <kingcupseam/error.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace kingcupseam::app {

namespace {

using nlohmann::json;

std::int64_t to_microseconds(time_point value) {
    return value.time_since_epoch().count();
}

struct encoder {
    json line;

    void operator()(const process_start_event& it) {
        line["event"] = "open";
        line["upstream"] = it.upstream;
        line["service"] = it.service;
        line["incarnation"] = it.incarnation;
        line["checks_grants"] = it.checks_grants;
    }
    void operator()(const run_event& it) {
        line["event"] = it.start ? "start" : "end";
        line["service"] = it.service;
        line["key"] = it.key;
        line["shard"] = it.shard;
        line["request_id"] = it.request_id;
        line["idempotency_key"] = it.idempotency_key;
        line["epoch"] = it.epoch;
        line["method"] = it.method;
    }
    void operator()(const grant_event& it) {
        line["event"] = "grant";
        line["until"] = to_microseconds(it.until);
        line["epoch"] = it.epoch;
        if (it.scope) {
            line["shards"] = it.scope->shards;
            line["hot_keys"] = it.scope->hot_keys;
            line["moved_keys"] = it.scope->moved_keys;
        }
    }
};

run_event decode_run(const json& line, bool start) {
    return {start,
            line.at("service"),
            line.at("key"),
            line.at("shard"),
            line.at("request_id"),
            line.at("idempotency_key"),
            line.at("epoch"),
            line.at("method")};
}

grant_event decode_grant(const json& line) {
    grant_event result;
    result.until = time_point(duration(line.at("until").get<std::int64_t>()));
    result.epoch = line.at("epoch");
    if (line.contains("shards")) {
        result.scope = grant_scope{line.at("shards"), line.at("hot_keys"), line.at("moved_keys")};
    }
    return result;
}

record_line decode(const json& line) {
    record_line result;
    result.at = time_point(duration(line.at("at").get<std::int64_t>()));
    const auto event = line.at("event").get<std::string>();
    if (event == "open") {
        result.event = process_start_event{line.at("upstream"), line.at("service"), line.at("incarnation"),
                                           line.at("checks_grants")};
    } else if (event == "grant") {
        result.event = decode_grant(line);
    } else if (event == "start" || event == "end") {
        result.event = decode_run(line, event == "start");
    } else {
        throw json::other_error::create(599, "unknown event", nullptr);
    }
    return result;
}

} // namespace

std::string encode_record(const record_line& line) {
    encoder it{{{"at", to_microseconds(line.at)}}};
    std::visit(it, line.event);
    return it.line.dump(-1, ' ', false, json::error_handler_t::replace);
}

record_line decode_record(const std::string& source, const std::string& text) {
    try {
        return decode(json::parse(text));
    } catch (const json::exception& e) {
        throw invalid_input(source, "line", e.what());
    }
}

run_recorder::run_recorder(const std::filesystem::path& file) : file_(file) {
    if (file.empty()) {
        return;
    }
    fd_ = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd_ < 0) {
        throw io_error(file.string(), "open", errno);
    }
}

run_recorder::~run_recorder() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

void run_recorder::append(const record_line& line) {
    if (fd_ < 0) {
        return;
    }
    std::string text = encode_record(line);
    text += '\n';
    // A single write with O_APPEND puts the whole line into the page cache, which survives the process.
    const auto n = ::write(fd_, text.data(), text.size());
    if (n != static_cast<ssize_t>(text.size())) {
        throw io_error(file_.string(), "write", n < 0 ? errno : ENOSPC);
    }
}

} // namespace kingcupseam::app
