#include <kingcupseam/error.h>
#include <kingcupseam/profile.h>

#include <cstdlib>

using namespace kingcupseam;

// A profile is either accepted, and can then be indexed, or refused with invalid_input. The decoders of
// stored values also either succeed or throw invalid_input.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        const auto parsed = profile::parse_profile("fuzz", text);
        const profile::rule_index index({{parsed.name, 1, text, "c"}});
        if (index.empty() || index.profile_of(parsed.services.at(0).name) == nullptr) {
            std::abort();
        }
        index.find("GET", text);
    } catch (const invalid_input&) {
    }
    try {
        const auto change = profile::decode_change(text);
        if (profile::encode(change) != text) {
            std::abort();
        }
    } catch (const invalid_input&) {
    }
    try {
        profile::store::decode(text);
    } catch (const invalid_input&) {
    }
    return 0;
}
