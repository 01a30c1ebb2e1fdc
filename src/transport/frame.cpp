#include <kingcupseam/transport.h>

#include <array>

namespace kingcupseam::transport {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t rest_header_bytes = frame_header_bytes - length_bytes;
static_assert(max_payload_bytes + rest_header_bytes == max_frame_bytes);
// The buffer is compacted above this many consumed bytes, so that it does not grow on a long-lived link.
constexpr std::size_t compact_threshold = 64 * 1024;

void append_big_endian(std::string& buf, std::uint64_t value, int bytes) {
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        buf.push_back(static_cast<char>((value >> shift) & 0xff));
    }
}

std::uint64_t read_big_endian(std::string_view buf) {
    std::uint64_t value = 0;
    for (const char it : buf) {
        value = (value << 8) | static_cast<unsigned char>(it);
    }
    return value;
}

} // namespace

std::string encode_frame(const frame& source) {
    if (source.payload.size() > max_payload_bytes) {
        throw malformed_frame("payload of " + std::to_string(source.payload.size()) +
                              " bytes exceeds the frame limit");
    }
    std::string buf;
    buf.reserve(frame_header_bytes + source.payload.size());
    append_big_endian(buf, rest_header_bytes + source.payload.size(), 4);
    append_big_endian(buf, static_cast<std::uint64_t>(source.type), 2);
    append_big_endian(buf, source.correlation, 8);
    buf.append(source.payload);
    return buf;
}

void frame_decoder::feed(std::string_view bytes) {
    if (consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
    } else if (consumed_ > compact_threshold) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

std::string frame_decoder::take_rest() {
    std::string result = buffer_.substr(consumed_);
    buffer_.clear();
    consumed_ = 0;
    return result;
}

std::optional<frame> frame_decoder::next() {
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < length_bytes) {
        return std::nullopt;
    }
    const std::uint64_t length = read_big_endian(rest.substr(0, length_bytes));
    if (length < rest_header_bytes || length > max_frame_bytes) {
        throw malformed_frame("frame length " + std::to_string(length) + " is not " +
                              std::to_string(rest_header_bytes) + " to " + std::to_string(max_frame_bytes));
    }
    if (rest.size() < length_bytes + length) {
        return std::nullopt;
    }
    const std::uint64_t type = read_big_endian(rest.substr(length_bytes, 2));
    if (type == 0 || type > last_frame_type) {
        throw malformed_frame("unknown frame type " + std::to_string(type));
    }
    frame result{static_cast<frame_type>(type), read_big_endian(rest.substr(length_bytes + 2, 8)),
                 std::string(rest.substr(frame_header_bytes, length - rest_header_bytes))};
    consumed_ += length_bytes + length;
    return result;
}

} // namespace kingcupseam::transport
