#include <kingcupseam/error.h>
#include <kingcupseam/settings.h>

#include <cstdlib>

using namespace kingcupseam;

// Settings are either accepted, with values in their ranges, or refused with invalid_input.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    try {
        const auto parsed = settings::parse_settings("fuzz", text);
        const bool grant = parsed.grant_interval * 2 < parsed.grant_lease;
        const bool heartbeat = parsed.heartbeat_interval * 2 <= parsed.heartbeat_timeout;
        if (!grant || !heartbeat || parsed.name.empty() || parsed.operator_token.size() < 16) {
            std::abort();
        }
    } catch (const invalid_input&) {
    }
    return 0;
}
