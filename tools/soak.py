"""Runs the system as separate processes on loopback under a seeded plan of faults and checks its promises from
outside. docs/soak.md describes the checks and the report."""

import argparse
import asyncio
import collections
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

import local_cluster
import soak_checks
import soak_plan
from soak_callers import Callers, Operator
from soak_faults import Injector
from soak_http import ERRORS, call
from soak_machines import Machine, peak_memory_mb
from soak_upstreams import Upstream

CI_SEED = 41
CI_SECONDS = 20
CI_WITHOUT = ("early_hup",)  # a signal in the dynamic loader ends the process, see KNOWN-RED.txt
CONTROLS = 3
ZONES = ("north", "east", "south")
PORTS = {"callers": 8161, "readiness": 8167, "control": 8166, "peer": 7720, "metrics": 7735}
EPHEMERAL_OFFSET = 32000  # moves all ports into the kernel's range of ephemeral ports
UPSTREAM_PORT = 8080
NETWORKS = range(96, 160)
GUARD_PORT = 20999  # a run listens here on the first address of its network, so that no other run takes it
CONTROL_NAMES = [f"control-{n + 1}" for n in range(CONTROLS)]
START_LIMIT_S = 30.0
RESTART_S = 0.3  # the provider restarts a process that has ended after a short delay
WATCH_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 0.5
RECOVERY_WINDOW_S = 2.0


