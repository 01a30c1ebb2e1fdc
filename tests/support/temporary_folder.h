#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace kingcupseam::test {

/// A new folder for a test, removed on destruction.
class temporary_folder {
public:
    temporary_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "kingcupseam-XXXXXX").string();
        path_ = ::mkdtemp(name.data()) == nullptr ? "" : name;
    }
    ~temporary_folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    const std::filesystem::path& path() const noexcept { return path_; }
    /// @returns the path of the written file
    std::string write(const std::string& name, const std::string& text) const {
        const auto file = path_ / name;
        std::ofstream(file, std::ios::binary) << text;
        return file.string();
    }

private:
    std::filesystem::path path_;
};

} // namespace kingcupseam::test
