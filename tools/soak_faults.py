"""Injects the faults of a plan into the machines, the callers, the operator and the upstreams of a soak."""

import asyncio
import contextlib
import resource
import signal
import socket

from soak_http import ERRORS, source_of

LOADED_S = 0.1  # age from which a process handles signals; only the kind early_hup sends SIGHUP before
CONSEQUENCE_S = 3.0  # time in which a machine must accept connections again after a fault


class Injector:
    def __init__(self, soak):
        self.soak = soak
        self.tasks = set()

    async def play(self, plan):
        """Starts each fault at its time and returns when all have ended."""
        begin = self.soak.clock()
        for fault in plan:
            await asyncio.sleep(max(0.0, begin + fault["at"] - self.soak.clock()))
            self.soak.counts[fault["kind"]] += 1
            machines = [it for it in self.soak.machines if it.name in fault["on"]] if "on" in fault else [None]
            inject = getattr(self, "_" + fault["kind"])
            self.tasks |= {asyncio.create_task(inject(fault, it)) for it in machines}
        await asyncio.gather(*self.tasks)

    async def _restart(self, machine, number, seconds=0.0, **options):
        """Ends the process of the machine and starts the next one `seconds` after it has ended."""
        process = machine.process
        machine.restarting = True
        machine.send(process, signal.SIGCONT)
        machine.send(process, number)
        while process in machine.processes():
            await asyncio.sleep(0.01)
        await asyncio.sleep(seconds)
        machine.start(**options)
        machine.restarting = False

    def _reload(self, machine):
        process = machine.process
        if process is not None and self.soak.clock() - process.started > LOADED_S:
            machine.send(process, signal.SIGHUP)

    async def _hup(self, fault, machine):
        for _ in range(fault["count"]):
            self._reload(machine)
            await asyncio.sleep(fault["gap"])

    async def _early_hup(self, fault, machine):
        await self._restart(machine, signal.SIGKILL)
        for _ in range(fault["count"]):
            machine.send(machine.process, signal.SIGHUP)
            await asyncio.sleep(fault["gap"])

    async def _term(self, fault, machine):
        await self._restart(machine, signal.SIGTERM, fault["seconds"])

    async def _kill(self, fault, machine):
        await self._restart(machine, signal.SIGKILL, fault["seconds"])

    async def _control_loss(self, fault, machine):
        await self._restart(machine, signal.SIGKILL, fault["seconds"])

    async def _beside(self, fault, machine):
        machine.send(machine.process, signal.SIGTERM)
        machine.start()

    async def _pause(self, fault, machine):
        process = machine.process
        machine.disturb(fault["seconds"] + CONSEQUENCE_S)
        machine.send(process, signal.SIGSTOP)
        await asyncio.sleep(fault["seconds"])
        machine.send(process, signal.SIGCONT)

    async def _settings(self, fault, machine):
        process, text = machine.process, machine.settings()
        if process is not None and self.soak.clock() - process.started > 1:
            if fault["how"] == "replaced":
                machine.replace_settings(text)
            else:
                with open(machine.settings_path, "w", encoding="utf-8") as file:
                    file.write(text[:len(text) // 2] if fault["how"] == "half" else "name = [\x00")
            self._reload(machine)
            await asyncio.sleep(fault["seconds"])
            machine.replace_settings(text)
            self._reload(machine)

    async def _port(self, fault, machine):
        """Another socket listens at one of the ports while the machine starts again."""
        ports = machine.all_ports()
        machine.disturb(fault["seconds"] + 2 * CONSEQUENCE_S)
        process = machine.process
        machine.restarting = True
        machine.send(process, signal.SIGKILL)
        while process in machine.processes():
            await asyncio.sleep(0.01)
        with socket.socket() as taken:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((machine.ip, ports[fault["which"] % len(ports)]))
            taken.listen()
            machine.start()
            machine.restarting = False
            await asyncio.sleep(fault["seconds"])

    async def _output(self, fault, machine):
        machine.disturb(fault["seconds"] + CONSEQUENCE_S)
        if fault["how"] == "full":
            await self._restart(machine, signal.SIGKILL, full_output=True)
        process = machine.process
        if process is None:
            return
        if fault["how"] == "closed":
            machine.close_output(process)
        else:
            machine.leave_output_unread(process)
        end = self.soak.clock() + fault["seconds"]
        while self.soak.clock() < end:
            self._reload(machine)
            await asyncio.sleep(0.01)
        # The process must stop even though nobody reads what it writes.
        if process is machine.process:
            await self._restart(machine, signal.SIGTERM)

    async def _descriptors(self, fault, machine):
        address = machine.callers if machine.role == "entry" else machine.control
        host, port = address.rsplit(":", 1)
        machine.disturb(fault["seconds"] + 2 * CONSEQUENCE_S)
        connections = []
        try:
            for n in range(fault["connections"]):
                connections.append(socket.socket())
                connections[-1].bind((source_of(host), 0))
                connections[-1].setblocking(False)
                with contextlib.suppress(OSError):
                    connections[-1].connect((host, int(port)))
                if n % 50 == 0:
                    await asyncio.sleep(0.002)
            await asyncio.sleep(fault["seconds"])
        finally:
            for it in connections:
                it.close()
        machine.disturb(CONSEQUENCE_S)

    async def _file_size(self, fault, machine):
        pid = machine.process.popen.pid if machine.process else None
        unlimited = resource.RLIM_INFINITY
        with contextlib.suppress(OSError, TypeError):  # the process may have ended
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (fault["limit"], unlimited))
            await asyncio.sleep(fault["seconds"])
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (unlimited, unlimited))

    async def _reset(self, fault, _):
        self.soak.callers.reset_share = fault["share"]
        await asyncio.sleep(fault["seconds"])
        self.soak.callers.reset_share = 0.0

    async def _abandon(self, fault, _):
        self.soak.callers.abandon_share = fault["share"]
        await asyncio.sleep(fault["seconds"])
        self.soak.callers.abandon_share = 0.0

    async def _configs(self, fault, _):
        orders = []
        for _ in range(fault["count"]):
            orders.append(asyncio.create_task(self.soak.operator.order()))
            await asyncio.sleep(fault["gap"])
        if fault["invalid"]:
            await self.soak.operator.order_invalid()
        with contextlib.suppress(*ERRORS):
            await asyncio.wait_for(asyncio.gather(*orders), 60)

    async def _upstream(self, fault, _):
        await asyncio.gather(*(self._disturb_upstream(fault, it) for it in self.soak.upstreams
                               if it.name in fault["upstreams"] and not it.busy))

    async def _disturb_upstream(self, fault, upstream):
        upstream.busy = True
        if fault["how"] == "freeze":
            await upstream.freeze(fault["seconds"])
        else:
            await (upstream.leave() if fault["how"] == "leave" else upstream.crash())
            await asyncio.sleep(fault["seconds"])
            await upstream.start(fault["how"] == "crash" and fault["same_id"])
        upstream.busy = False