class Soak:
    def __init__(self, options, faults, folder):
        self.options, self.faults, self.folder = options, faults, folder
        self.binary = options.binary
        self.begin = time.monotonic()
        self.checker = soak_checks.Checker(self.clock)
        self.counts = collections.Counter()
        self.ending = False
        self.callers, self.operator = Callers(self, options.seed), Operator(self, options.seed)
        self.machines = []
        self.lag = self.peak_mb = 0.0

    def clock(self):
        return time.monotonic() - self.begin

    def _take_network(self):
        for n in NETWORKS:
            self.guard = socket.socket()
            try:
                self.guard.bind((f"127.{n}.0.1", GUARD_PORT))
                self.guard.listen()
                return n
            except OSError:
                self.guard.close()
        raise RuntimeError("every network of the soak is in use")

    def _create(self):
        network = self._take_network()
        offset = EPHEMERAL_OFFSET if self.options.ephemeral else 0
        ports = {name: port + offset for name, port in PORTS.items()}
        self.control_addresses = [f"127.{network}.{n % 3 + 1}.{n // 3 + 1}:{ports['control']}"
                                  for n in range(CONTROLS)]
        self.machines = [Machine(self, name, role, ZONES[n % 3], f"127.{network}.{n % 3 + 1}.{base + n // 3}", ports)
                         for role, base, names in (("control", 1, CONTROL_NAMES),
                                                   ("entry", 10, entry_names(self.options)))
                         for n, name in enumerate(names)]
        self.upstreams = [Upstream(name, "ledger-desk" if n % 4 == 3 else "record-desk", n % 4 != 3, ZONES[n % 3],
                                   f"127.{network}.{n % 3 + 1}.{100 + n}:{UPSTREAM_PORT + offset}", self)
                          for n, name in enumerate(upstream_names(self.options))]

    def entries_in_rotation(self):
        entries = [it for it in self.machines if it.role == "entry"]
        return [it for it in entries if it.misses < 2] or entries

    async def _watch(self):
        """Sees processes end, and starts those again that ended by themselves."""
        while True:
            before = self.clock()
            for machine in self.machines:
                for process in machine.processes():
                    self._watch_process(machine, process)
                if machine.process is None and not machine.restarting and not self.ending:
                    machine.restarting = True
                    asyncio.create_task(self._start_again(machine))
            await asyncio.sleep(WATCH_INTERVAL_S)
            self.lag = max(self.lag, self.clock() - before - WATCH_INTERVAL_S)

    async def _start_again(self, machine):
        await asyncio.sleep(RESTART_S)
        machine.start()
        machine.restarting = False

    def _watch_process(self, machine, process):
        code, age = process.popen.poll(), process.term_age(self.clock())
        if code is not None:
            current = process is machine.process
            machine.forget(process)
            self.checker.process_ended(machine.name, code, process.killed, age, machine.end_detail(process))
            if current:
                machine.disturb(soak_checks.ACCEPT_LIMIT_S)
        elif age is not None and not process.killed and self.checker.still_running(machine.name, age):
            machine.send(process, signal.SIGKILL)
        else:
            self.checker.alive()

    async def _probe(self, machine):
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            process = machine.process
            if process is None:
                machine.misses += 1
                continue
            ready = machine.role == "control" or await self._answers(machine.readiness, "/readyz", (200,))
            machine.misses = 0 if ready else machine.misses + 1
            answered = await self._answers(machine.callers if machine.role == "entry" else machine.control,
                                           "/none/" if machine.role == "entry" else "/config")
            now = self.clock()
            disturbed = (process is not machine.process or now < machine.disturbed_until or process.term_at is not None
                         or now - process.started < soak_checks.ACCEPT_LIMIT_S)
            self.checker.accepts(machine.name, ready, answered, disturbed)
            peak = peak_memory_mb(process.popen.pid)
            if peak is not None and process.popen.poll() is None:
                self.checker.memory(machine.name, machine.role, peak)
                self.peak_mb = max(self.peak_mb, peak)

    async def _answers(self, address, path, statuses=None):
        try:
            status, _, _ = await call(address, "GET", path)
            return statuses is None or status in statuses
        except ERRORS:
            return False

    async def _serves(self, limit):
        """Waits until each kind of request is served; returns the time that it took, or None, and what was seen."""
        begin = self.clock()
        while True:
            await asyncio.sleep(0.25)
            shares = self.callers.shares(max(begin, self.clock() - RECOVERY_WINDOW_S))
            waiting = [it.name for it in self.machines if it.misses or it.process is None]
            detail = ", ".join(f"{it}: {share:.0%} of {n}" for it, (share, n) in shares.items())
            detail += "; not ready: " + (", ".join(waiting) or "none")
            if not waiting and all(n >= 5 and it >= soak_checks.RECOVERED_SHARE for it, n in shares.values()):
                return self.clock() - begin, detail
            if self.clock() - begin > limit:
                return None, detail

    async def run(self):
        self.loop = asyncio.get_running_loop()
        self._create()
        background = []
        try:
            for machine in random.Random(self.options.seed).sample(self.machines, len(self.machines)):
                machine.start()
            background = [asyncio.create_task(it) for it in (self._watch(), *map(self._probe, self.machines))]
            async with asyncio.timeout(START_LIMIT_S):
                await self.operator.order()
            for it in self.upstreams:
                await it.start()
            background += [asyncio.create_task(it) for it in (self.callers.run(), self.operator.order_regularly(),
                                                              self.operator.read_regularly())]
            seconds, detail = await self._serves(START_LIMIT_S)
            if seconds is None:
                return self.checker.fail("recovery", f"does not serve after the start: {detail}")
            print(f"{self.clock():8.3f} serves; the faults begin", flush=True)
            await Injector(self).play(self.faults)
            print(f"{self.clock():8.3f} the faults have ended", flush=True)
            self.checker.recovered(*await self._serves(soak_checks.RECOVERY_S))
            await self._read_back()
        finally:
            await self._end(background)

    async def _read_back(self):
        """The newest acknowledged configuration must be read back once the system has recovered."""
        end = self.clock() + soak_checks.RECOVERY_S
        required = self.checker.acknowledged[-1][1]
        while (await self.operator.read() or 0) < required:
            if self.clock() > end:
                return self.checker.fail("config", f"version {required} is not read back")
            await asyncio.sleep(0.1)

    async def _end(self, background):
        """Stops every process with SIGTERM while callers keep their connections, and kills what is left."""
        self.ending = True
        for machine in self.machines:
            for process in machine.processes():
                machine.send(process, signal.SIGCONT)
                machine.send(process, signal.SIGTERM)
        deadline = self.clock() + soak_checks.STOP_LIMIT_S + 2
        while any(it.processes() for it in self.machines) and self.clock() < deadline and background:
            await asyncio.sleep(WATCH_INTERVAL_S)
        for task in background:
            task.cancel()
        results = await asyncio.gather(*background, return_exceptions=True)
        self.end_now()
        for it in self.upstreams:
            await it.crash()
        errors = [it for it in results if isinstance(it, Exception)]
        if errors:
            raise errors[0]

    def end_now(self):
        for machine in self.machines:
            for process in machine.processes():
                if process.popen.poll() is None:
                    process.popen.kill()
                    process.popen.wait()

    def report(self):
        checker, outcomes = self.checker, self.callers.outcomes
        print("requests: " + ", ".join(f"{outcomes[it]} {it}" for it in ("answered", "refused", "failed", "abandoned")))
        print("faults: " + (", ".join(f"{it} {n}" for it, n in sorted(self.counts.items())) or "none"))
        print("checks: " + ", ".join(f"{it} {checker.made[it]}" for it in soak_checks.NAMES))
        if checker.excused:
            print("not counted, shortly after a pause: " + ", ".join(f"{it} {n}" for it, n in checker.excused.items()))
        print(f"largest peak memory {self.peak_mb:.0f} MB; the soak itself was late by {self.lag:.2f} s at most")
        unmade = [it for it in soak_checks.NAMES if not checker.made[it]]
        if unmade and not checker.failures:
            checker.fail(unmade[0], "this check was never made")
        for at, check, text in checker.failures:
            print(f"failed at {at}: {check}: {text}")
        print(f"seed {self.options.seed}, logs in {self.folder}")
        print(f"soak: {'failed, ' + str(len(checker.failures)) + ' times' if checker.failures else 'passed'}")
        return 1 if checker.failures else 0


