#include "transport/compression.h"

#include <kingcupseam/transport.h>

#include <array>
#include <cstdint>
#include <utility>

namespace kingcupseam::transport {

namespace {

// A window of 4 KiB holds the headers of recent requests. With it, compressing one direction takes 24 KiB of
// memory and expanding it 11 KiB, instead of 256 and 39 KiB with zlib's defaults. This matters since an entry
// may have a link to every other entry.
constexpr int window_bits = 12;
constexpr int memory_level = 4;
constexpr std::size_t block_bytes = 4 * 1024;
// A compressed payload begins with its expanded length, little-endian.
constexpr std::size_t length_bytes = 4;

Bytef* input_of(std::string_view bytes) {
    // zlib declares its input pointer const only with ZLIB_CONST, but does not write through it.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast,cppcoreguidelines-pro-type-reinterpret-cast)
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

Bytef* output_of(std::array<char, block_bytes>& block) {
    return reinterpret_cast<Bytef*>(block.data()); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

Bytef* output_of(std::string& bytes, std::size_t offset) {
    return reinterpret_cast<Bytef*>(bytes.data() +
                                    offset); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
}

} // namespace

void deflater::deleter::operator()(z_stream* it) const noexcept {
    ::deflateEnd(it);
    delete it; // NOLINT(cppcoreguidelines-owning-memory)
}

void inflater::deleter::operator()(z_stream* it) const noexcept {
    ::inflateEnd(it);
    delete it; // NOLINT(cppcoreguidelines-owning-memory)
}

deflater::deflater() : stream_(new z_stream{}) {
    if (::deflateInit2(stream_.get(), Z_BEST_SPEED, Z_DEFLATED, window_bits, memory_level,
                       Z_DEFAULT_STRATEGY) != Z_OK) {
        throw std::bad_alloc();
    }
}

std::string deflater::append(std::string_view bytes, int level) {
    std::string result;
    std::array<char, block_bytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
    if (std::exchange(level_, level) != level) {
        stream_->avail_in = 0;
        stream_->next_out = output_of(block);
        stream_->avail_out = static_cast<uInt>(block.size());
        ::deflateParams(stream_.get(), level, Z_DEFAULT_STRATEGY);
        result.append(block.data(), block.size() - stream_->avail_out);
    }
    stream_->next_in = input_of(bytes);
    stream_->avail_in = static_cast<uInt>(bytes.size());
    do {
        stream_->next_out = output_of(block);
        stream_->avail_out = static_cast<uInt>(block.size());
        ::deflate(stream_.get(), Z_SYNC_FLUSH);
        result.append(block.data(), block.size() - stream_->avail_out);
    } while (stream_->avail_out == 0);
    return result;
}

inflater::inflater() : stream_(new z_stream{}) {
    if (::inflateInit2(stream_.get(), window_bits) != Z_OK) {
        throw std::bad_alloc();
    }
}

std::string inflater::expand(std::string_view bytes, std::size_t limit) {
    std::string result;
    std::array<char, block_bytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
    stream_->next_in = input_of(bytes);
    stream_->avail_in = static_cast<uInt>(bytes.size());
    do {
        stream_->next_out = output_of(block);
        stream_->avail_out = static_cast<uInt>(block.size());
        const int status = ::inflate(stream_.get(), Z_SYNC_FLUSH);
        if (status != Z_OK && status != Z_BUF_ERROR) {
            throw malformed_frame("compressed stream is damaged");
        }
        result.append(block.data(), block.size() - stream_->avail_out);
        if (result.size() > limit) {
            throw malformed_frame("compressed stream expands beyond the limit");
        }
    } while (stream_->avail_out == 0);
    return result;
}

std::string compress(std::string_view payload) {
    std::string result(length_bytes + ::compressBound(payload.size()), '\0');
    const auto length = static_cast<std::uint32_t>(payload.size());
    for (std::size_t i = 0; i < length_bytes; ++i) {
        result[i] = static_cast<char>(length >> (8 * i));
    }
    uLongf size = result.size() - length_bytes;
    if (::compress2(output_of(result, length_bytes), &size, input_of(payload), payload.size(),
                    Z_DEFAULT_COMPRESSION) != Z_OK) {
        throw std::bad_alloc();
    }
    result.resize(length_bytes + size);
    return result;
}

std::string expand(std::string_view payload) {
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < length_bytes && i < payload.size(); ++i) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(payload[i])) << (8 * i);
    }
    if (payload.size() < length_bytes || length > max_frame_bytes) {
        throw malformed_frame("compressed payload has no valid length");
    }
    payload.remove_prefix(length_bytes);
    std::string result(length, '\0');
    uLongf size = result.size();
    if (::uncompress(output_of(result, 0), &size, input_of(payload), payload.size()) != Z_OK ||
        size != length) {
        throw malformed_frame("compressed payload is damaged");
    }
    return result;
}

} // namespace kingcupseam::transport
