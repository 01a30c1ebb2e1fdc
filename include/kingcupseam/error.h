#pragma once

#include <stdexcept>
#include <string>

namespace kingcupseam {

/// Base class of the exceptions of kingcupseam. Each kind of error has its own type.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A value in a settings file, profile, request or frame is malformed or out of range.
class invalid_input : public error {
public:
    /// @param source file name, or the name of the request or frame
    /// @param field dotted path of the key or field
    /// @param problem what is wrong, including the allowed range
    invalid_input(std::string source, std::string field, const std::string& problem);

    const std::string& source() const noexcept { return source_; }
    const std::string& field() const noexcept { return field_; }

private:
    std::string source_;
    std::string field_;
};

/// A file could not be read, written or synced.
class io_error : public error {
public:
    /// @param path file or folder
    /// @param operation system call or step that failed
    /// @param code errno value
    io_error(std::string path, const std::string& operation, int code);

    const std::string& path() const noexcept { return path_; }
    int code() const noexcept { return code_; }

private:
    std::string path_;
    int code_;
};

} // namespace kingcupseam
