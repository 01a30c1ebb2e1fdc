#pragma once

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace kingcupseam::test {

/// Generates reproducible inputs for a fuzz target in a build without a fuzzer: mutations of the files in
/// fuzz/corpus/<target>/ and random bytes.
class input_generator {
public:
    input_generator(const std::filesystem::path& corpus, std::uint64_t seed) : random_(seed) {
        std::error_code ec;
        for (const auto& it : std::filesystem::directory_iterator(corpus, ec)) {
            files_.push_back(it.path());
        }
        std::sort(files_.begin(), files_.end());
        for (const auto& it : files_) {
            std::ifstream in(it, std::ios::binary);
            seeds_.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
        }
    }

    std::string next() {
        if (seeds_.empty() || random_below(8) == 0) {
            return random_bytes(random_below(64));
        }
        std::string input = pick_seed();
        // A few mutations keep most inputs nearly valid, so that they reach the later checks.
        for (std::size_t n = random_below(4) + 1; n > 0; --n) {
            mutate(input);
        }
        return input;
    }

    const std::vector<std::string>& seeds() const noexcept { return seeds_; }

private:
    static constexpr std::size_t max_input_bytes = 4096;

    std::size_t random_below(std::size_t n) { return n == 0 ? 0 : random_() % n; }
    const std::string& pick_seed() { return seeds_[random_below(seeds_.size())]; }

    std::string random_bytes(std::size_t n) {
        std::string bytes;
        while (bytes.size() < n) {
            bytes.push_back(static_cast<char>(random_()));
        }
        return bytes;
    }

    std::string random_slice(const std::string& source) {
        const std::size_t start = random_below(source.size());
        return source.substr(start, random_below(32) + 1);
    }

    void mutate(std::string& input) {
        const std::size_t at = random_below(input.size());
        switch (random_below(7)) {
        case 0: // flip a bit
            if (!input.empty()) {
                input[at] = static_cast<char>(input[at] ^ (1 << random_below(8)));
            }
            break;
        case 1:
            input.insert(at, random_bytes(random_below(4) + 1));
            break;
        case 2:
            input.erase(at, random_below(16) + 1);
            break;
        case 3:
            input.resize(at);
            break;
        case 4: // insert a slice of a seed at a random position
            input.insert(at, random_slice(pick_seed()));
            break;
        case 5:
            input.replace(at, random_below(8) + 1,
                          std::to_string(static_cast<std::int64_t>(random_()) >> random_below(64)));
            break;
        default: // repeat one byte, for deep nesting and long texts
            input.insert(at, random_below(200), input.empty() ? '[' : input[at]);
            break;
        }
        input.resize(std::min(input.size(), max_input_bytes));
    }

    std::mt19937_64 random_;
    std::vector<std::filesystem::path> files_;
    std::vector<std::string> seeds_;
};

} // namespace kingcupseam::test
