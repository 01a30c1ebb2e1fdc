"""The machines of the soak: one process of the system each, with its address, settings, limits and output."""

import contextlib
import fcntl
import json
import os
import re
import resource
import signal
import subprocess

import local_cluster
from soak_checks import MEMORY_LIMIT_MB

DESCRIPTORS = {"entry": 4100, "control": 4096}
SMALL_PIPE_BYTES = 4096
F_SETPIPE_SZ = 1031
TEMPLATE = os.path.join(local_cluster.ROOT, "deploy", "settings.toml.template")


def lookup(facts, path):
    for name in path.split("."):
        if isinstance(facts, list):
            facts = facts[int(name)]
        else:
            facts = facts.get(name) if isinstance(facts, dict) else None
    return facts


def render(template, facts):
    """Fills in a template as the provider does, as far as the settings use it: sections of optional values, values,
    and values as JSON."""
    template = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}",
                      lambda it: it[2] if lookup(facts, it[1]) is not None else "", template, flags=re.DOTALL)

    def fill(match):
        value = lookup(facts, match[1])
        return json.dumps(value) if match[2] or isinstance(value, (bool, dict)) else str(value)

    return re.sub(r"{{([\w.]+)(\|json)?}}", fill, template)


class Process:
    """One process of a machine, and what the soak did to it."""

    def __init__(self, popen, reader, started):
        self.popen, self.reader, self.started = popen, reader, started
        self.killed = False
        self.term_at = self.paused_at = None
        self.paused = 0.0
        self.mark = b""

    def term_age(self, now):
        """Time since SIGTERM without the time for which the process was stopped."""
        if self.term_at is None:
            return None
        pause = now - self.paused_at if self.paused_at is not None else 0.0
        return now - self.term_at - pause - self.paused


class Machine:
    def __init__(self, soak, name, role, zone, ip, ports):
        self.soak, self.name, self.role, self.zone, self.ip, self.ports = soak, name, role, zone, ip, ports
        self.callers = f"{ip}:{ports['callers']}"
        self.readiness = f"{ip}:{ports['readiness']}"
        self.control = f"{ip}:{ports['control']}"
        self.settings_path = os.path.join(soak.folder, name + ".toml")
        self.log_path = os.path.join(soak.folder, name + ".log")
        self.data_folder = os.path.join(soak.folder, name + "-data") if role == "control" else None
        self.process = None
        self.former = []  # predecessors that have not ended yet
        self.bootstrap = True
        self.restarting = False
        self.misses = 0
        self.disturbed_until = 0.0

    def settings(self):
        listen = {"client_addr": self.callers, "readiness": self.readiness}
        facts = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                 "internal_ports": [self.ports["peer"], self.ports["metrics"]],
                 "listen": listen if self.role == "entry" else {"admin": self.control},
                 "data_dir": self.data_folder, "seeds": self.soak.control_addresses, "bootstrap": self.bootstrap,
                 "fault_tolerance": {"nodes": 1}, "heartbeat": "870ms",
                 "limits": {"memory_mb": MEMORY_LIMIT_MB[self.role], "max_fds": DESCRIPTORS[self.role]},
                 "bounds": {"max_hold": "10000ms", "drain_period": "2000ms", "grace_period": "6s",
                            "retry_budget_ratio": 0.2, "budget_slack": 60, "budget_window": "10s"}}
        with open(TEMPLATE, encoding="utf-8") as file:
            return render(file.read(), facts)

    def replace_settings(self, text):
        """Replaces the file in one step, so that no reader sees a part of it."""
        with open(self.settings_path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.settings_path + ".new", self.settings_path)

    def all_ports(self):
        return [self.ports[it] for it in (("callers", "readiness", "peer", "metrics") if self.role == "entry"
                                          else ("control", "peer", "metrics"))]

    def start(self, full_output=False):
        """Starts the process beside a predecessor, if there is one."""
        if self.soak.ending:
            return
        if self.process is not None:
            self.former.append(self.process)
        if self.data_folder:
            os.makedirs(self.data_folder, exist_ok=True)
        self.replace_settings(self.settings())
        self.bootstrap = False
        reader, writer = os.pipe()
        if full_output:
            os.set_blocking(writer, False)
            try:
                while True:
                    os.write(writer, b"\n" * SMALL_PIPE_BYTES)
            except BlockingIOError:
                os.set_blocking(writer, True)
        limit = DESCRIPTORS[self.role]
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        with open(self.log_path + ".err", "ab") as errors:
            popen = subprocess.Popen([self.soak.binary, self.role], stdin=subprocess.DEVNULL, stdout=writer,
                                     stderr=errors, cwd=local_cluster.ROOT,
                                     env={**environment, "KINGCUPSEAM_BOOT": self.settings_path},
                                     preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)))
        os.close(writer)
        os.set_blocking(reader, False)
        self.process = Process(popen, reader, self.soak.clock())
        if not full_output:
            self.read_output(self.process)

    def read_output(self, process):
        if process.reader is not None:
            self.soak.loop.add_reader(process.reader, self._copy_output, process)

    def _copy_output(self, process):
        try:
            data = os.read(process.reader, 1 << 16)
        except BlockingIOError:
            return
        if not data:
            return self.close_output(process)
        for line in data.splitlines():
            if b"process ended" in line:
                process.mark = line
        with open(self.log_path, "ab") as log:
            log.write(data)

    def leave_output_unread(self, process):
        if process.reader is not None:
            self.soak.loop.remove_reader(process.reader)
            with contextlib.suppress(OSError):  # more than that is waiting in the pipe
                fcntl.fcntl(process.reader, F_SETPIPE_SZ, SMALL_PIPE_BYTES)

    def close_output(self, process):
        if process.reader is not None:
            self.soak.loop.remove_reader(process.reader)
            os.close(process.reader)
            process.reader = None

    def send(self, process, number):
        """Sends a signal to a process of this machine, unless it has ended."""
        if process is None or process.popen.poll() is not None:
            return
        now = self.soak.clock()
        if number == signal.SIGKILL:
            process.killed = True
        elif number == signal.SIGTERM and process.term_at is None:
            process.term_at, process.paused = now, 0.0
            process.paused_at = now if process.paused_at is not None else None
        elif number == signal.SIGSTOP and process.paused_at is None:
            process.paused_at = now
        elif number == signal.SIGCONT and process.paused_at is not None:
            process.paused += now - process.paused_at
            process.paused_at = None
            if self.role == "control":
                self.soak.checker.thaws.append(now)
        process.popen.send_signal(number)

    def processes(self):
        return [*self.former, *([self.process] if self.process else [])]

    def forget(self, process):
        """Takes an ended process off the machine, with the rest of its output."""
        while process.reader is not None:
            before = os.path.getsize(self.log_path) if os.path.exists(self.log_path) else 0
            self._copy_output(process)
            if process.reader is not None and before == os.path.getsize(self.log_path):
                self.close_output(process)
        if process is self.process:
            self.process = None
        else:
            self.former.remove(process)

    def disturb(self, seconds):
        """Excuses the machine from accepting connections for as long as a fault and its consequences last."""
        self.disturbed_until = max(self.disturbed_until, self.soak.clock() + seconds)

    def end_detail(self, process):
        """The log's line on the end of the process, or what it wrote last to standard error."""
        if process.mark:
            return process.mark.decode(errors="replace")[:300]
        with open(self.log_path + ".err", "rb") as file:
            return "no line `process ended`; standard error: " + file.read()[-200:].decode(errors="replace").strip()


def peak_memory_mb(pid):
    """Peak resident memory of a running process, or None."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM:")), None)
    except OSError:
        return None
