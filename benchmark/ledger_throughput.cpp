// Cost of at-most-once records: pairs of begin and finish per second, memory per record, messages per
// request.
#include <kingcupseam/ledger.h>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <deque>

using namespace kingcupseam;
using namespace kingcupseam::ledger;

namespace {

constexpr std::size_t answer_bytes = 200;
constexpr std::size_t frame_bytes = 14; // header of a frame
constexpr std::size_t field_bytes = 20; // estimate: numbers and field headers of a Thrift compact struct

std::string key_of(std::size_t n) {
    char text[40];
    std::snprintf(text, sizeof text, "018f2c3a-1b2c-7def-8123-%012zx", n);
    return text;
}

record begun_record(std::size_t n) {
    return {"registry", std::uint32_t(n % 128), key_of(n), 1, 0, record_state::begun, 0,
            "",         std::string(16, 'd')};
}

std::size_t size_of(const record& it) {
    return field_bytes + it.service.size() + it.key.size() + it.answer.size() + it.digest.size();
}

double cpu_seconds() {
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return double(now.tv_sec) + double(now.tv_nsec) / 1e9;
}

/// One writer and three replicas that reply at once.
class ledger_group {
public:
    ledger_group() {
        replica_options settings;
        settings.max_records = 2'000'000;
        settings.max_total_bytes = std::size_t{4} << 30U;
        for (int n = 0; n < 3; ++n) {
            replicas_.emplace_back(settings);
        }
    }
    void begin_and_finish(std::size_t n) {
        const record wanted = begun_record(n);
        bool dispatched = false;
        deliver(writer_.begin(
            wanted, names_, [&](const decision& it) { dispatched = it.result == verdict::dispatch; }, now_));
        if (!dispatched) {
            std::printf("request %zu was not dispatched\n", n);
            std::exit(1);
        }
        record result = wanted;
        result.state = record_state::answered;
        result.answer.assign(answer_bytes, 'a');
        deliver(writer_.finish(
            result, names_, [](bool) {}, now_));
    }
    std::size_t messages = 0;
    std::size_t bytes = 0;

private:
    void deliver(const std::vector<replica_request>& sent) {
        for (const auto& it : sent) {
            replica& target = replicas_.at(std::size_t(it.replica.back() - '1'));
            messages += 2;
            if (it.write) {
                const auto reply = target.write(*it.write, now_);
                bytes += 2 * frame_bytes + size_of(*it.write) + field_bytes +
                         (reply.existing ? reply.existing->answer.size() : 0);
                deliver(writer_.on_write_reply(it.operation, it.replica, reply, now_));
            } else {
                const auto reply = target.fence(it.fence->first, it.fence->second, it.epoch, now_);
                bytes += 2 * (frame_bytes + field_bytes);
                deliver(writer_.on_fence_reply(it.operation, it.replica, reply, now_));
            }
        }
    }

    std::deque<replica> replicas_;
    writer writer_{std::chrono::milliseconds(50)};
    std::vector<std::string> names_{"i1", "i2", "i3"};
    time_point now_{std::chrono::seconds(1)};
};

void measure_memory(std::size_t records) {
    const std::size_t before = mallinfo2().uordblks;
    replica_options settings;
    settings.max_records = records;
    settings.max_total_bytes = std::size_t{4} << 30U;
    replica measured(settings);
    for (std::size_t n = 0; n < records; ++n) {
        record wanted = begun_record(n);
        measured.write(wanted, time_point(std::chrono::seconds(1)));
        wanted.state = record_state::answered;
        wanted.answer.assign(answer_bytes, 'a');
        measured.write(wanted, time_point(std::chrono::seconds(2)));
    }
    const std::size_t used = mallinfo2().uordblks - before;
    std::printf("%6zu records: %.0f bytes per record on the heap, %.0f counted by the replica\n",
                measured.size(), double(used) / double(records), double(measured.bytes()) / double(records));
}

} // namespace

int main() {
    for (const std::size_t records : {10'000U, 50'000U, 200'000U}) {
        measure_memory(records);
    }
    ledger_group group;
    constexpr std::size_t pairs = 200'000;
    const double from = cpu_seconds();
    for (std::size_t n = 0; n < pairs; ++n) {
        group.begin_and_finish(n);
    }
    const double rate = pairs / (cpu_seconds() - from);
    std::printf("%.0f pairs of begin and finish per second and core (writer and three replicas together)\n",
                rate);
    std::printf("%.1f messages and about %.0f bytes per request with an answer of %zu bytes\n",
                double(group.messages) / pairs, double(group.bytes) / pairs, answer_bytes);
    constexpr double least_rate = 20'000; // regression bound, far below the rate of an idle core
    return rate >= least_rate ? 0 : 1;
}
