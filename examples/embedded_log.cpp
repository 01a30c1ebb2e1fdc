#include <kingcupseam/consensus.h>

#include <cstdio>
#include <deque>
#include <map>
#include <string>

using namespace kingcupseam;
using namespace kingcupseam::consensus;

namespace {

/// A counter replicated over three nodes in this process. Time is virtual and messages arrive at once.
class replicated_counter {
public:
    replicated_counter() {
        const membership members{{{"a", 1}, {"b", 2}, {"c", 3}}, {}};
        for (const member_id& id : members.voters) {
            auto& it = replicas_[id];
            it.store = storage::make_memory_log_store(id.incarnation);
            node::bootstrap(*it.store, members);
            options settings;
            settings.self = id;
            settings.seed = id.incarnation;
            it.member = std::make_unique<node>(settings, *it.store, now_);
        }
    }

    void run(duration length) {
        const time_point end = now_ + length;
        for (; now_ < end; now_ += std::chrono::milliseconds(10)) {
            for (auto& [id, it] : replicas_) {
                handle(it, it.member->tick(now_));
            }
            deliver();
        }
    }
    bool add(int amount) {
        for (auto& [id, it] : replicas_) {
            if (it.member->current_role() == role::leader) {
                effects out;
                it.member->propose(std::to_string(amount), now_, out);
                handle(it, out);
                deliver();
                return true;
            }
        }
        return false;
    }
    void print() const {
        for (const auto& [id, it] : replicas_) {
            std::printf("%s: %ld%s\n", id.name.c_str(), it.value,
                        it.member->current_role() == role::leader ? " (leader)" : "");
        }
    }

private:
    struct replica {
        std::unique_ptr<storage::log_store> store;
        std::unique_ptr<node> member;
        long value = 0;
    };

    void handle(replica& it, const effects& out) {
        network_.insert(network_.end(), out.messages.begin(), out.messages.end());
        for (const storage::entry& entry : out.committed) {
            if (entry.kind == storage::entry_kind::command) {
                it.value += std::stol(entry.data);
            }
        }
    }
    void deliver() {
        while (!network_.empty()) {
            const message m = network_.front();
            network_.pop_front();
            replica& to = replicas_.at(m.to);
            handle(to, to.member->receive(m, now_));
        }
    }

    time_point now_{std::chrono::seconds(1)};
    std::map<member_id, replica> replicas_;
    std::deque<message> network_;
};

} // namespace

int main() {
    replicated_counter counter;
    counter.run(std::chrono::seconds(1));
    for (int n = 1; n <= 10; ++n) {
        if (!counter.add(n)) {
            std::puts("no leader");
            return 1;
        }
    }
    counter.run(std::chrono::milliseconds(100)); // the next heartbeat gives the followers the commit index
    counter.print();
}
