"""Shared code of the measurements: processor use, the load generator, and Markdown tables."""

import contextlib
import json
import os
import subprocess
import tempfile
import time

import local_cluster

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Lowest second byte of the clusters' loopback addresses. The demonstration uses 0, so that both can run on one machine.
FIRST_NETWORK = 64
BINARY = os.path.join(local_cluster.ROOT, "build", "kingcupseam")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    # User and system time.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def machine_busy_seconds():
    with open("/proc/stat", encoding="ascii") as file:
        fields = [int(it) for it in file.readline().split()[1:]]
    # All but idle time, waiting for disks, and guest time, which user time includes.
    return (sum(fields[:8]) - fields[3] - fields[4]) / TICKS_PER_SECOND


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


def instance_processes(cluster):
    return {it.name: it.process for it in cluster.instances if it.process is not None}


def load_average():
    return os.getloadavg()[0]


@contextlib.contextmanager
def started_cluster(network_offset=0, **settings):
    """Starts a cluster, waits until every shard has an owner, and stops the cluster on exit from the context. Each
    measurement has its own network offsets, so that their clusters have different addresses."""
    with tempfile.TemporaryDirectory(prefix="kingcupseam-") as folder:
        cluster = local_cluster.Cluster(os.path.join(folder, "run"), BINARY, network=FIRST_NETWORK + network_offset,
                                        **settings)
        try:
            cluster.start_instances()
            cluster.submit_profile(os.path.join(local_cluster.ROOT, "profiles", cluster.firm + ".toml"))
            cluster.start_upstreams()
            cluster.wait_until_shards_owned(60)
            yield cluster
        finally:
            cluster.stop()


def start_load(cluster, *arguments, instances=None):
    addresses = ",".join(it.caller for it in instances or cluster.instances if it.process is not None)
    return subprocess.Popen([BINARY, "load", "--firm", cluster.firm, "--address", addresses, "--json",
                             *[str(it) for it in arguments]],
                            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


def finish_load(process, timeout):
    """Returns the report of the load generator. Ignores its exit code: the report lists the violations too."""
    out, _ = process.communicate(timeout=timeout)
    return json.loads(out)


def print_table(columns, rows):
    """Prints each row as soon as it is measured, so that an interrupted measurement keeps the finished rows."""
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns), flush=True)
    for it in rows:
        print("| " + " | ".join(str(cell) for cell in it) + " |", flush=True)
    print(flush=True)
