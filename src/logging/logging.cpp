#include <kingcupseam/logging.h>

#include "logging/bounded_sink.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <memory>

namespace kingcupseam::logging {

namespace {

// Added to max_end_wait, after which the queued lines are dropped without waiting.
constexpr duration max_drop_time = std::chrono::milliseconds(50);

/// Message of a line, escaped.
class escaped_message : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& line, const std::tm& /*time*/,
                spdlog::memory_buf_t& out) override {
        const std::string text = json_escape(std::string_view(line.payload.data(), line.payload.size()));
        out.append(text.data(), text.data() + text.size());
    }
    std::unique_ptr<custom_flag_formatter> clone() const override {
        return std::make_unique<escaped_message>();
    }
};

std::shared_ptr<bounded_sink>& current_sink() {
    static std::shared_ptr<bounded_sink> result;
    return result;
}

} // namespace

std::string json_escape(std::string_view text) {
    std::string result;
    result.reserve(text.size());
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            result.push_back('\\');
            result.push_back(it);
        } else if (static_cast<unsigned char>(it) < 0x20) {
            result.append(fmt::format("\\u{:04x}", static_cast<unsigned>(it)));
        } else {
            result.push_back(it);
        }
    }
    return result;
}

void start(const std::string& pattern) {
    auto sink = std::make_shared<bounded_sink>(STDOUT_FILENO);
    spdlog::init_thread_pool(queue_lines, 1);
    auto logger = std::make_shared<spdlog::async_logger>("kingcupseam", sink, spdlog::thread_pool(),
                                                         spdlog::async_overflow_policy::overrun_oldest);
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<escaped_message>('*').set_pattern(pattern);
    logger->set_formatter(std::move(formatter));
    // The default handler writes to standard error, which may block the thread that logs.
    logger->set_error_handler([sink](const std::string& /*problem*/) { sink->count_dropped(); });
    spdlog::set_default_logger(std::move(logger));
    current_sink() = std::move(sink);
}

std::size_t dropped_lines() noexcept {
    const auto pool = spdlog::thread_pool();
    const auto sink = current_sink();
    return (pool ? pool->overrun_counter() : 0) + (sink ? sink->dropped() : 0);
}

bool finish() {
    const auto sink = current_sink();
    if (!sink) {
        return true;
    }
    sink->end_at(steady_now() + max_end_wait);
    // Lines are handled in order, so the flush comes after all of them.
    spdlog::default_logger()->flush();
    return sink->wait_for_flush(max_end_wait + max_drop_time);
}

void print_error(std::string_view text) {
    bounded_writer out(STDERR_FILENO);
    out.end_at(steady_now() + max_end_wait);
    out.write(text);
}

} // namespace kingcupseam::logging