def entry_names(options):
    return [f"entry-{n + 1}" for n in range(options.entries)]


def upstream_names(options):
    return [f"upstream-{n + 1}" for n in range(options.upstreams)]


def number_in(low, high):
    def parse(text):
        value = int(text)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{value} is not from {low} to {high}")
        return value
    return parse


def kinds(text):
    result = text.split(",")
    for it in result:
        if it not in soak_plan.KINDS:
            raise argparse.ArgumentTypeError(f"{it!r} is no kind of fault; the kinds are {', '.join(soak_plan.KINDS)}")
    return result


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/soak", description=__doc__)
    parser.add_argument("--seed", type=number_in(0, 2**32 - 1), help="draws the plan; random by default")
    parser.add_argument("--seconds", type=number_in(1, 3600), default=30, help="duration of the faults")
    parser.add_argument("--entries", type=number_in(3, 100), default=11)
    parser.add_argument("--upstreams", type=number_in(4, 100), default=12)
    parser.add_argument("--without", type=kinds, default=[], metavar="KIND,...", help="kinds of faults to leave out")
    parser.add_argument("--only", type=kinds, default=list(soak_plan.KINDS), metavar="KIND,...")
    parser.add_argument("--plan", help="replays the faults of this file")
    parser.add_argument("--save-plan", help="writes the plan to this file, and starts nothing")
    parser.add_argument("--binary", default=os.path.join(local_cluster.ROOT, "build", "kingcupseam"))
    parser.add_argument("--folder", help="folder of settings and logs; a new one under /tmp by default")
    parser.add_argument("--ci", action="store_true", help="tests the checks, then a short run with a fixed seed")
    options = parser.parse_args()
    if options.ci:
        options.seed, options.seconds, options.without = CI_SEED, CI_SECONDS, [*options.without, *CI_WITHOUT]
    elif options.seed is None:
        options.seed = random.SystemRandom().randrange(2**32)
    return parser, options


def plan_faults(parser, options):
    if options.plan:
        try:
            run = soak_plan.load(options.plan)
        except (OSError, ValueError) as error:
            parser.error(f"--plan {options.plan}: {error}")
        for name in soak_plan.OPTIONS:
            setattr(options, name, run[name])
    # Another process's outgoing connection may take a listening port that lies in the range of ephemeral ports.
    options.ephemeral = options.seed % 4 == 3
    if options.plan:
        return run["faults"]
    chosen = [it for it in options.only if it not in options.without]
    if not chosen:
        parser.error("--only and --without leave no kind of fault")
    return soak_plan.draw(options.seed, options.seconds, entry_names(options), CONTROL_NAMES,
                          upstream_names(options), chosen)


def test_checks():
    suite = unittest.defaultTestLoader.discover(os.path.dirname(os.path.abspath(__file__)), "test_soak.py")
    return unittest.TextTestRunner().run(suite).wasSuccessful()


async def run_until_signal(soak):
    task = asyncio.create_task(soak.run())
    for it in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(it, task.cancel)
    await task


def main():
    parser, options = parse_arguments()
    faults = plan_faults(parser, options)
    if options.save_plan:
        soak_plan.save(options.save_plan, options, faults)
        return 0
    if options.ci and not test_checks():
        return 1
    if options.binary == parser.get_default("binary"):
        subprocess.run([os.path.join(local_cluster.ROOT, "tools", "build"), "release", "kingcupseam"], check=True,
                       stdout=subprocess.DEVNULL)
    if not os.access(options.binary, os.X_OK):
        parser.error(f"--binary {options.binary}: is no program")
    folder = options.folder or tempfile.mkdtemp(prefix="kingcupseam-soak-")
    os.makedirs(folder, exist_ok=True)
    soak_plan.save(os.path.join(folder, "plan.json"), options, faults)
    print(f"seed {options.seed}, {len(faults)} faults in {options.seconds} s, logs in {folder}")
    if options.without:
        print("kinds of faults left out: " + ", ".join(options.without))
    for it in faults:
        print("  " + " ".join(f"{name}={value}" for name, value in it.items()))
    soak = Soak(options, faults, folder)
    try:
        asyncio.run(run_until_signal(soak))
    except asyncio.CancelledError:
        print("interrupted; every process has been ended")
        return 130
    finally:
        soak.end_now()
    return soak.report()


if __name__ == "__main__":
    sys.exit(main())
