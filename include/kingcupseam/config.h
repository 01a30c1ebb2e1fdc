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

/// Limits of the size of a TOML text and of the nesting depth of its brackets. The TOML parser is recursive,
/// so unbounded nesting would exhaust the stack.
inline constexpr std::size_t max_text_bytes = 1'048'576;
inline constexpr std::size_t max_nesting = 64;

/// @throws io_error; invalid_input when the file is larger than max_text_bytes
std::string read_file(const std::filesystem::path& file);

/// A table of a TOML document. Each read states the allowed type and range of the value and marks its key as
/// known; reject_unknown_keys() then refuses all other keys. All functions throw invalid_input with the
/// dotted path of the key.
class table {
public:
    /// @param source file name for error messages
    static table parse(const std::string& source, std::string_view text);

    /// A key is required when no fallback is given, and optional otherwise.
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
    /// A string that must be one of @p allowed. @returns its index in @p allowed
    std::size_t choice(const std::string& key, const std::vector<std::string>& allowed,
                       std::optional<std::size_t> fallback = std::nullopt) const;
    /// Array of strings; empty when the key is absent.
    std::vector<std::string> strings(const std::string& key) const;
    /// Array of tables; empty when the key is absent.
    std::vector<table> tables(const std::string& key) const;
    /// Empty when the key is absent.
    std::optional<table> subtable(const std::string& key) const;
    /// All keys of the table in ascending order; marks them as known.
    std::vector<std::string> keys() const;

    /// Marks the key as known, like the functions that read it.
    bool has(const std::string& key) const;
    /// Throws when the table has a key that is not marked as known; the error names the most similar known
    /// key.
    void reject_unknown_keys() const;
    /// Dotted path of a key, such as "services[0].rules[2].path".
    std::string path(const std::string& key) const;
    const std::string& source() const noexcept;
    /// @throws invalid_input for @p key
    [[noreturn]] void fail(const std::string& key, const std::string& problem) const;

private:
    struct state;
    explicit table(std::shared_ptr<state> initial_state) : state_(std::move(initial_state)) {}
    std::shared_ptr<state> state_;
};

} // namespace kingcupseam::config
