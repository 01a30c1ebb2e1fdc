// Measures commands per second and messages per command of a group, its idle traffic, and the time until a
// new leader is elected after the loss of the leader.
#include <kingcupseam/consensus.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>

using namespace kingcupseam;
using namespace kingcupseam::consensus;
using namespace std::chrono_literals;

namespace {

/// Payload bytes of a message without framing; each number counts as 8 bytes.
std::size_t size_of(const message& m) {
    std::size_t bytes = 2 + 7 * 8 + m.from.name.size() + m.to.name.size() + 16;
    for (const storage::entry& it : m.entries) {
        bytes += 17 + it.data.size();
    }
    return bytes;
}

/// A group with memory stores, in virtual time, with a fixed message delay.
class group {
public:
    group(std::size_t voters, std::uint64_t seed) {
        membership members;
        for (std::size_t n = 1; n <= voters; ++n) {
            members.voters.push_back({"instance-" + std::to_string(n), n});
        }
        for (const member_id& id : members.voters) {
            auto& it = replicas_[id];
            it.store = storage::make_memory_log_store(id.incarnation);
            node::bootstrap(*it.store, members);
            options settings;
            settings.self = id;
            settings.seed = seed * 100 + id.incarnation;
            it.member = std::make_unique<node>(settings, *it.store, now);
        }
    }

    void step() {
        now += 1ms;
        while (!network_.empty() && network_.front().first <= now) {
            const message m = std::move(network_.front().second);
            network_.pop();
            if (m.to != down) {
                handle(replicas_.at(m.to).member->receive(m, now));
            }
        }
        if (now.time_since_epoch() % 5ms == 0us) {
            for (auto& [id, it] : replicas_) {
                if (id != down) {
                    handle(it.member->tick(now));
                }
            }
        }
    }
    void run(duration length) {
        for (const time_point end = now + length; now < end;) {
            step();
        }
    }
    const member_id* leader() const {
        for (const auto& [id, it] : replicas_) {
            if (id != down && it.member->current_role() == role::leader) {
                return &id;
            }
        }
        return nullptr;
    }
    node& at(const member_id& id) { return *replicas_.at(id).member; }
    void handle(effects out) {
        for (message& m : out.messages) {
            ++messages;
            bytes += size_of(m);
            network_.emplace(now + 1ms, std::move(m));
        }
    }

    time_point now{1s};
    member_id down; ///< neither ticks nor receives
    std::size_t messages = 0;
    std::size_t bytes = 0;

private:
    struct replica {
        std::unique_ptr<storage::log_store> store;
        std::unique_ptr<node> member;
    };
    std::map<member_id, replica> replicas_;
    std::queue<std::pair<time_point, message>> network_;
};

void measure_commits(std::size_t voters) {
    constexpr std::size_t commands = 20000;
    group it(voters, 1);
    it.run(2s);
    const member_id leader = *it.leader();
    it.messages = it.bytes = 0;
    it.run(10s);
    const double idle_messages = static_cast<double>(it.messages) / 10;
    const double idle_bytes = static_cast<double>(it.bytes) / 10;

    it.messages = it.bytes = 0;
    const time_point virtual_start = it.now;
    const time_point start = steady_now();
    std::uint64_t last = 0;
    for (std::size_t n = 0; n < commands; ++n) {
        effects out;
        last = it.at(leader).propose(std::string(100, 'x'), it.now, out);
        it.handle(std::move(out));
        if (n % 10 == 9) {
            it.step();
        }
    }
    while (it.at(leader).commit_index() < last) {
        it.step();
    }
    const double seconds = std::chrono::duration<double>(steady_now() - start).count();
    const double elapsed = std::chrono::duration<double>(it.now - virtual_start).count();
    std::printf("%6zu %14.0f %12.1f %12.0f %14.0f %12.0f\n", voters, commands / seconds,
                (static_cast<double>(it.messages) - elapsed * idle_messages) / commands,
                (static_cast<double>(it.bytes) - elapsed * idle_bytes) / commands, idle_messages, idle_bytes);
}

void measure_elections(std::size_t voters) {
    std::vector<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        group it(voters, seed);
        it.run(2s + duration(seed * 1000 % 50000));
        it.down = *it.leader();
        const time_point lost = it.now;
        while (it.leader() == nullptr) {
            it.step();
        }
        times.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(it.now - lost).count());
    }
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double q) {
        return static_cast<long long>(
            times[static_cast<std::size_t>(q * static_cast<double>(times.size() - 1))]);
    };
    std::printf("%6zu %8lld %8lld %8lld %8lld %8lld\n", voters, quantile(0), quantile(0.5), quantile(0.9),
                quantile(0.99), quantile(1));
}

} // namespace

int main() {
    std::printf("100-byte commands on memory stores, all voters on one core\n%6s %14s %12s %12s %14s %12s\n",
                "voters", "commands/s", "messages/cmd", "bytes/cmd", "idle messages/s", "idle bytes/s");
    for (const std::size_t voters : {3U, 5U, 7U}) {
        measure_commits(voters);
    }
    std::printf("\nelection after loss of the leader, virtual milliseconds, 500 runs, 1 ms delay\n"
                "%6s %8s %8s %8s %8s %8s\n",
                "voters", "min", "median", "p90", "p99", "max");
    for (const std::size_t voters : {3U, 5U, 7U}) {
        measure_elections(voters);
    }
}
