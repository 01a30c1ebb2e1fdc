"""What the measurements share: processor use, the load generator, and Markdown tables."""

import contextlib
import json
import os
import subprocess
import tempfile
import time

import cluster

TICK = os.sysconf("SC_CLK_TCK")
# Second byte of the loopback addresses, so that a demonstration on the same machine does not share ports with a
# measurement.
NETWORK = 64
BINARY = os.path.join(cluster.ROOT, "build", "kingcupseam")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def machine_busy_seconds():
    with open("/proc/stat", encoding="ascii") as file:
        fields = [int(it) for it in file.readline().split()[1:]]
    return (sum(fields[:8]) - fields[3] - fields[4]) / TICK


class ProcessorUse:
    """Mean number of cores in use between start and stop: per process, and on the whole machine."""

    def __init__(self, processes):
        self.pids = {name: it.pid for name, it in processes.items()}
        self.before = {name: processor_seconds(pid) for name, pid in self.pids.items()}
        self.machine_before = machine_busy_seconds()
        self.started = time.monotonic()

    def stop(self):
        seconds = time.monotonic() - self.started
        self.cores = {name: (processor_seconds(pid) - self.before[name]) / seconds for name, pid in self.pids.items()}
        self.machine = (machine_busy_seconds() - self.machine_before) / seconds
        return self


def instance_processes(running):
    return {it.name: it.process for it in running.instances if it.process is not None}


def load_average():
    return os.getloadavg()[0]


@contextlib.contextmanager
def started_cluster(network=0, **settings):
    """A cluster with its firm's profile in force and every shard owned; ended on the way out."""
    with tempfile.TemporaryDirectory(prefix="kingcupseam-") as folder:
        running = cluster.Cluster(os.path.join(folder, "run"), BINARY, network=NETWORK + network, **settings)
        try:
            running.start_instances()
            running.accept_profile(os.path.join(cluster.ROOT, "profiles", running.firm + ".toml"))
            running.start_upstreams()
            running.wait_until_owned(60)
            yield running
        finally:
            running.stop()


def start_load(running, *words, instances=None):
    addresses = ",".join(it.caller for it in instances or running.instances if it.process is not None)
    return subprocess.Popen([BINARY, "load", "--firm", running.firm, "--address", addresses, "--json",
                             *[str(it) for it in words]],
                            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def finish_load(process, limit):
    """Returns the report of the load generator; its exit code tells violations, which the report has too."""
    out, _ = process.communicate(timeout=limit)
    return json.loads(out)


def print_table(columns, rows):
    """Prints each row as soon as it is there, so that an interrupted measurement keeps what it has."""
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns), flush=True)
    for it in rows:
        print("| " + " | ".join(str(cell) for cell in it) + " |", flush=True)
    print(flush=True)
