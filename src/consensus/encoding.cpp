#include <kingcupseam/consensus.h>

namespace kingcupseam::consensus {

namespace {

void put(std::string& out, std::uint64_t value) {
    for (int n = 0; n < 8; ++n) {
        out.push_back(static_cast<char>(value >> (8 * n)));
    }
}

void put(std::string& out, const std::vector<member_id>& list) {
    put(out, list.size());
    for (const member_id& it : list) {
        put(out, it.name.size());
        out += it.name;
        put(out, it.incarnation);
    }
}

class reader {
public:
    explicit reader(const std::string& bytes) : bytes_(bytes) {}

    std::vector<member_id> members() {
        std::vector<member_id> result;
        for (std::uint64_t n = number(); n > 0; --n) {
            member_id it;
            it.name = text(number());
            it.incarnation = number();
            result.push_back(std::move(it));
        }
        return result;
    }
    void finish() const {
        if (at_ != bytes_.size()) {
            fail("has bytes after its end");
        }
    }

private:
    [[noreturn]] static void fail(const std::string& problem) {
        throw invalid_input("membership", "bytes", problem);
    }
    std::string text(std::uint64_t size) {
        if (size > bytes_.size() - at_) {
            fail("is shorter than its fields");
        }
        at_ += size;
        return bytes_.substr(at_ - size, size);
    }
    std::uint64_t number() {
        std::uint64_t value = 0;
        const std::string raw = text(8);
        for (std::size_t n = 0; n < 8; ++n) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(raw[n])) << (8 * n);
        }
        return value;
    }

    const std::string& bytes_;
    std::size_t at_ = 0;
};

} // namespace

std::string encode(const membership& members) {
    std::string out;
    put(out, members.voters);
    put(out, members.learners);
    return out;
}

membership decode_membership(const std::string& bytes) {
    reader in(bytes);
    membership result;
    result.voters = in.members();
    result.learners = in.members();
    in.finish();
    return result;
}

} // namespace kingcupseam::consensus
