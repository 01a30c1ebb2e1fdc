#pragma once

#include <kingcupseam/membership.h>

#include <functional>
#include <map>
#include <random>
#include <set>

namespace kingcupseam::test {

/// Simulated network of detectors that exchange datagrams in virtual time, with delay, loss and partitions.
class virtual_network {
public:
    using send_observer = std::function<void(const membership::outgoing&)>;
    using change_observer = std::function<void(std::size_t, const membership::record&)>;

    explicit virtual_network(std::uint64_t seed, double loss) : random_(seed), loss_(loss) {}

    membership::options settings;
    send_observer on_send = [](const auto&) {};
    change_observer on_change = [](auto, const auto&) {};

    static endpoint_address address_of(std::size_t n) {
        return {"10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1), 7000};
    }
    void start(std::size_t n, std::uint64_t incarnation = 1) {
        auto chosen = settings;
        chosen.self = {{"i" + std::to_string(n), incarnation}, membership::status::alive, 0, address_of(n)};
        chosen.seeds = {address_of(0), address_of(1)};
        chosen.seed = random_();
        nodes_.insert_or_assign(n, node{membership::detector(chosen, now_), false});
        by_address_[to_string(address_of(n))] = n;
    }
    void stop(std::size_t n) { nodes_.erase(n); }
    void pause(std::size_t n, bool paused) { nodes_.at(n).paused = paused; }
    void leave(std::size_t n) {
        apply_effects(n, nodes_.at(n).detector.leave(now_));
        stop(n);
    }
    /// Separates the instances below @p n from the others; 0 ends the partition.
    void split(std::size_t n) { split_ = n; }
    time_point now() const { return now_; }
    const membership::detector& at(std::size_t n) const { return nodes_.at(n).detector; }
    std::size_t size() const { return nodes_.size(); }

    void run(duration length) {
        for (const auto end = now_ + length; now_ < end; now_ += step) {
            deliver();
            for (auto& [n, it] : nodes_) {
                if (!it.paused) {
                    apply_effects(n, it.detector.tick(now_));
                }
            }
        }
    }
    /// Number of ordered pairs of running instances in which the first does not see the second as alive.
    std::size_t count_unseen_pairs() const {
        std::size_t count = 0;
        for (const auto& [n, it] : nodes_) {
            for (const auto& [other, ignored] : nodes_) {
                count += it.detector.alive(nodes_.at(other).detector.members().front().id) ? 0 : 1;
            }
        }
        return count;
    }

private:
    struct node {
        membership::detector detector;
        bool paused = false;
    };
    struct datagram {
        std::size_t from;
        membership::outgoing content;
    };
    static constexpr duration step = std::chrono::milliseconds(1);

    void apply_effects(std::size_t n, const membership::effects& done) {
        for (const auto& it : done.messages) {
            on_send(it);
            if (std::uniform_real_distribution<>(0, 1)(random_) >= loss_) {
                const duration delay(500 + static_cast<std::int64_t>(random_() % 1000));
                in_flight_.emplace(now_ + delay, datagram{n, it});
            }
        }
        for (const auto& it : done.changed) {
            on_change(n, it);
        }
    }
    void deliver() {
        while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
            const auto arrived = in_flight_.begin()->second;
            in_flight_.erase(in_flight_.begin());
            const auto to = by_address_.find(to_string(arrived.content.to));
            if (to == by_address_.end() || nodes_.count(to->second) == 0 ||
                (split_ > 0 && (arrived.from < split_) != (to->second < split_)) ||
                nodes_.at(to->second).paused) {
                continue;
            }
            apply_effects(
                to->second,
                nodes_.at(to->second).detector.receive(arrived.content.body, address_of(arrived.from), now_));
        }
    }

    std::mt19937_64 random_;
    double loss_;
    time_point now_{std::chrono::hours(1)};
    std::size_t split_ = 0;
    std::map<std::size_t, node> nodes_;
    std::map<std::string, std::size_t> by_address_;
    std::multimap<time_point, datagram> in_flight_;
};

} // namespace kingcupseam::test
