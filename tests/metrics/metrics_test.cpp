#include <doctest/doctest.h>

#include <kingcupseam/error.h>
#include <kingcupseam/metrics.h>

#include <latch>
#include <thread>

using namespace kingcupseam;

// Guards against wrong statistics, and against values lost when several threads record or when histograms are
// merged.
TEST_CASE("a histogram reports the statistics of the values recorded by several threads") {
    metrics::histogram latencies;

    SUBCASE("an empty histogram reports zeros, as on a new instance") {
        CHECK(latencies.count() == 0);
        CHECK(latencies.quantile(0.99) == 0);
        CHECK(latencies.mean() == 0);
        CHECK(latencies.standard_deviation() == 0);
        CHECK(latencies.max() == 0);
    }
    SUBCASE("values from 1 to 1000 us are recorded") {
        for (std::uint64_t n = 1; n <= 1000; ++n) {
            latencies.record(n);
        }
        SUBCASE("mean, deviation and maximum are exact") {
            CHECK(latencies.mean() == doctest::Approx(500.5));
            CHECK(latencies.standard_deviation() == doctest::Approx(288.675).epsilon(1e-5));
            CHECK(latencies.max() == 1000);
        }
        SUBCASE("a quantile is never below the true value and at most an eighth above it") {
            for (const double fraction : {0.01, 0.1, 0.5, 0.9, 0.99, 1.0}) {
                const double exact = fraction * 1000;
                const auto n = static_cast<double>(latencies.quantile(fraction));
                CHECK(n >= exact);
                CHECK(n <= exact * 1.125 + 1);
            }
        }
        SUBCASE("cumulative counts are never too high") {
            const auto counts = latencies.cumulative_counts({7, 100, 1000, 10'000});
            CHECK(counts[0] == 7);
            CHECK(counts[1] <= 100);
            CHECK(counts[1] >= 87);
            CHECK(counts[3] == 1000);
        }
        SUBCASE("merging another histogram equals recording its values here") {
            metrics::histogram other;
            for (std::uint64_t n = 1001; n <= 2000; ++n) {
                other.record(n);
            }
            latencies.merge(other);
            CHECK(latencies.count() == 2000);
            CHECK(latencies.mean() == doctest::Approx(1000.5));
            CHECK(latencies.standard_deviation() == doctest::Approx(577.35).epsilon(1e-4));
            CHECK(latencies.max() == 2000);
            CHECK(latencies.quantile(0.25) >= 500);
            CHECK(latencies.quantile(0.25) <= 575);
        }
    }
    SUBCASE("a value beyond the buckets is reported as the maximum and does not index past their end") {
        const std::uint64_t huge = std::uint64_t{1} << 40;
        latencies.record(huge);
        CHECK(latencies.quantile(0.5) == huge);
    }
    SUBCASE("no value is lost when threads record at the same time") {
        // More threads than stripes, started together and running long enough to overlap.
        constexpr std::uint64_t per_thread = 200'000;
        std::latch start(8);
        std::vector<std::thread> threads;
        threads.reserve(8);
        for (int n = 0; n < 8; ++n) {
            threads.emplace_back([&] {
                start.arrive_and_wait();
                for (std::uint64_t it = 0; it < per_thread; ++it) {
                    latencies.record(it);
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        CHECK(latencies.count() == 8 * per_thread);
        CHECK(latencies.mean() == doctest::Approx(99'999.5));
    }
}

// Guards against text that Prometheus cannot parse and against two metrics where one was meant.
TEST_CASE("a registry formats its metrics in the Prometheus text format") {
    metrics::registry registry;
    auto& served = registry.counter_of("served_total", "Requests served", {{"rank", "urgent"}});
    served.add(3);

    SUBCASE("the same name and labels give the same metric, so that two users add to one count") {
        CHECK(&registry.counter_of("served_total", "Requests served", {{"rank", "urgent"}}) == &served);
        CHECK(&registry.counter_of("served_total", "Requests served", {{"rank", "standard"}}) != &served);
    }
    SUBCASE("counters and gauges have a type line and their value") {
        registry.gauge_of("waiting", "Waiting requests").set(-2);
        const std::string text = registry.prometheus_text();
        CHECK(text.find("# TYPE served_total counter\nserved_total{rank=\"urgent\"} 3\n") !=
              std::string::npos);
        CHECK(text.find("# TYPE waiting gauge\nwaiting -2\n") != std::string::npos);
    }
    SUBCASE("histograms are in seconds with cumulative buckets") {
        auto& latency = registry.histogram_of("latency_seconds", "Latency", {{"rank", "urgent"}});
        latency.record(900);
        latency.record(20'000'000);
        const std::string text = registry.prometheus_text();
        CHECK(text.find("latency_seconds_bucket{rank=\"urgent\",le=\"0.001\"} 1\n") != std::string::npos);
        CHECK(text.find("latency_seconds_bucket{rank=\"urgent\",le=\"10\"} 1\n") != std::string::npos);
        CHECK(text.find("latency_seconds_bucket{rank=\"urgent\",le=\"+Inf\"} 2\n") != std::string::npos);
        CHECK(text.find("latency_seconds_sum{rank=\"urgent\"} 20.0009\n") != std::string::npos);
        CHECK(text.find("latency_seconds_count{rank=\"urgent\"} 2\n") != std::string::npos);
    }
    SUBCASE("label values are escaped, so that a quote in a name cannot break the text") {
        registry.gauge_of("up", "Up", {{"name", "a\"b\\c\nd"}}).set(1);
        CHECK(registry.prometheus_text().find(R"(up{name="a\"b\\c\nd"} 1)") != std::string::npos);
    }
    SUBCASE("names that Prometheus refuses, and one name for two kinds of metric, are errors") {
        CHECK_THROWS_AS(registry.counter_of("bad-name", "x"), invalid_input);
        CHECK_THROWS_AS(registry.counter_of("1st", "x"), invalid_input);
        CHECK_THROWS_AS(registry.gauge_of("served_total", "x"), invalid_input);
    }
}
