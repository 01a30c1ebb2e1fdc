"""Measures the requests per second and core of one instance that is both entry and gate, with several upstreams whose
service time is too short to limit it. Sends lookups only: at-most-once requests need three ledger replicas."""

import measure_common as common


def add_options(parser):
    parser.add_argument("--rates", default="1000,2000,4000,8000", help="offered requests/s, comma-separated")
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--instances", default="1", help="instances in each data centre, comma-separated")


def run(options):
    sizes = tuple(int(it) for it in options.instances.split(","))
    services = (("registry", options.upstreams, 16, 120), ("repack", 1, 2, 120))
    rows = []
    with common.started_cluster(network_offset=4, firm="navalsig", per_data_center=sizes, services=services,
                                service_time_ms=0.5) as cluster:
        for rate in options.rates.split(","):
            processes = common.instance_processes(cluster)
            load = common.start_load(cluster, "--rank-rate", f"urgent:{rate}", "--rank-rate", "standard:0",
                                     "--rank-rate", "deferrable:0", "--duration", options.seconds)
            processes["load"] = load
            processes["registry-1"] = cluster.upstreams["registry-1"]
            use = common.ProcessorUse(processes)
            # Ends before the load does, since the processor time of a process that has exited cannot be read.
            try:
                load.wait(0.9 * options.seconds)
            except common.subprocess.TimeoutExpired:
                pass
            use.stop()
            urgent = common.finish_load(load, 60)["ranks"]["urgent"]
            served = urgent["answered"] / options.seconds
            instance_cores = sum(use.cores[name] for name in common.instance_processes(cluster))
            rows.append([rate, f"{served:.0f}", f"{100 * urgent['service']:.1f}%", urgent["latency_ms"]["p50"],
                         urgent["latency_ms"]["p99"], f"{instance_cores:.2f}",
                         f"{served / max(instance_cores, 0.01):.0f}",
                         f"{use.cores['load']:.2f}", f"{use.cores['registry-1']:.2f}", f"{use.machine:.1f}",
                         str(urgent["not_run"] or ""), f"{common.load_average():.0f}"])
    common.print_table(["offered/s", "served/s", "service", "p50 ms", "p99 ms", "cores of the instances",
                        "served/s and core", "cores of load", "cores of one upstream", "cores of the machine",
                        "refused", "load average"], rows)
    return 0
