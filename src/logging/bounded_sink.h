#pragma once

#include "logging/bounded_writer.h"

#include <spdlog/sinks/base_sink.h>

#include <condition_variable>
#include <mutex>

namespace kingcupseam::logging {

/// Sink of spdlog that drops and counts the lines that its descriptor doesn't take.
class bounded_sink : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit bounded_sink(int descriptor) noexcept : writer_(descriptor) {}

    /// From @p end on, lines don't wait for room.
    void end_at(time_point end) noexcept { writer_.end_at(end); }
    /// @returns false if no flush has arrived within @p limit. Independent of a write that is under way.
    bool wait_for_flush(duration limit) {
        std::unique_lock<std::mutex> lock(flush_mutex_);
        return flushed_condition_.wait_for(lock, limit, [this] { return flushed_; });
    }
    std::size_t dropped() const noexcept { return dropped_; }
    void count_dropped() noexcept { ++dropped_; }

protected:
    void sink_it_(const spdlog::details::log_msg& msg) override {
        spdlog::memory_buf_t buf;
        formatter_->format(msg, buf);
        if (!writer_.write({buf.data(), buf.size()})) {
            count_dropped();
        }
    }
    void flush_() override {
        const std::lock_guard<std::mutex> lock(flush_mutex_);
        flushed_ = true;
        flushed_condition_.notify_all();
    }

private:
    bounded_writer writer_;
    std::atomic<std::size_t> dropped_{0};
    std::mutex flush_mutex_;
    std::condition_variable flushed_condition_;
    bool flushed_ = false;
};

} // namespace kingcupseam::logging
