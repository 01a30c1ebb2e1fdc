#pragma once

#include "router/protocol_adapter.h"

#include <kingcupseam/consensus.h>
#include <kingcupseam/storage.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

/// Kinds of orders that a control instance forwards to the leader.
inline constexpr int order_announce = 1;
inline constexpr int order_depart = 2;
inline constexpr int order_configure = 3;
inline constexpr int order_read = 4;

std::string write_announcement(const announcement& source);
/// @throws transport::malformed_frame
announcement read_announcement(const std::string& bytes);

struct member_store {
    consensus::member_id self;
    std::unique_ptr<storage::log_store> store;
};

/// Opens the log of this control instance. At the first start of the system the seeds are the initial voters.
/// An instance whose disk was lost is a new member, which does not vote before it is admitted.
/// @throws io_error, storage::corrupt_log
member_store open_member_store(const std::filesystem::path& folder, bool bootstrap,
                               const std::string& own_name, const std::vector<std::string>& seed_names);

} // namespace kingcupseam::router
