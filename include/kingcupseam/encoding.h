#pragma once

#include <kingcupseam/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupseam::encoding {

/// Writes a versioned, length-prefixed binary form: a version byte, then fields. Numbers are big-endian;
/// texts and nested values carry a 4-byte length.
class encoder {
public:
    explicit encoder(std::uint8_t version) { u8(version); }

    encoder& u8(std::uint8_t value);
    encoder& u32(std::uint32_t value);
    encoder& u64(std::uint64_t value);
    encoder& boolean(bool value) { return u8(value ? 1 : 0); }
    /// @throws invalid_input when @p value is longer than 4 GiB
    encoder& text(std::string_view value);
    /// Moves the bytes out; the encoder must not be used afterwards.
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads what an encoder wrote. The bytes must outlive the decoder.
class decoder {
public:
    /// @param source name of the value, for errors
    /// @param max_version versions 1 to max_version are accepted
    /// @throws invalid_input on another version
    decoder(std::string source, std::string_view bytes, std::uint8_t max_version);

    std::uint8_t version() const noexcept { return version_; }
    /// All of these throw invalid_input when the bytes end early or the value is out of range.
    std::uint8_t u8();
    std::uint32_t u32();
    std::uint64_t u64();
    bool boolean();
    std::string text();
    /// Reads the number of elements of a list. Refuses a number that the remaining bytes cannot hold, so that
    /// damaged bytes cannot cause a large allocation.
    /// @param min_element_bytes smallest encoded size of one element, at least 1
    std::uint32_t length(std::size_t min_element_bytes);
    /// @throws invalid_input when bytes are left
    void finish() const;
    [[noreturn]] void fail(const std::string& problem) const;

private:
    std::uint64_t number(std::size_t bytes);

    std::string source_;
    std::string_view bytes_;
    std::size_t position_ = 0;
    std::uint8_t version_ = 0;
};

/// Length of the UTF-8 character at the start of @p text; 0 when it is malformed or the text is empty.
std::size_t utf8_length(std::string_view text) noexcept;
/// True for UTF-8 without control characters: fit for a header, a JSON text and a log line.
bool is_plain_text(std::string_view text) noexcept;

} // namespace kingcupseam::encoding
