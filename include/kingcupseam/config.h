#pragma once

#include <kingcupseam/types.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupseam::config {

/// Largest TOML text that is read, and the deepest nesting of its brackets. The TOML parser is recursive, so
/// unbounded nesting would exhaust the stack.
inline constexpr std::size_t max_text_bytes = 1'048'576;
inline constexpr std::size_t max_nesting = 64;

/// @throws io_error; invalid_input when the file is larger than max_text_bytes
std::string read_file(const std::filesystem::path& file);

/// One table of a TOML document whose values are read with their allowed ranges. It remembers which keys were
/// asked for; reject_unknown_keys() then refuses the keys that nothing asked for. All functions throw
/// invalid_input with the dotted path of the key.
class table {
public:
    /// @param source file name for errors
    static table parse(const std::string& source, std::string_view text);

    /// Reads a key without a fallback as required, and one with a fallback as optional.
    std::string string(const std::string& key, std::size_t min_length, std::size_t max_length,
                       const std::optional<std::string>& fallback = std::nullopt) const;
    std::int64_t integer(const std::string& key, std::int64_t min, std::int64_t max,
                         std::optional<std::int64_t> fallback = std::nullopt) const;
    double real(const std::string& key, double min, double max,
                std::optional<double> fallback = std::nullopt) const;
    bool boolean(const std::string& key, bool fallback) const;
    /// Integer in milliseconds; by convention the key ends in _ms.
    duration milliseconds(const std::string& key, std::int64_t min, std::int64_t max,
                          std::optional<duration> fallback = std::nullopt) const;
    /// Integer in seconds; by convention the key ends in _s.
    duration seconds(const std::string& key, std::int64_t min, std::int64_t max,
                     std::optional<duration> fallback = std::nullopt) const;
    /// One of the given words. @returns its position
    std::size_t choice(const std::string& key, const std::vector<std::string>& allowed,
                       std::optional<std::size_t> fallback = std::nullopt) const;
    /// Empty when the key is absent.
    std::vector<std::string> strings(const std::string& key) const;
    /// Array of tables; empty when the key is absent.
    std::vector<table> tables(const std::string& key) const;
    std::optional<table> subtable(const std::string& key) const;
    /// All keys of the table, in order; marks them as asked for.
    std::vector<std::string> keys() const;

    bool has(const std::string& key) const;
    /// Refuses keys that were not asked for, and names the most similar known key.
    void reject_unknown_keys() const;
    /// Dotted path of a key, such as "services[0].rules[2].path".
    std::string path(const std::string& key) const;
    const std::string& source() const noexcept;
    [[noreturn]] void fail(const std::string& key, const std::string& problem) const;

private:
    struct state;
    explicit table(std::shared_ptr<state> source) : state_(std::move(source)) {}
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::config
