"""Measures the control traffic, the processor time of the control thread and the memory of each instance, idle and
under load, for several numbers of instances, and fits each quantity as a linear function of that number."""

import re
import time

import measure_common as common

# Instances in each of the three data centres.
SIZES = ((1, 1, 1), (3, 2, 2), (4, 3, 3), (6, 5, 5), (10, 10, 10))
METRIC = re.compile(r"^(kingcupseam_\w+)(?:\{(.*)\})? ([0-9.e+-]+)$", re.M)
MAX_CONTROL_BYTES_PER_S = 2000
MAX_CONTROL_CORES = 0.038


def add_options(parser):
    parser.add_argument("--seconds", type=float, default=10, help="duration of one measurement")
    parser.add_argument("--sizes", default=";".join(",".join(map(str, it)) for it in SIZES))
    parser.add_argument("--upstreams-per-instance", type=int, default=3)
    parser.add_argument("--rate-per-instance", type=int, default=30, help="requests/s under load")


def read_metrics(cluster, instance):
    """Returns the value of each metric by name and labels."""
    result = {}
    for name, labels, value in METRIC.findall(cluster.send_operator_request(instance.operator, "/metrics")):
        result[name, labels] = float(value)
    return result


def sum_metric(values, name, *wanted):
    """Returns the sum over all label sets that contain each of the wanted labels."""
    return sum(value for (key, labels), value in values.items()
               if key == name and all(it in labels for it in wanted))


def instance_roles(cluster):
    """Returns the role of each instance in its data centre's group: leader, durable voter, voter or other."""
    result = {}
    for instance in cluster.instances:
        group = cluster.status(instance).get("data_center_group") or {"leads": False, "voters": []}
        if group["leads"]:
            result[instance.name] = "leader, durable" if instance.durable else "leader"
        elif instance.durable:
            result[instance.name] = "durable voter"
        else:
            result[instance.name] = "voter" if instance.name in group["voters"] else "other"
    return result


def measure_instances(cluster, seconds):
    """Returns per instance: bytes/s sent and received, heartbeats included; frames/s without heartbeats; cores in use;
    resident bytes; bytes/s received by frame type."""
    before = {it.name: read_metrics(cluster, it) for it in cluster.instances}
    cpu_before = {it.name: common.processor_seconds(it.process.pid) for it in cluster.instances}
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    result = {}
    for it in cluster.instances:
        first, last = before[it.name], read_metrics(cluster, it)
        rate = lambda name, *labels, first=first, last=last: (
            sum_metric(last, name, *labels) - sum_metric(first, name, *labels)) / elapsed
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
            "resident": sum_metric(last, "kingcupseam_resident_bytes"),
            "types": {labels: (value - first.get((name, labels), 0)) / elapsed
                      for (name, labels), value in last.items()
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
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    return mean_y - slope * mean_x, slope


def run(options):
    rows, points, types = [], {}, []
    for text in options.sizes.split(";"):
        size = tuple(int(it) for it in text.split(","))
        instances = sum(size)
        upstreams = options.upstreams_per_instance * instances
        repack_upstreams = max(3, upstreams // 6)
        services = (("registry", upstreams - repack_upstreams, 2, 120), ("repack", repack_upstreams, 2, 120))
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
                by_type = {}
                for it in measured.values():
                    for labels, value in it["types"].items():
                        by_type[labels] = by_type.get(labels, 0) + value / instances
                type_list = ", ".join(f"{labels} {value:.0f}" for labels, value in sorted(by_type.items()))
                types.append([instances, state, type_list])
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
    # Columns 5, 6 and 11: bytes/s sent and received, and use of the control thread in percent.
    over = [row for row in rows if int(row[5]) + int(row[6]) > MAX_CONTROL_BYTES_PER_S
            or float(row[11][:-1]) > 100 * MAX_CONTROL_CORES]
    print(f"{len(over)} of {len(rows)} rows exceed {MAX_CONTROL_BYTES_PER_S} B/s sent and received or "
          f"{MAX_CONTROL_CORES:.1%} of a core")
    return 0
