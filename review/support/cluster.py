"""Starts the programs of deploy/system.toml as processes on loopback addresses, with stand-ins around them.

Everything is ended, and the temporary folder removed, when the cluster is closed. Standard library only.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
SERVICE = "certreg"
PLAIN_SERVICE = "repackdesk"
HOST = "gateway.example"
LAST_KEY = 65535


def trouble():
    """False when the case is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def now_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def render(template, fields):
    """Fills in the settings template as DEPLOY.md describes."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(found):
        return found.group(3) if look_up(found.group(2)) not in (None, False, [], {}) else ""

    def placeholder(found):
        name, _, form = found.group(1).partition("|")
        value = look_up(name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{(#)([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


def commands():
    """The commands of the roles in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    found = re.findall(r'\[roles\.(\w+)\]\s*\nrun = "([^"]+)"', text)
    return {role: words.split() for role, words in found}


class Process:
    def __init__(self, name, words, settings, log):
        self.name, self.words, self.settings, self.log = name, words, settings, log
        self.child = None
        self.starts = 0

    async def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8", "KINGCUPSEAM_BOOT": self.settings}
        with open(self.log, "ab") as out:
            self.child = await asyncio.create_subprocess_exec(
                *self.words, cwd=ROOT, env=env, stdout=out, stderr=out, stdin=asyncio.subprocess.DEVNULL
            )
        self.starts += 1

    def running(self):
        return self.child is not None and self.child.returncode is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        self.signal(signal.SIGCONT)
        if self.child is not None:
            await self.child.wait()

    def memory_mb(self):
        """Resident memory now and at its peak."""
        try:
            text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0, 0
        found = {k: int(v) // 1024 for k, v in re.findall(r"(VmRSS|VmHWM):\s+(\d+)", text)}
        return found.get("VmRSS", 0), found.get("VmHWM", 0)


def free_ports(count):
    held = []
    for _ in range(count):
        it = socket.socket()
        it.bind(("127.0.0.1", 0))
        held.append(it)
    ports = [it.getsockname()[1] for it in held]
    for it in held:
        it.close()
    return ports


class Cluster:
    """Three control instances and some entries, with the bounds of a small deployment."""

    def __init__(self, record, entries=4, control=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kingcupseam-review-"))
        self.net = f"127.{random.randint(60, 220)}"
        self.admin, self.client, self.ready, self.peer, self.metrics = free_ports(5)
        self.zones = ["cta-port", "mangalia", "midia"]
        self.control = [self.make("control", i, control) for i in range(control)]
        self.entries = [self.make("entry", i, control) for i in range(entries)]
        self.closing = False
        self.tasks = []

    def ip(self, role, n):
        return f"{self.net}.{1 if role == 'control' else 2}.{n + 10}"

    def make(self, role, n, control):
        ip = self.ip(role, n)
        name = f"{role}-{n + 1}"
        listen = {"admin": f"{ip}:{self.admin}"}
        data = None
        if role == "entry":
            listen = {"client_addr": f"{ip}:{self.client}", "readiness": f"{ip}:{self.ready}"}
        else:
            data = str(self.folder / f"data-{n + 1}")
            os.mkdir(data)
        fields = {
            "node_name": name,
            "zone": self.zones[n % 3],
            "ip": ip,
            "listen": listen,
            "internal_ports": [self.peer, self.metrics],
            "seeds": [f"{self.ip('control', i)}:{self.admin}" for i in range(control)],
            "bootstrap": True,
            "data_dir": data,
            "heartbeat": "870ms",
            "fault_tolerance": {"nodes": 1, "zones": 1, "regions": 0},
            "bounds": {
                "max_hold": "10000ms",
                "drain_period": "2000ms",
                "grace_period": "6s",
                "retry_budget_ratio": 0.2,
                "budget_slack": 60,
                "budget_window": "10s",
            },
        }
        settings = self.folder / f"{name}.toml"
        settings.write_text(render((ROOT / "deploy/settings.toml.template").read_text(), fields))
        return Process(name, commands()[role], str(settings), str(self.folder / f"{name}.log"))

    def admin_addresses(self):
        return [(self.ip("control", i), self.admin) for i in range(len(self.control))]

    def client_address(self, n):
        return self.ip("entry", n), self.client

    def ready_address(self, n):
        return self.ip("entry", n), self.ready

    async def start(self):
        for it in self.control + self.entries:
            await it.start()
            self.tasks.append(asyncio.create_task(self.supervise(it)))

    async def supervise(self, process):
        """The platform starts a process again that has ended."""
        while True:
            code = await process.child.wait()
            if self.closing:
                return
            self.record.write(f"process {process.name} ended with {code}")
            await asyncio.sleep(0.5)
            if self.closing:
                return
            await process.start()

    async def configure(self, routes, services, version=1):
        document = configuration(routes, services, version)
        for _ in range(60):
            for address in self.admin_addresses():
                answer = await call(address, "PUT", "/config", document, limit=2)
                if answer.status == 200:
                    self.record.write(f"operator: desired state {version} acknowledged by {address[0]}")
                    return
            await asyncio.sleep(0.3)
        raise RuntimeError("no control instance acknowledged the desired state")

    async def wait_ready(self):
        for n in range(len(self.entries)):
            for _ in range(100):
                if (await call(self.ready_address(n), "GET", "/readyz", limit=1)).status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise RuntimeError(f"entry {n + 1} is not ready")

    async def close(self):
        self.closing = True
        for it in self.control + self.entries:
            await it.kill()
        for it in self.tasks:
            it.cancel()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


ROUTES = [
    # name, host, path_prefix, route_type, timeout, target_latency, priority, traffic_split, attempts, service
    ["r-lookup", HOST, "/lookup/", "safe", "2500ms", "1000ms", 1, None, 2, SERVICE],
    ["r-booking", HOST, "/booking/", "unsafe", "3000ms", "1000ms", 2, None, 2, SERVICE],
    ["r-order", HOST, "/order/", "unsafe", "3000ms", "1000ms", 0, None, 2, PLAIN_SERVICE],
]
SERVICES = [
    [SERVICE, "/healthz", 120, "h1", False, True, "5s", "request"],
    [PLAIN_SERVICE, "/healthz", 120, "h1", False, None, None, None],
]


def configuration(routes=None, services=None, version=1):
    return json.dumps(
        {
            "version": f"{version:08x}",
            "routes": {
                "columns": [
                    "name", "host", "path_prefix", "route_type", "timeout", "target_latency", "priority",
                    "traffic_split", "attempts", "service",
                ],
                "rows": ROUTES if routes is None else routes,
            },
            "services": {
                "columns": ["name", "health_path", "max_connections", "protocol", "tls", "sharded", "warm", "grants"],
                "rows": SERVICES if services is None else services,
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout": "3000ms",
                "idle_timeout": "15000ms",
            },
        }
    ).encode()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", problem=""):
        self.status, self.headers, self.body, self.problem = status, headers or {}, body, problem


async def read_message(reader):
    """Reads one head and its body; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body=b"", headers=None, limit=5.0):
    """One call on a connection of its own. Status 0: no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
            if path.startswith(("/config", "/instances")):
                lines.append("Content-Type: application/json")
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, found, data = await read_message(reader)
            return Answer(int(first.split()[1]), found, data)
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, ValueError) as e:
        return Answer(problem=type(e).__name__)
    finally:
        if writer is not None:
            writer.close()


class Hold:
    """Keys that one life of a backend holds."""

    def __init__(self, first, last, fence, until):
        self.first, self.last, self.fence, self.until = first, last, fence, until


class Backend:
    """One life of a backend, as PROTOCOL.md describes it: it holds no keys until they are granted to it."""

    def __init__(self, cluster, name, service, zone, address, born, work_s=0.02, first_report_s=0.0, answer_bytes=64):
        self.cluster, self.record = cluster, cluster.record
        self.name, self.service, self.zone, self.address, self.born = name, service, zone, address, born
        self.work_s, self.first_report_s, self.answer_bytes = work_s, first_report_s, answer_bytes
        self.life = f"{name}/{born}"
        self.holds = []  # Hold
        self.history = []  # (begin, end, first, last, fence); the end is known when the hold ends
        self.seen = []  # (first, last, fence): epochs that were seen
        self.running = []  # keys at work
        self.runs = {}
        self.sequence = 0
        self.up_from = self.up_until = None
        self.server = None
        self.writers = set()
        self.reporter = None
        self.state = "ready"

    async def start(self):
        self.up_from = time.monotonic()
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        self.reporter = asyncio.create_task(self.report())
        self.record.write(f"backend {self.life} starts at {self.address[0]}:{self.address[1]}")

    async def crash(self):
        """Ends without a word."""
        self.up_until = time.monotonic()
        self.reporter.cancel()
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        for it in self.holds:
            self.end_hold(it)
        self.holds = []
        self.record.write(f"backend {self.life} crashes")

    def beat(self):
        self.sequence += 1
        return json.dumps(
            {
                "address": f"{self.address[0]}:{self.address[1]}",
                "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "capacity": 2},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"},
            }
        ).encode()

    async def report(self):
        await asyncio.sleep(self.first_report_s)
        at = random.randrange(3)
        addresses = self.cluster.admin_addresses()
        while True:
            body = self.beat()
            for n in range(len(addresses)):
                answer = await call(addresses[(at + n) % len(addresses)], "PUT", f"/instances/{self.name}", body, limit=1)
                if answer.status == 200:
                    at += n
                    if self.sequence == 1:
                        self.record.write(f"backend {self.life}: first report acknowledged")
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                await self.answer(method, path, headers, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def send(self, writer, status, headers=None, body=b""):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def answer(self, method, path, headers, body, writer):
        target = headers.get("x-target-instance")
        request = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request} if request else {}
        if target is not None and target != self.name:
            self.send(writer, 421, {**echo, "X-Not-Executed": "1", "X-Instance-Id": self.name})
        elif path == "/healthz":
            self.send(writer, 200, {"X-Instance-Id": self.name})
        elif path == "/grant":
            self.send(writer, self.grant(json.loads(body)))
        elif path == "/release":
            self.send(writer, 200, {"X-Handover": await self.release(json.loads(body))})
        else:
            await self.run(request, echo, headers, method, path, body, writer)
        await writer.drain()

    def grant(self, call_body):
        first, last, fence = call_body["from"], call_body["to"], call_body["fence"]
        if any(f <= last and first <= t and fence < seen for f, t, seen in self.seen):
            return 409
        self.seen.append((first, last, fence))
        hold_s = float(call_body["hold_time"].removesuffix("ms")) / 1000
        renewed = [it for it in self.live_holds() if it.first == first and it.last == last and it.fence == fence]
        if renewed:
            renewed[0].until = time.monotonic() + hold_s
        else:
            self.cut(first, last)
            it = Hold(first, last, fence, time.monotonic() + hold_s)
            it.begin = time.monotonic()
            self.holds.append(it)
            self.record.write(f"backend {self.life} is granted {first}-{last} fence {fence} for {hold_s} s")
        return 200

    def live_holds(self):
        for it in [x for x in self.holds if x.until <= time.monotonic()]:
            self.holds.remove(it)
            self.end_hold(it, it.until)
        return self.holds

    def end_hold(self, it, at=None):
        end = min(it.until, time.monotonic() if at is None else at)
        self.history.append((it.begin, end, it.first, it.last, it.fence))

    def cut(self, first, last):
        """Ends the holds on these keys; what is outside of them stays."""
        for it in list(self.live_holds()):
            if it.last < first or last < it.first:
                continue
            self.holds.remove(it)
            self.end_hold(it)
            for f, t in ((it.first, min(it.last, first - 1)), (max(it.first, last + 1), it.last)):
                if f <= t:
                    rest = Hold(f, t, it.fence, it.until)
                    rest.begin = time.monotonic()
                    self.holds.append(rest)

    async def release(self, call_body):
        first, last, fence = call_body["from"], call_body["to"], call_body["fence"]
        self.cut(first, last)
        self.record.write(f"backend {self.life} releases {first}-{last} fence {fence}")
        while any(first <= key <= last for key in self.running):
            await asyncio.sleep(0.005)
        return f"{random.getrandbits(64):016x}"

    def holds_key(self, key):
        return any(it.first <= key <= it.last for it in self.live_holds())

    async def run(self, request, echo, headers, method, path, body, writer):
        key = int(headers["x-shard-key"]) if "x-shard-key" in headers else None
        if self.service == SERVICE and (key is None or not self.holds_key(key)):
            self.send(writer, 421, {**echo, "X-Not-Executed": "1", "X-Instance-Id": self.name})
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.write(f"backend {self.life} runs {request} {method} {path} key {key} body {len(body)}")
        if key is not None:
            self.running.append(key)
        await asyncio.sleep(self.work_s)
        if key is not None:
            self.running.remove(key)
        size = self.answer_bytes(path) if callable(self.answer_bytes) else self.answer_bytes
        self.send(writer, 200, {**echo, "X-Response-Signature": "3e1b.07"}, b"x" * size)

    def all_holds(self):
        """(begin, end, first, last, fence) of all holds, those of now included."""
        self.live_holds()
        return self.history + [(it.begin, min(it.until, time.monotonic()), it.first, it.last, it.fence) for it in self.holds]


