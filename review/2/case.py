"""A report of another writer names a service that no desired state has, and the address of a backend."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from cluster import PLAIN_SERVICE, SERVICE, Backend, Cluster, Consumer, call, double_holds, free_ports, main, now_ms, trouble



async def case(record):
    cluster = Cluster(record, entries=2)
    lives = []
    senders = []
    try:
        await cluster.start()
        await cluster.configure(None, None)
        ports = free_ports(9)
        for n in range(9):
            address = (f"{cluster.net}.3.{n + 10}", ports[n])
            service = SERVICE if n < 8 else PLAIN_SERVICE
            lives.append(Backend(cluster, f"i-{n + 1:08x}", service, cluster.zones[n % 3], address, now_ms()))
            await lives[-1].start()
        await cluster.wait_ready()
        consumer = Consumer(cluster)

        async def load(entry):
            n = 0
            while True:
                n += 1
                await consumer.send(f"/lookup/{n}", (n * 7919 + entry * 331) % 65536, entry)
                await asyncio.sleep(0.05)

        senders = [asyncio.create_task(load(n)) for n in range(2)]
        await asyncio.sleep(10)
        if not all(it.live_holds() for it in lives[:8]):
            raise RuntimeError("some backends hold no keys")
        if trouble():
            it = lives[0]
            foreign = {
                "address": f"{it.address[0]}:{it.address[1]}",
                "born": now_ms(),
                "info": {"service": "not-named-anywhere", "version": "v1", "zone": it.zone, "capacity": 2},
                "status": {"state": "ready", "sequence": 1, "warmup_left": "0ms"},
            }
            answer = await call(cluster.admin_addresses()[0], "PUT", "/instances/other-writer", json.dumps(foreign).encode())
            record.write(f"report of another writer for the address of {it.life}: {answer.status}")
        await asyncio.sleep(18)
        served = sum(1 for it in consumer.answers.values() if it.status == 200)
        record.write(f"{served} of {len(consumer.answers)} requests were served")
        if served * 2 < len(consumer.answers):
            raise RuntimeError("the system does not serve")
        found = double_holds(lives)
        for both, begin, a, b, first, last, ea, eb in found:
            record.write(
                f"OWNER: {a.life} (fence {ea}) and {b.life} (fence {eb}), both up, held {first}-{last} "
                f"for {both:.2f} s from {begin - record.start:.3f}"
            )
        return bool(found)
    finally:
        for it in senders:
            it.cancel()
        for it in lives:
            if it.up_until is None:
                await it.crash()
        await cluster.close()


main(case, pathlib.Path(__file__).parent)
