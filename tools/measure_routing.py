"""Compares routing through gates with direct dispatch, with the same load and seeds: at 80% and 160% of capacity, and
with a flood of urgent requests. Also measures the latency that the added hop costs at low load."""

import statistics
import time

import local_cluster
import measure_common as common

# Long enough that the upstreams, not the machine, limit the load; well below the 250 ms deadline of urgent requests.
SERVICE_TIME_MS = {"navalsig": 50, "cairnmark": 100}
LONGEST_DEADLINE_S = 3  # of deferrable requests in both profiles
RANKS = ("urgent", "standard", "deferrable")
# By number of repetitions: the quantile of Student's t distribution for a two-sided 95% interval.
STUDENT_T = {2: 12.706, 3: 4.303, 4: 3.182, 5: 2.776, 6: 2.571, 7: 2.447, 8: 2.365}


def add_options(parser):
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=9, help="duration of one run")
    parser.add_argument("--warmup", type=float, default=2)
    parser.add_argument("--firms", default="navalsig,cairnmark")
    parser.add_argument("--loads", default="80%,160%,urgent flood")
    parser.add_argument("--routings", default="gate,direct")
    parser.add_argument("--hop-repetitions", type=int, default=4)
    parser.add_argument("--only", choices=("load", "hop"), help="run one of the two parts")


def capacities(firm):
    """Returns the requests/s that the upstreams of each service can run."""
    return [count * slots * 1000 / SERVICE_TIME_MS[firm]
            for _, count, slots, _ in local_cluster.FIRMS[firm]["services"]]


def rates_by_load(firm):
    """Returns the rate of each rank for each load. Urgent and standard requests share the first service 4 : 3, as in a
    mix of 40:30:30; the second service gets only deferrable requests."""
    first, second = capacities(firm)
    result = {f"{round(level * 100)}%": (level * first * 4 / 7, level * first * 3 / 7, level * second)
              for level in (0.8, 1.6)}
    result["urgent flood"] = (1.6 * first, 0.3 * first, 0.8 * second)
    return result


def measure_load(cluster, rates, seed, options):
    arguments = []
    for rank, rate in zip(RANKS, rates):
        arguments += ["--rank-rate", f"{rank}:{rate:.1f}"]
    use = common.ProcessorUse(common.instance_processes(cluster))
    load = common.start_load(cluster, *arguments, "--duration", options.seconds, "--warmup", options.warmup,
                             "--seed", seed)
    time.sleep(options.seconds)
    use.stop()
    time.sleep(LONGEST_DEADLINE_S + 0.5)
    # After an overload the load generator exits only when its idle connections are closed: stop the instances first.
    cluster.stop()
    return common.finish_load(load, 60), use


def load_rows(firm, routing, options):
    network_offset = 5 + list(local_cluster.FIRMS).index(firm)
    for seed in range(1, options.seeds + 1):
        for load_name in options.loads.split(","):
            rates = rates_by_load(firm)[load_name]
            load_before = common.load_average()
            with common.started_cluster(network_offset=network_offset, firm=firm, routing=routing,
                                        service_time_ms=SERVICE_TIME_MS[firm]) as cluster:
                report, use = measure_load(cluster, rates, seed, options)
            row = [firm, routing, load_name, seed]
            for rank in RANKS:
                row.append(f"{100 * report['ranks'][rank]['service']:.1f}%")
            for rank in RANKS:
                latency = report["ranks"][rank]["latency_ms"]
                row.append(f"{latency['p50']:.0f} / {latency['p99']:.0f}")
            reasons = {}
            for rank in RANKS:
                counts = report["ranks"][rank]
                for reason, n in (counts["not_run"] or {}).items():
                    reasons[f"{rank} {reason}"] = n
                for outcome in ("unknown", "lost", "errors"):
                    if counts[outcome]:
                        reasons[f"{rank} {outcome}"] = counts[outcome]
            row.append(", ".join(f"{key} {n}" for key, n in sorted(reasons.items())) or "none")
            row.append(f"{sum(use.cores.values()):.2f} / {max(use.cores.values()):.2f} / {use.machine:.1f}")
            row.append(f"{load_before:.0f}")
            yield row


def format_interval(values):
    spread = STUDENT_T[len(values)] * statistics.stdev(values) / len(values) ** 0.5
    return f"{statistics.mean(values):.0f} ± {spread:.0f}"


def hop_rows(options):
    """Alternates runs between two clusters that exist at the same time, one with gates and one with direct dispatch, so
    that other load on the machine affects both."""
    medians = {"gate": [], "direct": []}
    settings = {"firm": "navalsig", "service_time_ms": 1}
    with common.started_cluster(routing="gate", **settings) as gate, \
            common.started_cluster(network_offset=1, routing="direct", **settings) as direct:
        for n in range(options.hop_repetitions):
            for routing, cluster in (("gate", gate), ("direct", direct)):
                load = common.start_load(cluster, "--rank-rate", "urgent:150", "--rank-rate", "standard:0",
                                         "--rank-rate", "deferrable:0", "--duration", 6, "--warmup", 1,
                                         "--seed", n + 1)
                report = common.finish_load(load, 60)
                medians[routing].append(report["ranks"]["urgent"]["latency_ms"]["p50"] * 1000)
    differences = [a - b for a, b in zip(medians["gate"], medians["direct"])]
    for name, values in (("gate", medians["gate"]), ("direct", medians["direct"]), ("difference", differences)):
        yield [name, ", ".join(f"{it:.0f}" for it in values), format_interval(values), f"{common.load_average():.0f}"]


def run(options):
    columns = ["firm", "routing", "load", "seed"] + [f"{rank} served" for rank in RANKS]
    columns += [f"{rank} p50 / p99 ms" for rank in RANKS]
    columns += ["refused or failed", "cores: instances / busiest / machine", "load average"]
    if options.only != "hop":
        variants = [(firm, routing) for firm in options.firms.split(",") for routing in options.routings.split(",")]
        common.print_table(columns, (row for firm, routing in variants for row in load_rows(firm, routing, options)))
    if options.only != "load":
        common.print_table(["routing", "median urgent latency of each run, µs", "mean and 95% interval, µs",
                            "load average"], list(hop_rows(options)))
    return 0
