"""Measures the control traffic, the processor time of the control thread and the memory of each instance, idle and
under load, for several numbers of instances, and fits a line over that number."""

import re
import time

import measure_common as common

# Instances in each of the three data centres.
SIZES = ((1, 1, 1), (3, 2, 2), (4, 3, 3), (6, 5, 5), (10, 10, 10))
METRIC = re.compile(r"^(kingcupseam_\w+)(?:\{(.*)\})? ([0-9.e+-]+)$", re.M)
LIMIT_BYTES = 2000
LIMIT_CORE = 0.038


def add_options(parser):
    parser.add_argument("--seconds", type=float, default=10, help="duration of one measurement")
    parser.add_argument("--sizes", default=";".join(",".join(map(str, it)) for it in SIZES))
    parser.add_argument("--upstreams-per-instance", type=int, default=3)
    parser.add_argument("--rate-per-instance", type=int, default=30, help="requests/s under load")


def read_metrics(cluster, it):
    result = {}
    for name, tags, value in METRIC.findall(cluster.send_operator_request(it.operator, "/metrics")):
        result[name, tags] = float(value)
    return result


def sum_metric(values, name, *tags):
    return sum(value for (key, key_tags), value in values.items()
               if key == name and all(it in key_tags for it in tags))


def instance_roles(cluster):
    """Returns the role of each instance in its data centre's group: leader, durable voter, voter or other."""
    result = {}
    for it in cluster.instances:
        group = cluster.status(it).get("data_center_group") or {"leads": False, "voters": []}
        if group["leads"]:
            result[it.name] = "leader, durable" if it.durable else "leader"
        elif it.durable:
            result[it.name] = "durable voter"
        else:
            result[it.name] = "voter" if it.name in group["voters"] else "other"
    return result


def measure_instances(cluster, seconds):
    """Returns per instance: bytes/s sent and received, heartbeats included; frames/s without heartbeats; cores in use;
    resident bytes."""
    before = {it.name: read_metrics(cluster, it) for it in cluster.instances}
    cpu_before = {it.name: common.processor_seconds(it.process.pid) for it in cluster.instances}
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    result = {}
    for it in cluster.instances:
        a, b = before[it.name], read_metrics(cluster, it)
        rate = lambda name, *tags, a=a, b=b: (sum_metric(b, name, *tags) - sum_metric(a, name, *tags)) / elapsed
        frames = rate("kingcupseam_control_frames_received_total")
        frame_bytes = rate("kingcupseam_control_frame_bytes_received_total")
        received = rate("kingcupseam_control_bytes", 'direction="received"')
        result[it.name] = {
            "sent": rate("kingcupseam_control_bytes", 'direction="sent"'),
            "received": received,
            "other_received": received - frame_bytes - rate("kingcupseam_control_bytes", 'channel="datagrams"',
                                                            'direction="received"'),
            "frames": frames, "frame_bytes": frame_bytes,
            "datagrams": rate("kingcupseam_control_datagrams_received_total"),
            "control_core": rate("kingcupseam_control_processor_microseconds") / 1e6,
            "process_core": (common.processor_seconds(it.process.pid) - cpu_before[it.name]) / elapsed,
            "resident": sum_metric(b, "kingcupseam_resident_bytes"),
            "types": {tags: (value - a.get((name, tags), 0)) / elapsed for (name, tags), value in b.items()
                      if name == "kingcupseam_control_frame_bytes_received_total"},
        }
    return result


def format_rows(size, upstreams, state, role_of, measured):
    for role in sorted(set(role_of.values())):
        members = [measured[name] for name, it in role_of.items() if it == role]
        mean = lambda key, members=members: sum(it[key] for it in members) / len(members)
        yield [size, upstreams, state, role, len(members), f"{mean('sent'):.0f}", f"{mean('received'):.0f}",
               f"{mean('frame_bytes'):.0f}", f"{mean('other_received'):.0f}", f"{mean('frames'):.1f}",
               f"{mean('datagrams'):.1f}", f"{100 * mean('control_core'):.2f}%", f"{100 * mean('process_core'):.2f}%",
               f"{mean('resident') / 1e6:.1f}", f"{common.load_average():.0f}"]


def fit_line(points):
    """Fits a line by least squares; returns (value at 0, increase per unit)."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    slope = sum((x - mx) * (y - my) for x, y in points) / sum((x - mx) ** 2 for x, _ in points)
    return my - slope * mx, slope


def run(options):
    rows, points, types = [], {}, []
    for text in options.sizes.split(";"):
        size = tuple(int(it) for it in text.split(","))
        instances = sum(size)
        upstreams = options.upstreams_per_instance * instances
        second = max(3, upstreams // 6)
        services = (("registry", upstreams - second, 2, 120), ("repack", second, 2, 120))
        with common.started_cluster(network_offset=3, firm="navalsig", per_data_center=size,
                                    services=services) as cluster:
            time.sleep(3)
            role_of = instance_roles(cluster)
            for state in ("idle", "loaded"):
                load = None
                if state == "loaded":
                    load = common.start_load(cluster, "--rate", options.rate_per_instance * instances, "--duration",
                                             options.seconds + 4)
                    time.sleep(2)
                measured = measure_instances(cluster, options.seconds)
                if load:
                    common.finish_load(load, 60)
                rows += format_rows(instances, upstreams, state, role_of, measured)
                merged = {}
                for it in measured.values():
                    for tags, value in it["types"].items():
                        merged[tags] = merged.get(tags, 0) + value / instances
                by_type = ", ".join(f"{key} {value:.0f}" for key, value in sorted(merged.items()))
                types.append([instances, state, by_type])
                for role in ("leader", "other than leader"):
                    members = [measured[name] for name, it in role_of.items()
                               if it.startswith("leader") == (role == "leader")]
                    for key in ("sent", "received", "frames", "control_core", "resident"):
                        mean = sum(it[key] for it in members) / max(1, len(members))
                        if members:
                            points.setdefault((state, role, key), []).append((instances, mean))
    common.print_table(["instances", "upstreams", "state", "role", "number", "sent B/s", "received B/s",
                        "of which frames B/s", "heartbeats and replies B/s", "frames/s", "datagrams/s",
                        "control thread", "process", "resident MB", "load average"], rows)
    common.print_table(["instances", "state", "mean bytes/s received per instance, by frame type"], types)
    fits = []
    for (state, role, key), values in points.items():
        base, slope = fit_line(values)
        fits.append([state, role, key, f"{base:.4g}", f"{slope:.4g}"])
    common.print_table(["state", "role", "quantity", "at 0 instances", "per instance of the system"], fits)
    over = [row for row in rows if int(row[5]) + int(row[6]) > LIMIT_BYTES or float(row[11][:-1]) > 100 * LIMIT_CORE]
    print(f"{len(over)} of {len(rows)} rows exceed {LIMIT_BYTES} B/s sent and received or {LIMIT_CORE:.1%} of a core")
    return 0
