#include "router/request_digest.h"

#include <xxhash.h>

#include <memory>

namespace kingcupseam::router {

namespace {

class hasher {
public:
    hasher() : state_(XXH3_createState(), XXH3_freeState) { XXH3_64bits_reset(state_.get()); }
    /// Hashes the length first, so that moving bytes between neighbouring fields changes the hash.
    void add(const std::string& text) {
        const std::uint64_t size = text.size();
        XXH3_64bits_update(state_.get(), &size, sizeof size);
        XXH3_64bits_update(state_.get(), text.data(), text.size());
    }
    std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

private:
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state_;
};

} // namespace

request_digest digest_of(const caller_request& request, const std::string& id_header) {
    hasher hash;
    hash.add(request.method);
    hash.add(request.target);
    for (const auto& [name, value] : request.headers) {
        if (!app::equal_ignoring_case(name, id_header)) {
            hash.add(name);
            hash.add(value);
        }
    }
    hash.add(request.body.str());
    return hash.value();
}

} // namespace kingcupseam::router
