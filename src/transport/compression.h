#pragma once

#include <zlib.h>

#include <memory>
#include <string>
#include <string_view>

namespace kingcupseam::transport {

/// Compresses one direction of a link as one stream, so that header names and hosts repeated from earlier
/// frames take a few bytes each.
class deflater {
public:
    deflater();
    /// Compresses @p bytes and flushes, so that the peer can read all of them at once.
    std::string compress(std::string_view bytes) { return append(bytes, Z_BEST_SPEED); }
    /// Adds @p bytes to the stream as they are: compressing bytes again takes longer than the first time.
    std::string store(std::string_view bytes) { return append(bytes, Z_NO_COMPRESSION); }

private:
    struct deleter {
        void operator()(z_stream* it) const noexcept;
    };

    std::string append(std::string_view bytes, int level);

    std::unique_ptr<z_stream, deleter> stream_;
    int level_ = Z_BEST_SPEED;
};

/// Expands the stream of a deflater.
class inflater {
public:
    inflater();
    /// @throws malformed_frame if @p bytes do not continue the stream, or expand to more than @p limit bytes
    std::string expand(std::string_view bytes, std::size_t limit);

private:
    struct deleter {
        void operator()(z_stream* it) const noexcept;
    };
    std::unique_ptr<z_stream, deleter> stream_;
};

} // namespace kingcupseam::transport
