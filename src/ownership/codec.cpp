#include "ownership/codec.h"

#include <kingcupseam/error.h>

namespace kingcupseam::ownership {

void byte_writer::number(std::uint64_t value) {
    while (value >= 0x80) {
        bytes_.push_back(static_cast<char>(value | 0x80U));
        value >>= 7U;
    }
    bytes_.push_back(static_cast<char>(value));
}

void byte_writer::text(const std::string& value) {
    number(value.size());
    bytes_ += value;
}

std::uint64_t byte_reader::number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
        if (position_ >= bytes_.size()) {
            fail("ends too early");
        }
        const auto byte = static_cast<unsigned char>(bytes_[position_++]);
        value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
        if (byte < 0x80) {
            return value;
        }
    }
    fail("number longer than 64 bits");
}

std::uint64_t byte_reader::number_up_to(std::uint64_t limit) {
    const auto value = number();
    if (value > limit) {
        fail("number above " + std::to_string(limit));
    }
    return value;
}

std::string byte_reader::text() {
    const auto n = length();
    std::string value = bytes_.substr(position_, n);
    position_ += n;
    return value;
}

void byte_reader::expect_end() const {
    if (position_ != bytes_.size()) {
        fail("has bytes after its end");
    }
}

void byte_reader::fail(const std::string& problem) const {
    throw invalid_input(source_, "byte " + std::to_string(position_), problem);
}

} // namespace kingcupseam::ownership
