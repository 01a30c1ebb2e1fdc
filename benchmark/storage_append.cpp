#include <kingcupseam/storage.h>
#include <kingcupseam/types.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <vector>

using namespace kingcupseam;

namespace {

/// Appends @p rounds batches of @p batch entries of @p bytes each and prints the times.
void measure_appends(const std::filesystem::path& folder, std::size_t bytes, std::size_t batch,
                     std::size_t rounds) {
    const auto store = storage::open_file_log_store(folder);
    std::vector<std::int64_t> times;
    for (std::size_t n = 0; n < rounds; ++n) {
        std::vector<storage::entry> entries;
        for (std::size_t k = 1; k <= batch; ++k) {
            entries.push_back(
                {store->last_index() + k, 1, storage::entry_kind::command, std::string(bytes, 'x')});
        }
        const time_point begin = steady_now();
        store->append(entries);
        times.push_back((steady_now() - begin).count());
    }
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double q) {
        return static_cast<long long>(times[static_cast<std::size_t>(q * static_cast<double>(rounds - 1))]);
    };
    std::printf("%8zu %6zu %8zu %10lld %10lld %10lld\n", bytes, batch, rounds, quantile(0.5), quantile(0.99),
                quantile(1));
    std::filesystem::remove_all(folder);
}

} // namespace

/// Usage: bench_storage_append [FOLDER]; measures the disk of FOLDER.
int main(int argc, char** argv) {
    const std::filesystem::path base = argc > 1 ? argv[1] : std::filesystem::temp_directory_path();
    std::printf("append and fsync, microseconds\n%8s %6s %8s %10s %10s %10s\n", "bytes", "batch", "appends",
                "median", "p99", "max");
    for (const std::size_t bytes : {100U, 1000U, 10000U}) {
        for (const std::size_t batch : {1U, 16U}) {
            measure_appends(base / "kcs_bench_storage", bytes, batch, 1000);
        }
    }
}
