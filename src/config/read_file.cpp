#include <kingcupseam/config.h>
#include <kingcupseam/error.h>

#include <cerrno>
#include <cstdio>
#include <memory>

namespace kingcupseam::config {

std::string read_file(const std::filesystem::path& file) {
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> in(std::fopen(file.c_str(), "rb"), std::fclose);
    if (!in) {
        throw io_error(file.string(), "open", errno);
    }
    std::string text;
    std::array<char, 16384> buf{};
    std::size_t n = 0;
    while ((n = std::fread(buf.data(), 1, buf.size(), in.get())) > 0) {
        text.append(buf.data(), n);
        if (text.size() > max_text_bytes) {
            throw invalid_input(file.string(), "text",
                                "must be at most " + std::to_string(max_text_bytes) + " bytes");
        }
    }
    if (std::ferror(in.get()) != 0) {
        throw io_error(file.string(), "read", errno);
    }
    return text;
}

} // namespace kingcupseam::config
