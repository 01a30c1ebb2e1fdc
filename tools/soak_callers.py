"""Callers and operators of the soak."""

import asyncio
import collections
import contextlib
import itertools
import json
import random

from soak_checks import KEYS, REFUSALS
from soak_http import ERRORS, abort, call, connect, read_message, write_message

HOST = "desk.example"
# Path prefix, method, whether it may run once at most, whether it bears a key, deadline in milliseconds.
KINDS = (("/lookup/", "GET", False, True, 1200), ("/signoff/", "POST", True, True, 1500),
         ("/invoice/", "PUT", True, False, 800))
CALLERS = 36
PAUSE_S = (0.02, 0.25)
PIPELINED = 3
ANSWER_SLACK_S = 1.5
HOT_KEYS = 40
COLUMNS = ["name", "host", "path_prefix", "route_type", "timeout", "target_latency", "priority", "traffic_split",
           "attempts", "service"]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
          "idle_timeout": "15000ms"}


def configuration(version, service="record-desk"):
    timeout = f"{1500 + version % 7 * 100}ms"
    routes = [["lookup", HOST, "/lookup/", "safe", timeout, "500ms", 1, None, 2, service],
              ["signoff", HOST, "/signoff/", "unsafe", timeout, "1000ms", 2, None, 2, service],
              ["invoice", HOST, "/invoice/", "unsafe", timeout, "250ms", 0, None, 2, "ledger-desk"]]
    services = [["record-desk", "/healthz", 130, "h1", False, True, "2s", "request"],
                ["ledger-desk", "/healthz", 130, "h1", False, None, None, None]]
    return {"version": f"{version:08x}", "routes": {"columns": COLUMNS, "rows": routes},
            "services": {"columns": ["name", "health_path", "max_connections", "protocol", "tls", "sharded", "warm",
                                     "grants"], "rows": services}, "limits": LIMITS}


class Callers:
    """Each caller keeps its connection until the other side closes it, then takes one to another entry."""

    def __init__(self, soak, seed):
        self.soak, self.rng = soak, random.Random(seed)
        self.ids = itertools.count(1)
        self.reset_share = self.abandon_share = 0.0
        self.outcomes = collections.Counter()
        self.recent = collections.deque()  # time, kind, whether answered
        self.hot = self.rng.randrange(KEYS - HOT_KEYS)

    async def run(self):
        await asyncio.gather(*(self._run_one(n) for n in range(CALLERS)))

    async def _run_one(self, number):
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            entries = self.soak.entries_in_rotation()
            with contextlib.suppress(*ERRORS):
                async with asyncio.timeout(1):
                    reader, writer = await connect(self.rng.choice(entries).callers)
                await self._keep(reader, writer, number)
            with contextlib.suppress(UnboundLocalError):
                abort(writer)

    async def _keep(self, reader, writer, number):
        while not reader.at_eof():
            kind = self.rng.choices(KINDS, (4.5, 2.2, 1.4))[0]
            count = PIPELINED if kind[1] == "GET" and number % 4 == 0 else 1
            if not await self._exchange(reader, writer, kind, count):
                return
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))

    def _send(self, writer, kind):
        prefix, method, once, keyed, deadline = kind
        request = f"r{next(self.ids):08x}"
        self.soak.checker.sent(request, once)
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": deadline}
        if keyed:
            hot = self.rng.random() < 0.4
            headers["X-Shard-Key"] = self.hot + self.rng.randrange(HOT_KEYS) if hot else self.rng.randrange(KEYS)
        body = b"" if method == "GET" else b"b" * self.rng.randrange(2000)
        write_message(writer, f"{method} {prefix}{request} HTTP/1.1", headers, body)
        return request

    async def _exchange(self, reader, writer, kind, count):
        """Returns False if the connection must not be used again."""
        requests = [self._send(writer, kind) for _ in range(count)]
        if self.rng.random() < self.reset_share + self.abandon_share:
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            self.outcomes["abandoned"] += count
            if self.rng.random() * (self.reset_share + self.abandon_share) > self.reset_share:
                writer.close()
            return False
        for n, request in enumerate(requests):
            try:
                async with asyncio.timeout(kind[4] / 1000 + ANSWER_SLACK_S):
                    first, headers, body = await read_message(reader)
            except ERRORS:
                for _ in requests[n:]:
                    self._count("failed", kind)
                raise
            status = int(first[1])
            self.soak.checker.answered(request, status, headers, body)
            self._count("answered" if status < 300 else "refused" if status in REFUSALS else "failed", kind)
            if headers.get("connection", "").lower() == "close":
                return False
        return True

    def _count(self, outcome, kind):
        self.outcomes[outcome] += 1
        self.recent.append((self.soak.clock(), kind[0], outcome == "answered"))
        while self.recent and self.recent[0][0] < self.soak.clock() - 60:
            self.recent.popleft()

    def shares(self, since):
        """For each kind of request, the share that was answered since then, and their number."""
        result = {}
        for kind in KINDS:
            seen = [ok for at, prefix, ok in self.recent if at >= since and prefix == kind[0]]
            result[kind[0]] = (sum(seen) / len(seen) if seen else 0.0, len(seen))
        return result


class Operator:
    def __init__(self, soak, seed):
        self.soak, self.rng, self.version = soak, random.Random(seed), 0

    async def order(self):
        """Sends a new configuration to one control instance after another until one acknowledges it."""
        self.version += self.rng.randint(1, 7)
        version, content = self.version, configuration(self.version)
        self.soak.checker.configurations[version] = content
        while True:
            with contextlib.suppress(*ERRORS):
                status = await self._put(content)
                if status == 200:
                    return self.soak.checker.acknowledged_configuration(version)
                if 400 <= status < 500 and status not in (408, 429):
                    return self.soak.checker.fail("config", f"valid version {version} was refused with {status}")
            await asyncio.sleep(0.1)

    async def order_invalid(self):
        self.version += 1
        with contextlib.suppress(*ERRORS):
            if await self._put(configuration(self.version, "unknown-desk")) == 200:
                self.soak.checker.fail("config", f"invalid version {self.version} was acknowledged")

    async def _put(self, content):
        address = self.rng.choice(self.soak.control_addresses)
        status, _, _ = await call(address, "PUT", "/config", json.dumps(content).encode())
        return status

    async def read(self):
        """Returns the version that one control instance answers with, or None."""
        address, sent = self.rng.choice(self.soak.control_addresses), self.soak.clock()
        with contextlib.suppress(*ERRORS):
            status, _, body = await call(address, "GET", "/config")
            if status == 200:
                content = json.loads(body)
                version = int(content["version"], 16)
                self.soak.checker.read_configuration(address, version, content, sent)
                return version
        return None

    async def read_regularly(self):
        while True:
            await self.read()
            await asyncio.sleep(0.3)

    async def order_regularly(self):
        while True:
            await asyncio.sleep(self.rng.uniform(2, 5))
            await self.order()
