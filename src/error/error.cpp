#include <kingcupseam/error.h>

#include <cstring>
#include <utility>

namespace kingcupseam {

invalid_input::invalid_input(std::string source, std::string field, const std::string& problem)
    : error(source + ": " + field + ": " + problem), source_(std::move(source)), field_(std::move(field)) {}

io_error::io_error(std::string path, const std::string& operation, int code)
    : error(path + ": " + operation + ": " + std::strerror(code)), path_(std::move(path)), code_(code) {}

} // namespace kingcupseam
