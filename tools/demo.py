"""Runs the demonstration. tools/demo installs the dependencies and builds first."""

import argparse
import os
import subprocess
import sys
import tempfile
import time

import local_cluster


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/demo", description=__doc__)
    parser.add_argument("--firm", choices=sorted(local_cluster.FIRMS), default="navalsig")
    parser.add_argument("--rate", type=int, default=900, help="requests per second")
    parser.add_argument("--seconds", type=int, default=20, help="duration of the load")
    parser.add_argument("--base-port", type=int, default=21000,
                        help="first port of the instances; the upstreams start 10000 higher")
    parser.add_argument("--keep", action="store_true", help="keep logs and records")
    return parser.parse_args()


def print_active_upstreams(cluster):
    status = cluster.status(cluster.instances[0])
    for table in status["data_centers"]:
        active = [it for it in table["upstreams"] if it["condition"] == "active"]
        gates = {it["gate"] for it in active}
        print(f"  {table['data_center']}: {len(active)} upstreams active behind {len(gates)} gates")


def start_load(cluster, options):
    arguments = [cluster.binary, "load", "--firm", options.firm,
                 "--address", ",".join(it.caller for it in cluster.instances), "--rate", str(options.rate),
                 "--duration", str(options.seconds), "--resend", "0.05", "--judge", cluster.records_folder]
    return subprocess.Popen(arguments, stdin=subprocess.DEVNULL)


def run(cluster, options):
    cluster.start_instances()
    cluster.submit_profile(os.path.join(local_cluster.ROOT, "profiles", options.firm + ".toml"))
    cluster.start_upstreams()
    cluster.wait_until_shards_owned()
    print(f"3 data centres, {len(cluster.instances)} instances, {len(cluster.upstreams)} upstreams:")
    print_active_upstreams(cluster)
    print(f"{options.rate} requests/s for {options.seconds} s", flush=True)
    load = start_load(cluster, options)
    time.sleep(options.seconds * 0.35)
    victim = cluster.instances[1]
    print(f"killing instance {victim.name}", flush=True)
    cluster.kill_instance(victim)
    time.sleep(options.seconds * 0.3)
    upstream = cluster.services[0][0] + "-5"
    print(f"killing upstream {upstream}", flush=True)
    cluster.kill_upstream(upstream)
    exit_code = load.wait(timeout=options.seconds + 60)
    print_active_upstreams(cluster)
    return exit_code


def main():
    options = parse_arguments()
    binary = os.path.join(local_cluster.ROOT, "build", "kingcupseam")
    with tempfile.TemporaryDirectory(prefix="kingcupseam-") as folder:
        run_folder = os.path.join(local_cluster.ROOT, "run", "demo") if options.keep else os.path.join(folder, "demo")
        cluster = local_cluster.Cluster(run_folder, binary, options.firm, base_port=options.base_port,
                                        upstream_port=options.base_port + 10000)
        try:
            exit_code = run(cluster, options)
        finally:
            killed = cluster.stop()
    if killed:
        print("killed, since they did not stop within 15 s:", ", ".join(killed))
        exit_code = exit_code or 1
    print("demo: passed" if exit_code == 0 else "demo: failed")
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