def double_holds(lives, shortest_s=0.5):
    """Overlaps of holds of different backends, both up, for over half a second (rule OWNER)."""
    found = []
    for n, a in enumerate(lives):
        for b in lives[n + 1:]:
            for a0, a1, af, at, ae in a.all_holds():
                for b0, b1, bf, bt, be in b.all_holds():
                    both = min(a1, b1) - max(a0, b0)
                    if both > shortest_s and max(af, bf) <= min(at, bt):
                        found.append((both, max(a0, b0), a, b, max(af, bf), min(at, bt), ae, be))
    return sorted(found, key=lambda it: -it[0])


class Consumer:
    """Sends requests, each with an id of its own, on a new connection, and records the answers."""

    def __init__(self, cluster):
        self.cluster, self.record = cluster, cluster.record
        self.number = 0
        self.answers = {}

    async def send(self, path, key=None, entry=0, body=b"", method=None, limit_ms=2500):
        self.number += 1
        request = f"req-{self.number:06d}"
        headers = {"X-Request-Id": request, "X-Deadline-Ms": str(limit_ms)}
        if key is not None:
            headers["X-Shard-Key"] = str(key)
        method = method or ("GET" if path.startswith("/lookup") else "POST")
        answer = await call(self.cluster.client_address(entry), method, path, body, headers, limit_ms / 1000 + 1)
        self.answers[request] = answer
        self.record.write(
            f"consumer {request} {method} {path} key {key} entry {entry + 1}: {answer.status or answer.problem}"
        )
        return answer


def main(case, folder, limit_s=110):
    """Runs a case and exits with its verdict: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the processes also when this one is ended

    async def run():
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(run())
    except BaseException as e:  # noqa: BLE001 - every failure to run is the verdict 2
        record.write(f"the case could not run: {type(e).__name__}: {e}")
        print(f"could not run: {type(e).__name__}: {e}")
        raise SystemExit(2) from None
    record.write("verdict: " + ("the rule was broken" if broken else "the rule held"))
    print("broken" if broken else "held")
    raise SystemExit(1 if broken else 0)
