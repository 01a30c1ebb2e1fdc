#include "storage/record.h"

#include <xxhash.h>

#include <algorithm>

namespace kingcupseam::storage {

namespace {

constexpr std::uint32_t magic = 0x4b43534c;
constexpr std::size_t header_bytes = 4 + 8 + 8 + 8; // see add_record()

void put(std::string& out, std::uint64_t value, int bytes) {
    for (int n = 0; n < bytes; ++n) {
        out.push_back(static_cast<char>(value >> (8 * n)));
    }
}

void put_text(std::string& out, const std::string& text) {
    put(out, text.size(), 8);
    out += text;
}

std::uint64_t get(std::string_view bytes, std::size_t offset, std::size_t width) {
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < width; ++n) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + n])) << (8 * n);
    }
    return value;
}

/// Reads the fields of one payload. Throws corrupt_log if the payload is too short.
class reader {
public:
    reader(const std::string& path, std::uint64_t offset, std::string_view rest)
        : path_(path), offset_(offset), rest_(rest) {}

    [[noreturn]] void fail(const std::string& problem) const { throw corrupt_log(path_, offset_, problem); }
    std::uint64_t number(std::size_t width = 8) {
        const std::uint64_t value = get(take(width), 0, width);
        return value;
    }
    std::string text() { return std::string(take(number())); }
    bool empty() const { return rest_.empty(); }

private:
    std::string_view take(std::uint64_t size) {
        if (size > rest_.size()) {
            fail("record is shorter than its fields");
        }
        const std::string_view result = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return result;
    }

    const std::string& path_;
    std::uint64_t offset_;
    std::string_view rest_;
};

std::string start_payload(record_kind kind) {
    return {static_cast<char>(kind)};
}

void apply_entries(log_image& image, reader& in) {
    std::vector<entry> batch;
    while (!in.empty()) {
        entry it;
        it.index = in.number();
        it.term = in.number();
        const std::uint64_t kind = in.number(1);
        if (kind > static_cast<std::uint64_t>(entry_kind::no_op)) {
            in.fail("unknown entry kind");
        }
        it.kind = static_cast<entry_kind>(kind);
        it.data = in.text();
        batch.push_back(std::move(it));
    }
    if (!image.continues(batch)) {
        in.fail("entry index does not continue the log");
    }
    image.append(batch);
}

void apply_snapshot(log_image& image, reader& in) {
    snapshot state;
    state.index = in.number();
    state.term = in.number();
    state.membership = in.text();
    state.data = in.text();
    image.install(state);
}

void apply_record(log_image& image, reader& in, bool first) {
    const auto kind = static_cast<record_kind>(in.number(1));
    if (first != (kind == record_kind::identity)) {
        in.fail("the first record, and no other, must be an identity record");
    }
    switch (kind) {
    case record_kind::identity:
        image.identity = in.number();
        break;
    case record_kind::hard_state:
        image.state.term = in.number();
        image.state.voted_for = in.text();
        break;
    case record_kind::entries:
        apply_entries(image, in);
        break;
    case record_kind::truncate:
        image.truncate_after(in.number());
        break;
    case record_kind::snapshot:
        apply_snapshot(image, in);
        break;
    default:
        in.fail("unknown record kind");
    }
    if (!in.empty()) {
        in.fail("record is longer than its fields");
    }
}

bool header_valid(std::string_view content, std::uint64_t at, std::uint64_t seed) {
    return content.size() - at >= header_bytes && get(content, at, 4) == magic &&
           get(content, at + 12, 8) == XXH3_64bits_withSeed(content.data() + at, 12, seed);
}

/// Payload of the record at @p at; empty if the record is damaged or incomplete.
std::optional<std::string_view> intact_payload(std::string_view content, std::uint64_t at,
                                               std::uint64_t seed) {
    if (!header_valid(content, at, seed)) {
        return std::nullopt;
    }
    const std::uint64_t size = get(content, at + 4, 8);
    if (size > content.size() - at - header_bytes) {
        return std::nullopt;
    }
    const std::string_view payload = content.substr(at + header_bytes, size);
    if (get(content, at + 20, 8) != XXH3_64bits_withSeed(payload.data(), size, seed)) {
        return std::nullopt;
    }
    return payload;
}

/// True if an intact record header follows the damaged record. A crash can damage only the last write, and
/// each write is one record, so a damaged record that is followed by another one had been acknowledged.
bool header_follows(std::string_view content, std::uint64_t damaged, std::uint64_t identity) {
    std::uint64_t from = damaged + 1;
    if (header_valid(content, damaged, identity + damaged)) {
        from = damaged + header_bytes + std::min<std::uint64_t>(get(content, damaged + 4, 8), content.size());
    }
    for (std::uint64_t n = from; n + header_bytes <= content.size(); ++n) {
        if (header_valid(content, n, identity + n)) {
            return true;
        }
    }
    return false;
}

} // namespace

std::string identity_payload(std::uint64_t identity) {
    std::string out = start_payload(record_kind::identity);
    put(out, identity, 8);
    return out;
}

std::string hard_state_payload(const hard_state& state) {
    std::string out = start_payload(record_kind::hard_state);
    put(out, state.term, 8);
    put_text(out, state.voted_for);
    return out;
}

std::string entries_payload(std::span<const entry> batch) {
    std::string out = start_payload(record_kind::entries);
    for (const entry& it : batch) {
        put(out, it.index, 8);
        put(out, it.term, 8);
        put(out, static_cast<std::uint64_t>(it.kind), 1);
        put_text(out, it.data);
    }
    return out;
}

std::string truncate_payload(std::uint64_t index) {
    std::string out = start_payload(record_kind::truncate);
    put(out, index, 8);
    return out;
}

std::string snapshot_payload(const snapshot& state) {
    std::string out = start_payload(record_kind::snapshot);
    put(out, state.index, 8);
    put(out, state.term, 8);
    put_text(out, state.membership);
    put_text(out, state.data);
    return out;
}

void add_record(std::string& out, std::string_view payload, std::uint64_t seed) {
    std::string header;
    put(header, magic, 4);
    put(header, payload.size(), 8);
    put(header, XXH3_64bits_withSeed(header.data(), header.size(), seed), 8);
    put(header, XXH3_64bits_withSeed(payload.data(), payload.size(), seed), 8);
    out += header;
    out += payload;
}

log_image scan_log(const std::string& path, std::string_view content) {
    log_image result;
    std::uint64_t at = 0;
    while (at < content.size()) {
        const std::uint64_t seed = result.identity + at;
        const auto payload = intact_payload(content, at, seed);
        if (!payload && at > 0 && !header_follows(content, at, result.identity)) {
            break;
        }
        if (!payload) {
            throw corrupt_log(path, at, "record failed its checksum");
        }
        reader in(path, at, *payload);
        apply_record(result, in, at == 0);
        at += header_bytes + payload->size();
    }
    if (at == 0) {
        // A new file is renamed into place only after its first record was synced, so it is never empty.
        throw corrupt_log(path, 0, "the file is empty");
    }
    return result;
}

} // namespace kingcupseam::storage
