#include "router/control_orders.h"

#include "app/instance/storage_wait.h"

#include <kingcupseam/error.h>
#include <kingcupseam/transport.h>

#include <directory_types.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace kingcupseam::router {

namespace {

// Exists on a disk that was present at the first start of the system: its member has incarnation 0 on all
// seeds.
constexpr const char* founder_file = "founder";

void sync_path(const std::filesystem::path& path, int flags) {
    const int fd = ::open(path.c_str(), flags, 0600);
    if (fd < 0) {
        throw io_error(path.string(), "open", errno);
    }
    const int status = ::fsync(fd);
    const int code = errno;
    ::close(fd);
    if (status != 0) {
        throw io_error(path.string(), "fsync", code);
    }
}

bool file_exists(const std::filesystem::path& path) {
    std::error_code ec;
    const bool found = std::filesystem::exists(path, ec);
    if (ec) {
        throw io_error(path.string(), "stat", ec.value());
    }
    return found;
}

void create_marker(const std::filesystem::path& marker) {
    try {
        sync_path(marker, O_CREAT | O_WRONLY);
        sync_path(marker.parent_path(), O_RDONLY | O_DIRECTORY);
    } catch (const io_error&) {
        std::error_code ec;
        std::filesystem::remove(marker, ec); // so that a retry syncs it
        throw;
    }
}

std::int64_t milliseconds(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

std::string write_announcement(const announcement& source) {
    wire::UpstreamAnnouncement out;
    out.upstream.id = source.upstream.incarnation.id;
    out.upstream.started_ms = source.upstream.incarnation.started_ms;
    out.upstream.service_name = source.upstream.service;
    out.upstream.data_center = source.upstream.data_center;
    out.upstream.address = to_string(source.upstream.address);
    out.upstream.slots = source.upstream.slots;
    out.upstream.draining = source.upstream.draining;
    out.sequence = source.sequence;
    out.warm_up_left_ms = milliseconds(source.warm_up_left);
    return transport::encode(out);
}

announcement read_announcement(const std::string& bytes) {
    const auto in = transport::decode<wire::UpstreamAnnouncement>(bytes);
    try {
        return {{{in.upstream.id, in.upstream.started_ms},
                 in.upstream.service_name,
                 in.upstream.data_center,
                 parse_endpoint("frame", "address", in.upstream.address),
                 in.upstream.slots,
                 in.upstream.draining,
                 false},
                in.sequence,
                std::chrono::milliseconds(in.warm_up_left_ms)};
    } catch (const invalid_input& e) {
        throw transport::malformed_frame(e.what());
    }
}

member_store open_member_store(const std::filesystem::path& folder, bool bootstrap,
                               const std::string& own_name, const std::vector<std::string>& seed_names) {
    const auto waits = std::make_shared<app::storage_wait>();
    const bool seed = std::find(seed_names.begin(), seed_names.end(), own_name) != seed_names.end();
    bool founder = false;
    storage::retry_opening(*waits, [&] {
        storage::create_folder(folder);
        const auto marker = folder / founder_file;
        founder = file_exists(marker);
        if (bootstrap && seed && !founder) {
            create_marker(marker);
            founder = true;
        }
    });
    member_store result;
    result.store = storage::open_file_log_store(folder / "log", waits);
    result.self = {own_name, founder ? 0 : result.store->identity()};
    if (founder && result.store->last_index() == 0 && !result.store->load_snapshot() && bootstrap) {
        consensus::membership members;
        for (const auto& it : seed_names) {
            members.voters.push_back({it, 0});
        }
        consensus::node::bootstrap(*result.store, members);
    }
    return result;
}

} // namespace kingcupseam::router
