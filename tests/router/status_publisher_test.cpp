#include "router/status_publisher.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace kingcupseam::router {

namespace {

class fake_entry : public transport::connection {
public:
    explicit fake_entry(const std::string& name) : peer_{{name, 1}, "d"} {}
    void send(transport::frame outgoing) override {
        compressed = outgoing.type == transport::frame_type::control_status_compressed;
        last = compressed ? transport::expand(outgoing.payload) : outgoing.payload;
        ++statuses;
    }
    void after_written(std::function<void()> /*done*/) override {}
    const transport::peer_identity& peer() const override { return peer_; }
    bool open() const override { return is_open; }

    std::string last;
    bool compressed = false;
    bool is_open = true;
    int statuses = 0;

private:
    transport::peer_identity peer_;
};

constexpr std::size_t large_status_bytes = 20000;

struct harness {
    harness() {
        for (int i = 0; i < 40; ++i) {
            entries.push_back(std::make_shared<fake_entry>(std::string("entry-").append(std::to_string(i))));
            publisher.add(entries.back(), true);
        }
        run();
        for (const auto& it : entries) {
            it->statuses = 0;
        }
        encoded = 0;
    }
    void run() {
        context.run();
        context.restart();
    }
    int sent() const {
        int result = 0;
        for (const auto& it : entries) {
            result += it->statuses;
        }
        return result;
    }

    asio::io_context context;
    task_times times;
    std::string status = std::string(large_status_bytes, 'a');
    int encoded = 0;
    status_publisher publisher{context, times, [this] {
                                   ++encoded;
                                   return status;
                               }};
    std::vector<std::shared_ptr<fake_entry>> entries;
};

} // namespace

// Guards against a leader that commits and publishes nothing while it sends a list of all entries to all
// entries.
TEST_CASE("a status for many entries does not keep the thread from other work") {
    harness it;
    it.status = std::string(large_status_bytes, 'b');
    it.publisher.broadcast();
    CHECK(it.sent() == 0);
    int sent_before_other_work = 0;
    asio::post(it.context, [&] { sent_before_other_work = it.sent(); });
    it.run();
    CHECK(sent_before_other_work <= 8);
    CHECK(it.encoded == 1);
    for (const auto& entry : it.entries) {
        CHECK(entry->statuses == 1);
        CHECK((entry->last == it.status)); // not printed: it is long
        CHECK(entry->compressed);
    }
    SUBCASE("and reaches all of them while it changes all the time") {
        for (int i = 0; i < 20; ++i) {
            it.status[0] = static_cast<char>('c' + i % 2);
            it.publisher.broadcast();
            it.context.poll_one();
            it.context.restart();
        }
        for (const auto& entry : it.entries) {
            CHECK(entry->statuses >= 3);
        }
    }
    SUBCASE("and is not sent again while it is the same") {
        it.publisher.broadcast();
        it.run();
        CHECK(it.sent() == 40);
    }
}

TEST_CASE("entries get the present status") {
    harness it;
    it.status = std::string(large_status_bytes, 'b');
    SUBCASE("when they come, without another one for the others") {
        const auto added = std::make_shared<fake_entry>("new");
        it.publisher.add(added, true);
        it.run();
        CHECK((added->last == it.status));
        CHECK(it.sent() == 0);
    }
    SUBCASE("when they come while it is sent to the others") {
        it.publisher.broadcast();
        it.context.poll_one();
        it.context.restart();
        const auto added = std::make_shared<fake_entry>("new");
        it.status = std::string(large_status_bytes, 'c');
        it.publisher.add(added, true);
        it.run();
        CHECK((added->last == it.status));
        CHECK(it.entries.front()->last.size() == large_status_bytes);
    }
    SUBCASE("plain when they take no compressed one") {
        const auto old = std::make_shared<fake_entry>("old");
        it.publisher.add(old, false);
        it.run();
        CHECK((old->last == it.status));
        CHECK_FALSE(old->compressed);
    }
    SUBCASE("plain when it is small") {
        it.status = "small";
        it.publisher.broadcast();
        it.run();
        CHECK(it.entries.front()->last == "small");
        CHECK_FALSE(it.entries.front()->compressed);
    }
    SUBCASE("unless they have left or their connection has closed") {
        it.entries[0]->is_open = false;
        it.publisher.remove(*it.entries[1]);
        it.publisher.broadcast();
        it.run();
        CHECK(it.sent() == 38);
        CHECK(it.publisher.recipients().size() == 38);
    }
    SUBCASE("until the publisher ends") {
        auto publisher = std::make_unique<status_publisher>(it.context, it.times, [&] { return it.status; });
        publisher->add(it.entries.front(), true);
        publisher.reset();
        it.run();
        CHECK(it.sent() == 0);
    }
}

// Guards against an entry that is not told of the next leader, since its former connection said that it
// leaves.
TEST_CASE("the end of a former connection does not remove an entry that has connected again") {
    harness it;
    const auto again = std::make_shared<fake_entry>("entry-0");
    it.publisher.add(again, true);
    it.publisher.remove(*it.entries.front());
    it.status = std::string(large_status_bytes, 'b');
    it.publisher.broadcast();
    it.run();
    CHECK((again->last == it.status));
}

} // namespace kingcupseam::router
