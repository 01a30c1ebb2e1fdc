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
PORTS_PER_INSTANCE = 10  # offsets: 0 peer, 1 peer traffic, 2 caller, 3 upstream, 4 operator

# Services of each firm: name, number of upstreams, slots and connections of each upstream.
FIRMS = {
    "navalsig": {"services": (("registry", 30, 2, 120), ("repack", 6, 2, 120))},
    "cairnmark": {"services": (("records", 30, 6, 130), ("ledger", 6, 6, 130))},
}


class Instance:
    """Addresses, files and process of one instance."""

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
    """Instances of three data centres and the upstreams of one firm, on addresses 127.network.x.1."""

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
        self.records = os.path.join(run_folder, "records")
        self.upstreams = {}
        self.instances = []
        for n, count in enumerate(per_data_center):
            for i in range(count):
                name = f"{'abc'[n]}{i + 1}"
                port = base_port + PORTS_PER_INSTANCE * i
                self.instances.append(Instance(name, "north east south".split()[n], f"127.{network}.{n + 1}.1", port,
                                               i == 0))
        shutil.rmtree(run_folder, ignore_errors=True)
        os.makedirs(self.records)

    def _settings(self, it):
        size = sum(1 for other in self.instances if other.data_center == it.data_center)
        lines = [f'name = "{it.name}"', f'data_center = "{it.data_center}"', f'peer_listen = "{it.peer}"',
                 f'caller_listen = "{it.caller}"', f'upstream_listen = "{it.upstream}"',
                 f'operator_listen = "{it.operator}"', f'operator_token = "{TOKEN}"',
                 f"data_center_size = {size}", f'routing = "{self.routing}"']
        voters = [other.name for other in self.instances if other.durable]
        lines.append("global_voters = [" + ", ".join(f'"{name}"' for name in voters) + "]")
        if it.durable:
            lines.append(f'data_folder = "{self.run_folder}/{it.name}-data"')
        for other in self.instances:
            if other.durable:
                lines += ["[[seeds]]", f'name = "{other.name}"', f'data_center = "{other.data_center}"',
                          f'address = "{other.peer}"']
        return "\n".join(lines) + "\n"

    def _spawn(self, name, arguments):
        with open(os.path.join(self.run_folder, name + ".log"), "ab") as log:
            return subprocess.Popen([self.binary, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def start_instance(self, it):
        path = os.path.join(self.run_folder, it.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self._settings(it))
        it.process = self._spawn(it.name, ["serve", "--config", path])

    def start_instances(self):
        for it in self.instances:
            self.start_instance(it)

    def start_upstream(self, name, service, slots, connections, data_center, port, seed):
        hosts = [it for it in self.instances if it.data_center == data_center]
        ip = hosts[0].ip
        arguments = ["stand-in", "--name", name, "--service", service, "--listen", f"{ip}:{port}",
                     "--instance", ",".join(it.upstream for it in hosts), "--slots", str(slots),
                     "--connections", str(connections), "--service-time", str(self.service_time_ms),
                     "--seed", str(seed), "--record", os.path.join(self.records, name + ".log"), *self.stand_in_options]
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
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.read().decode()

    def submit_profile(self, path, timeout=20):
        """Submits the profile to the instances in turn, repeating the same change until the global group accepts it."""
        name = os.path.splitext(os.path.basename(path))[0]
        with open(path, "rb") as file:
            content = file.read()
        end = time.monotonic() + timeout
        while True:
            for it in self.instances:
                try:
                    return self.send_operator_request(
                        it.operator, f"/v1/profiles/{name}?base_version=0&change_id=first", content)
                except (urllib.error.URLError, OSError):
                    if time.monotonic() > end:
                        raise
            time.sleep(0.2)

    def status(self, it):
        return json.loads(self.send_operator_request(it.operator, "/v1/status"))

    def all_shards_owned(self, it):
        """True if the instance is ready and reports an owner for every shard of every service."""
        try:
            status = self.status(it)
        except (urllib.error.URLError, OSError):
            return False
        tables = status["data_centers"]
        wanted = {service for service, *_ in self.services}
        seen = {up["service"] for table in tables for up in table["upstreams"] if up["shards"] > 0}
        return status["ready"] and wanted <= seen and all(t["shards_without_owner"] == 0 for t in tables)

    def wait_until_shards_owned(self, timeout=30):
        end = time.monotonic() + timeout
        pending = [it for it in self.instances if it.process is not None]
        while pending:
            pending = [it for it in pending if not self.all_shards_owned(it)]
            if pending and time.monotonic() > end:
                raise TimeoutError("not ready: " + ", ".join(it.name for it in pending))
            time.sleep(0.1)

    def kill_instance(self, it):
        it.process.kill()
        it.process.wait()
        it.process = None

    def kill_upstream(self, name):
        self.upstreams[name].kill()
        self.upstreams[name].wait()
        del self.upstreams[name]

    def stop(self):
        """Stops every process that this object started; returns the names of those that had to be killed."""
        running = {it.name: it.process for it in self.instances if it.process is not None}
        late = self._terminate(self.upstreams) + self._terminate(running)
        for it in self.instances:
            it.process = None
        self.upstreams = {}
        return late

    @staticmethod
    def _terminate(processes):
        for it in processes.values():
            it.send_signal(signal.SIGTERM)
        late = []
        end = time.monotonic() + 15
        for name, it in processes.items():
            try:
                it.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                late.append(name)
                it.kill()
                it.wait()
        return late
