#include <kingcupseam/types.h>

namespace kingcupseam {

std::size_t utf8_length(std::string_view text) noexcept {
    if (text.empty()) {
        return 0;
    }
    const auto lead = static_cast<unsigned char>(text[0]);
    if (lead < 0x80) {
        return 1;
    }
    const std::size_t length = lead >= 0xf0 ? 4 : (lead >= 0xe0 ? 3 : 2);
    if (lead < 0xc2 || lead > 0xf4 || text.size() < length) {
        return 0;
    }
    std::uint32_t code = lead & (0xffU >> (length + 1));
    for (std::size_t n = 1; n < length; ++n) {
        const auto next = static_cast<unsigned char>(text[n]);
        if ((next & 0xc0U) != 0x80U) {
            return 0;
        }
        code = (code << 6) | (next & 0x3fU);
    }
    const bool overlong = (length == 3 && code < 0x800) || (length == 4 && code < 0x10000);
    const bool surrogate = code >= 0xd800 && code <= 0xdfff;
    return overlong || surrogate || code > 0x10ffff ? 0 : length;
}

bool is_plain_text(std::string_view text) noexcept {
    while (!text.empty()) {
        const auto c = static_cast<unsigned char>(text[0]);
        const std::size_t length = utf8_length(text);
        if (length == 0 || c < 0x20 || c == 0x7f) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace kingcupseam
