#include <kingcupseam/encoding.h>

#include <limits>

namespace kingcupseam::encoding {

encoder& encoder::u8(std::uint8_t value) {
    bytes_.push_back(static_cast<char>(value));
    return *this;
}

encoder& encoder::u32(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) {
        u8(static_cast<std::uint8_t>(value >> shift));
    }
    return *this;
}

encoder& encoder::u64(std::uint64_t value) {
    u32(static_cast<std::uint32_t>(value >> 32));
    return u32(static_cast<std::uint32_t>(value));
}

encoder& encoder::text(std::string_view value) {
    if (value.size() > std::numeric_limits<std::uint32_t>::max()) {
        throw invalid_input("encoder", "text", "must be at most 4 GiB");
    }
    u32(static_cast<std::uint32_t>(value.size()));
    bytes_.append(value);
    return *this;
}

decoder::decoder(std::string source, std::string_view bytes, std::uint8_t max_version)
    : source_(std::move(source)), bytes_(bytes) {
    version_ = u8();
    if (version_ == 0 || version_ > max_version) {
        throw invalid_input(source_, "version",
                            "must be 1 to " + std::to_string(max_version) + ", not " +
                                std::to_string(version_));
    }
}

std::uint64_t decoder::number(std::size_t bytes) {
    if (bytes_.size() - position_ < bytes) {
        fail("ends early");
    }
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < bytes; ++n) {
        value = (value << 8) | static_cast<std::uint8_t>(bytes_[position_++]);
    }
    return value;
}

std::uint8_t decoder::u8() {
    return static_cast<std::uint8_t>(number(1));
}

std::uint32_t decoder::u32() {
    return static_cast<std::uint32_t>(number(4));
}

std::uint64_t decoder::u64() {
    return number(8);
}

bool decoder::boolean() {
    const std::uint8_t value = u8();
    if (value > 1) {
        fail("a boolean must be 0 or 1");
    }
    return value == 1;
}

std::string decoder::text() {
    const std::uint32_t n = u32();
    if (bytes_.size() - position_ < n) {
        fail("a text ends early");
    }
    std::string value(bytes_.substr(position_, n));
    position_ += n;
    return value;
}

std::uint32_t decoder::length(std::size_t min_element_bytes) {
    const std::uint32_t n = u32();
    if (n > (bytes_.size() - position_) / min_element_bytes) {
        fail("a list is longer than the remaining bytes");
    }
    return n;
}

void decoder::finish() const {
    if (position_ != bytes_.size()) {
        fail("has bytes after its end");
    }
}

void decoder::fail(const std::string& problem) const {
    throw invalid_input(source_, "byte " + std::to_string(position_), problem);
}

} // namespace kingcupseam::encoding
