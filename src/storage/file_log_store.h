#pragma once

#include "storage/file_system.h"
#include "storage/log_image.h"

namespace kingcupseam::storage {

/// Opens a store on @p files; open_file_log_store() uses the POSIX file system.
std::unique_ptr<log_store> open_log_store_on(std::shared_ptr<file_system> files,
                                             const std::filesystem::path& folder,
                                             std::shared_ptr<wait_policy> waits = nullptr);

} // namespace kingcupseam::storage
