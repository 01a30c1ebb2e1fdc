"""Measures the time until keys are served again after processes are killed, on 10 instances with 36 upstreams. Every
20 ms a lookup and a booking are sent to each of several keys that a killed process served, through instances that
keep running. Exits with 1 when a repetition exceeds the bound or a key is not served again. The loss of a whole data
centre is not measured: its shards are placed elsewhere only after its hold has expired."""

import asyncio
import json
import random
import time
import uuid

import local_cluster
import measure_common as common

PROBE_INTERVAL_S = 0.02
KEYS_PER_REPETITION = 4
# Low enough that all probes together use a fifth of the 2 slots of one upstream: waiting for a slot would be measured
# as outage.
SERVICE_TIME_MS = 1
# Method and path of each kind of request.
REQUESTS = {"lookup": ("GET", "/registry/rafts/{}/history"), "booking": ("POST", "/registry/rafts/{}/bookings")}
# What a repetition kills.
LOSS_KINDS = ("upstream", "gate", "leader", "gate and leader")


def add_options(parser):
    parser.add_argument("--repetitions", type=int, default=5)
    parser.add_argument("--bound-ms", type=float, default=1000)
    parser.add_argument("--after", type=float, default=3, help="seconds of probing after the kill")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random choice of victims")
    parser.add_argument("--kinds", default=",".join(LOSS_KINDS),
                        help="comma-separated; 'nothing' kills no process and shows the effect of the machine alone")


async def send_request(address, request_kind, key):
    """Sends one request on its own connection; returns (served, outcome or reason, upstream)."""
    method, path = REQUESTS[request_kind]
    ip, port = address.split(":")
    head = [f"{method} {path.format(key)} HTTP/1.1", f"Host: {address}", "Connection: close",
            f"Idempotency-Key: {uuid.uuid4()}"]
    if method == "POST":
        head += ["Content-Length: 1", "Content-Type: application/octet-stream"]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(("\r\n".join(head) + "\r\n\r\n" + ("b" if method == "POST" else "")).encode())
        data = await asyncio.wait_for(reader.read(-1), 4)
    except (OSError, asyncio.TimeoutError) as e:
        return False, type(e).__name__, None
    finally:
        if writer is not None:
            writer.close()
    header, _, body = data.decode(errors="replace").partition("\r\n\r\n")
    headers = dict(line.lower().split(": ", 1) for line in header.split("\r\n")[1:] if ": " in line)
    if headers.get("kingcupseam-outcome") != "ran":
        return False, headers.get("kingcupseam-reason", header.split("\r\n", maxsplit=1)[0]), None
    return True, "ran", json.loads(body)["upstream"]


async def find_owners(address, keys):
    """Returns the upstream of each key that is served. Sends 10 lookups at a time, so that none waits for a slot beyond
    its deadline."""
    result = {}
    for n in range(0, len(keys), 10):
        batch = keys[n:n + 10]
        found = await asyncio.gather(*[send_request(address, "lookup", it) for it in batch])
        result.update({key: upstream for key, (served, _, upstream) in zip(batch, found) if served})
    return result


class Probes:
    """Sends a lookup and a booking to each key every 20 ms and records (sent, completed, served, outcome or reason) of
    each; times are seconds of the monotonic clock."""

    def __init__(self, addresses, keys):
        self.addresses = addresses
        self.records = {(request_kind, key): [] for request_kind in REQUESTS for key in keys}
        self.tasks = set()

    async def probe(self, request_kind, key, address):
        sent = time.monotonic()
        served, reason, _ = await send_request(address, request_kind, key)
        self.records[request_kind, key].append((sent, time.monotonic(), served, reason))

    async def send_until(self, end):
        next_at = time.monotonic()
        n = 0
        while next_at < end:
            for request_kind, key in self.records:
                task = asyncio.create_task(self.probe(request_kind, key, self.addresses[n % len(self.addresses)]))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
                n += 1
            next_at += PROBE_INTERVAL_S
            await asyncio.sleep(max(0, next_at - time.monotonic()))
        await asyncio.gather(*self.tasks)


def recovery_ms(records, killed_at):
    """Returns the time from the kill to the answer to the first served probe that was sent after the last failed one;
    None if there is no such probe. If no probe failed: the longest time for which a probe waited for its answer after
    the kill, among the probes sent until 1 s after the kill."""
    after = [it for it in records if it[1] > killed_at]
    failed = [sent for sent, _, served, _ in after if not served]
    if not failed:
        waited = [completed - max(sent, killed_at) for sent, completed, _, _ in after if sent < killed_at + 1]
        return max(waited) * 1000
    answered = [completed for sent, completed, served, _ in after if served and sent > max(failed)]
    return (min(answered) - killed_at) * 1000 if answered else None


