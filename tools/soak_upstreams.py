"""Stand-in upstreams of the soak: they report themselves, take grants and releases, and record what they run."""

import asyncio
import contextlib
import itertools
import json
import random
import time

from soak_checks import Holds
from soak_http import ERRORS, abort, call, read_message, write_message

REPORT_INTERVAL_S = 0.87
SLOTS = 6
QUEUE = 24
WORK_S = (0.01, 0.12)
ERROR_SHARE = 0.01  # requests that run and are answered with 500
DRAIN_S = 2.0
SLOW_CLOCK = 1.02  # an upstream's clock may run 2% slow


def milliseconds(text):
    return float(text[:-2]) if text.endswith("ms") else float(text[:-1]) * 1000


class Upstream:
    """One address of a service. Each start is an incarnation with an id of its own."""

    incarnations = itertools.count(1)

    def __init__(self, name, service, keyed, zone, address, soak):
        self.name, self.service, self.keyed, self.zone, self.address = name, service, keyed, zone, address
        self.soak = soak
        self.rng = random.Random(name)
        self.hold_factor = SLOW_CLOCK if self.rng.random() < 0.5 else 1.0
        self.unfrozen = asyncio.Event()
        self.server = None
        self.busy = False  # a fault of the plan has it

    async def start(self, same_id=False):
        if not same_id:
            self.id = f"{self.name}-{next(self.incarnations)}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.waiting = self.active = self.sequence = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.holds = Holds()
        self.tasks = set()
        self.unfrozen.set()
        if self.keyed:
            self.soak.checker.holds[self.id] = self.holds
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.reports = asyncio.create_task(self._report())

    async def crash(self):
        """Ends without telling anyone; connections are reset and work ends."""
        if self.server is None:
            return
        server, self.server = self.server, None
        self.soak.checker.holds.pop(self.id, None)
        server.close()
        self.reports.cancel()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(self.reports, *self.tasks, return_exceptions=True)

    async def leave(self):
        """Reports that it is draining, serves on, and says that it has gone."""
        self.state = "draining"
        await asyncio.sleep(REPORT_INTERVAL_S + DRAIN_S + 0.3)
        await self._send("DELETE", b"")
        await asyncio.sleep(0.2)
        await self.crash()

    async def freeze(self, seconds):
        self.unfrozen.clear()
        await asyncio.sleep(seconds)
        self.unfrozen.set()

    async def _send(self, method, body):
        for address in self.rng.sample(self.soak.control_addresses, len(self.soak.control_addresses)):
            with contextlib.suppress(*ERRORS):
                path = "/instances/" + self.id
                for _ in range(3):
                    status, headers, _ = await call(address, method, path, body)
                    if status != 307:
                        break
                    address, _, rest = headers["location"].removeprefix("http://").partition("/")
                    path = "/" + rest
                if status < 300:
                    return True
        return False

    async def _report(self):
        while True:
            await self.unfrozen.wait()
            self.sequence += 1
            report = {"address": self.address, "born": self.born,
                      "info": {"service": self.service, "version": "v1", "zone": self.zone, "capacity": SLOTS},
                      "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"}}
            await self._send("PUT", json.dumps(report).encode())
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                (method, path, _), headers, body = await read_message(reader)
                arrived = self.soak.clock()
                await self.unfrozen.wait()
                status, answer_headers, answer = await self._handle(method, path, headers, body, arrived)
                await self.unfrozen.wait()
                write_message(writer, f"HTTP/1.1 {status} Status", answer_headers, answer)
                await writer.drain()
        except (*ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            abort(writer)

    async def _handle(self, method, path, headers, body, arrived):
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {"X-Request-Id": headers.get("x-request-id", ""), "X-Not-Executed": "1"}, b""
        if path == "/grant":
            return self._grant(json.loads(body), arrived)
        if path == "/release":
            return await self._release(json.loads(body))
        if path == "/healthz":
            return (200 if self.state == "ready" else 503), {"X-Instance-Id": self.id, **self._load()}, b""
        return await self._run(method, headers, arrived)

    def _load(self):
        return {"X-Backend-Load": f"{self.active},{self.waiting},{SLOTS}"}

    def _grant(self, grant, arrived):
        until = arrived + milliseconds(grant["hold_time"]) / 1000 * self.hold_factor
        taken = self.holds.grant(grant["from"], grant["to"], grant["fence"], until, self.soak.clock())
        return (200 if taken else 409), {}, b""

    async def _release(self, grant):
        self.holds.release(grant["from"], grant["to"], grant["fence"], self.soak.clock())
        running = self.soak.checker.running
        while any(running[key][self.id] for key in list(running) if grant["from"] <= key <= grant["to"]):
            await asyncio.sleep(0.005)
        return 200, {"X-Handover": f"{self.rng.getrandbits(64):016x}"}, b""

    async def _run(self, method, headers, arrived):
        request = headers.get("x-request-id")
        answer = {"X-Request-Id": request, **self._load()}
        not_run = {**answer, "X-Not-Executed": "1"}
        if request is None:
            return 400, {"X-Not-Executed": "1"}, b""
        if self.waiting >= QUEUE:
            return 503, not_run, b""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            key = int(headers["x-shard-key"]) if self.keyed else None
            if key is not None and self.holds.until[key] <= self.soak.clock():
                return 421, not_run, b""
            if self.soak.clock() - arrived > float(headers.get("x-deadline-ms", 1000)) / 1000:
                return 503, not_run, b""
            return await self._work(request, key, answer)
        finally:
            self.slots.release()

    async def _work(self, request, key, answer):
        checker, status = self.soak.checker, None
        checker.run_started(request, self.id, key)
        self.active += 1
        try:
            await asyncio.sleep(self.rng.uniform(*WORK_S))
            await self.unfrozen.wait()
            lapsed = key is not None and self.holds.lease[key] <= self.soak.clock()
            status = 500 if lapsed or self.rng.random() < ERROR_SHARE else 200
        finally:
            self.active -= 1
            checker.run_ended(request, status, self.id, key)
        body = f"{request}:{self.id}:".encode() + b"x" * self.rng.randrange(600)
        return status, {**answer, "X-Response-Signature": f"signed-{request}-{len(body)}"}, body
