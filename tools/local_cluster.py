"""Starts and stops a set of instances and stand-in upstreams on loopback, for the demo and the measurements."""

import json
import os
import shutil
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TOKEN = "local-operator-token"
# Offsets from the base port: 0 control frames of peers, 1 forwarded requests and ledger frames of peers, 2 callers,
# 3 upstreams, 4 operators.
PORTS_PER_INSTANCE = 10

# Services of each firm: name, number of upstreams, slots and connections of each upstream.
FIRMS = {
    "navalsig": {"services": (("registry", 30, 2, 120), ("repack", 6, 2, 120))},
    "cairnmark": {"services": (("records", 30, 6, 130), ("ledger", 6, 6, 130))},
}


class Instance:
    """Addresses and process of one instance. A durable instance has a data folder, is a seed and is an initial voter of
    the global group."""

    def __init__(self, name, data_center, ip, base_port, durable):
        self.name = name
        self.data_center = data_center
        self.ip = ip
        self.base_port = base_port
        self.durable = durable
        self.process = None

    def address(self, offset):
        return f"{self.ip}:{self.base_port + offset}"

    @property
    def peer(self):
        return self.address(0)

    @property
    def caller(self):
        return self.address(2)

    @property
    def upstream(self):
        return self.address(3)

    @property
    def operator(self):
        return self.address(4)


class Cluster:
    """Instances of three data centres and the upstreams of one firm, on addresses 127.NETWORK.N.1 with N = 1 to 3 for
    the data centres. The first instance of each data centre is durable. The upstreams start with start_upstreams()."""

    def __init__(self, run_folder, binary, firm="navalsig", per_data_center=(4, 3, 3), services=None,
                 routing="gate", service_time_ms=10, base_port=21000, upstream_port=31000, stand_in_options=(),
                 network=0):
        self.run_folder = run_folder
        self.binary = binary
        self.firm = firm
        self.upstream_port = upstream_port
        self.routing = routing
        self.service_time_ms = service_time_ms
        self.services = services or FIRMS[firm]["services"]
        self.stand_in_options = list(stand_in_options)
        self.records_folder = os.path.join(run_folder, "records")
        self.upstreams = {}
        self.instances = []
        for n, count in enumerate(per_data_center):
            for i in range(count):
                name = f"{'abc'[n]}{i + 1}"
                port = base_port + PORTS_PER_INSTANCE * i
                self.instances.append(Instance(name, "north east south".split()[n], f"127.{network}.{n + 1}.1", port,
                                               i == 0))
        shutil.rmtree(run_folder, ignore_errors=True)
        os.makedirs(self.records_folder)

    def _settings(self, instance):
        size = sum(1 for other in self.instances if other.data_center == instance.data_center)
        lines = [f'name = "{instance.name}"', f'data_center = "{instance.data_center}"',
                 f'peer_listen = "{instance.peer}"', f'caller_listen = "{instance.caller}"',
                 f'upstream_listen = "{instance.upstream}"', f'operator_listen = "{instance.operator}"',
                 f'operator_token = "{TOKEN}"',
                 f"data_center_size = {size}", f'routing = "{self.routing}"']
        voters = [other.name for other in self.instances if other.durable]
        lines.append("global_voters = [" + ", ".join(f'"{name}"' for name in voters) + "]")
        if instance.durable:
            lines.append(f'data_folder = "{self.run_folder}/{instance.name}-data"')
        for other in self.instances:
            if other.durable:
                lines += ["[[seeds]]", f'name = "{other.name}"', f'data_center = "{other.data_center}"',
                          f'address = "{other.peer}"']
        return "\n".join(lines) + "\n"

    def _spawn(self, name, arguments):
        with open(os.path.join(self.run_folder, name + ".log"), "ab") as log:
            return subprocess.Popen([self.binary, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def start_instance(self, instance):
        path = os.path.join(self.run_folder, instance.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self._settings(instance))
        instance.process = self._spawn(instance.name, ["serve", "--config", path])

    def start_instances(self):
        for instance in self.instances:
            self.start_instance(instance)

    def start_upstream(self, name, service, slots, connections, data_center, port, seed):
        instances = [it for it in self.instances if it.data_center == data_center]
        ip = instances[0].ip
        arguments = ["stand-in", "--name", name, "--service", service, "--listen", f"{ip}:{port}",
                     "--instance", ",".join(it.upstream for it in instances), "--slots", str(slots),
                     "--connections", str(connections), "--service-time", str(self.service_time_ms),
                     "--seed", str(seed), "--record", os.path.join(self.records_folder, name + ".log"),
                     *self.stand_in_options]
        self.upstreams[name] = self._spawn(name, arguments)

    def start_upstreams(self):
        data_centers = list(dict.fromkeys(it.data_center for it in self.instances))
        port = self.upstream_port
        for service, count, slots, connections in self.services:
            for n in range(count):
                port += 1
                self.start_upstream(f"{service}-{n + 1}", service, slots, connections,
                                    data_centers[n % len(data_centers)], port, port)

    def send_operator_request(self, address, path, body=None, timeout=3):
        request = urllib.request.Request(f"http://{address}{path}", data=body,
                                         headers={"Authorization": "Bearer " + TOKEN})
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.read().decode()

    def submit_profile(self, path, timeout=20):
        """Submits the profile to the instances in turn, repeating the same change until the global group accepts it."""
        name = os.path.splitext(os.path.basename(path))[0]
        with open(path, "rb") as file:
            content = file.read()
        deadline = time.monotonic() + timeout
        while True:
            for instance in self.instances:
                try:
                    return self.send_operator_request(
                        instance.operator, f"/v1/profiles/{name}?base_version=0&change_id=first", content)
                except (urllib.error.URLError, OSError):
                    if time.monotonic() > deadline:
                        raise
            time.sleep(0.2)

    def status(self, instance):
        return json.loads(self.send_operator_request(instance.operator, "/v1/status"))

    def all_shards_owned(self, instance):
        """True if the instance is ready and reports an owner for every shard of every service."""
        try:
            status = self.status(instance)
        except (urllib.error.URLError, OSError):
            return False
        tables = status["data_centers"]
        wanted = {service for service, *_ in self.services}
        owned = {it["service"] for table in tables for it in table["upstreams"] if it["shards"] > 0}
        return status["ready"] and wanted <= owned and all(it["shards_without_owner"] == 0 for it in tables)

    def wait_until_shards_owned(self, timeout=30):
        deadline = time.monotonic() + timeout
        pending = [it for it in self.instances if it.process is not None]
        while pending:
            pending = [it for it in pending if not self.all_shards_owned(it)]
            if pending and time.monotonic() > deadline:
                raise TimeoutError("not ready: " + ", ".join(it.name for it in pending))
            time.sleep(0.1)

    def kill_instance(self, instance):
        instance.process.kill()
        instance.process.wait()
        instance.process = None

    def kill_upstream(self, name):
        self.upstreams[name].kill()
        self.upstreams[name].wait()
        del self.upstreams[name]

    def stop(self):
        """Stops every process that this object started; returns the names of those that had to be killed."""
        instances = {it.name: it.process for it in self.instances if it.process is not None}
        killed = self._terminate(self.upstreams) + self._terminate(instances)
        for instance in self.instances:
            instance.process = None
        self.upstreams = {}
        return killed

    @staticmethod
    def _terminate(processes):
        for process in processes.values():
            process.send_signal(signal.SIGTERM)
        killed = []
        deadline = time.monotonic() + 15
        for name, process in processes.items():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                killed.append(name)
                process.kill()
                process.wait()
        return killed
