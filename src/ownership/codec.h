#pragma once

#include <cstdint>
#include <string>

namespace kingcupseam::ownership {

/// Appends numbers as variable-length integers and strings with their length.
class byte_writer {
public:
    void number(std::uint64_t value);
    void text(const std::string& value);
    void flag(bool value) { number(value ? 1 : 0); }
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads what byte_writer wrote. Every call throws invalid_input at the end of the bytes or out of range.
class byte_reader {
public:
    byte_reader(std::string source, const std::string& bytes) : source_(std::move(source)), bytes_(bytes) {}

    std::uint64_t number();
    std::uint64_t number_up_to(std::uint64_t limit);
    /// Length of a list whose elements take at least one byte each.
    std::size_t length() { return number_up_to(bytes_.size() - position_); }
    std::string text();
    bool flag() { return number_up_to(1) == 1; }
    void expect_end() const;
    [[noreturn]] void fail(const std::string& problem) const;

private:
    std::string source_;
    const std::string& bytes_;
    std::size_t position_ = 0;
};

/// First byte of every encoding; raised when the layout changes.
inline constexpr std::uint64_t codec_version = 1;

} // namespace kingcupseam::ownership
