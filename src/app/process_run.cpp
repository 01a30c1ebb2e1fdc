#include "app/process_run.h"

#include "app/commands.h"

#include <kingcupseam/lifecycle.h>

#include <spdlog/spdlog.h>

#include <sys/resource.h>
#include <unistd.h>

namespace kingcupseam::app {

namespace {

constexpr std::uint64_t megabyte = 1'000'000;

std::string limit_text(int which, std::uint64_t unit) {
    rlimit limit{};
    if (::getrlimit(static_cast<__rlimit_resource>(which), &limit) != 0) {
        return "unknown";
    }
    return limit.rlim_cur == RLIM_INFINITY ? "unlimited" : std::to_string(limit.rlim_cur / unit);
}

std::uint64_t machine_memory_mb() {
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long page_bytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && page_bytes > 0
               ? static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(page_bytes) / megabyte
               : 0;
}

void log_start(const process_description& process) {
    spdlog::info("process started role={} name={} pid={} version={} descriptor_limit={} memory_mb={} "
                 "address_space_mb={}",
                 process.role, process.name, ::getpid(), KINGCUPSEAM_VERSION, limit_text(RLIMIT_NOFILE, 1),
                 process.memory_mb > 0 ? static_cast<std::uint64_t>(process.memory_mb) : machine_memory_mb(),
                 limit_text(RLIMIT_AS, megabyte));
}

} // namespace

int run_logged(const process_description& process, const std::function<void()>& run) {
    lifecycle::log_fatal_ends(process.name);
    log_start(process);
    try {
        run();
        spdlog::info("process ended code={}", exit_success);
    } catch (const lifecycle::stop_requested_error& e) {
        spdlog::info("process ended code={} reason=\"{}\"", exit_success, e.what());
    } catch (const std::exception& e) {
        spdlog::critical("process ended code={} problem=\"{}\"", exit_code(e), e.what());
        throw;
    }
    return exit_success;
}

} // namespace kingcupseam::app