def status_of(cluster, name="a1"):
    return cluster.status(next(it for it in cluster.instances if it.name == name))


def find_leader(cluster, data_center):
    """Returns the name of the leader and the names of the voters of the data centre's group."""
    for it in cluster.instances:
        if it.data_center == data_center and it.process is not None:
            group = cluster.status(it).get("data_center_group")
            if group and group["leads"]:
                return it.name, group["voters"]
    raise RuntimeError("no leader in " + data_center)


def choose_victims(cluster, loss_kind, owners, rng):
    """Returns the names of the instances to kill, of the upstream to kill, and of the upstreams to probe."""
    leader, voters = find_leader(cluster, "north")
    table = next(it for it in status_of(cluster)["data_centers"] if it["data_center"] == "north")
    owning = set(owners.values())
    gate_of = {it["name"]: it["gate"] for it in table["upstreams"] if it["name"] in owning}
    if loss_kind == "nothing":
        return [], None, set(gate_of)
    if loss_kind == "upstream":
        upstream = rng.choice(sorted(gate_of))
        return [], upstream, {upstream}
    if loss_kind == "leader":
        return [leader], None, {upstream for upstream, gate in gate_of.items() if gate == leader} or set(gate_of)
    others = sorted({gate for gate in gate_of.values() if gate != leader})
    # A data centre's group of three voters does not tolerate the loss of two at once.
    not_voting = [it for it in others if it not in voters]
    gate = rng.choice(not_voting if loss_kind == "gate and leader" and not_voting else others)
    killed = [gate] if loss_kind == "gate" else [gate, leader]
    return killed, None, {upstream for upstream, its_gate in gate_of.items() if its_gate in killed}


async def run_repetition(cluster, loss_kind, options, rng):
    entry = next(it for it in cluster.instances if it.data_center == "east")
    owners = await find_owners(entry.caller, [f"key-{n}" for n in range(240)])
    killed_instances, killed_upstream, probed = choose_victims(cluster, loss_kind, owners, rng)
    keys = [key for key, upstream in owners.items() if upstream in probed]
    keys = rng.sample(keys, min(KEYS_PER_REPETITION, len(keys)))
    addresses = [it.caller for it in cluster.instances if it.name not in killed_instances]
    probes = Probes(addresses, keys)
    sending = asyncio.create_task(probes.send_until(time.monotonic() + 0.5 + options.after))
    await asyncio.sleep(0.5)
    killed_at = time.monotonic()
    for instance in cluster.instances:
        if instance.name in killed_instances:
            cluster.kill_instance(instance)
    if killed_upstream:
        cluster.kill_upstream(killed_upstream)
    await sending
    result = {}
    failures = {}
    for request_kind in REQUESTS:
        times = [recovery_ms(records, killed_at) for (kind, _), records in probes.records.items()
                 if kind == request_kind]
        result[request_kind] = None if None in times or not times else max(times)
        for (kind, _), records in probes.records.items():
            for _, completed, served, reason in records:
                if kind == request_kind and not served and completed > killed_at:
                    failures[f"{kind} {reason}"] = failures.get(f"{kind} {reason}", 0) + 1
    victims = killed_instances + ([killed_upstream] if killed_upstream else [])
    return victims, len(keys), result, failures


def measure_rows(options, missed_bounds):
    rng = random.Random(options.seed)
    for loss_kind in options.kinds.split(","):
        for n in range(options.repetitions):
            load = common.load_average()
            with common.started_cluster(network_offset=2, firm="navalsig", service_time_ms=SERVICE_TIME_MS) as cluster:
                victims, keys, result, failures = asyncio.run(run_repetition(cluster, loss_kind, options, rng))
            missed = any(it is None or it > options.bound_ms for it in result.values())
            missed_bounds.append(missed)
            unserved = "not served again" if keys else "no key was served before the loss"
            times = [f"{it:.0f}" if it is not None else unserved for it in result.values()]
            yield [loss_kind, n + 1, " + ".join(victims), keys, *times, "missed" if missed else "met",
                   ", ".join(f"{failure} {count}" for failure, count in sorted(failures.items())) or "none",
                   f"{load:.0f}"]


def run(options):
    missed_bounds = []
    common.print_table(["lost", "run", "victims", "keys", "lookups served after ms", "bookings served after ms",
                        f"bound {options.bound_ms:.0f} ms", "failed probes", "load average"],
                       measure_rows(options, missed_bounds))
    print(f"{sum(missed_bounds)} of {len(missed_bounds)} repetitions missed the bound of {options.bound_ms:.0f} ms")
    return 1 if any(missed_bounds) else 0
