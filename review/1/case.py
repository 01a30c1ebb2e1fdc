"""Backends crash, one at a time, and start again under the id that they had."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from cluster import PLAIN_SERVICE, SERVICE, Backend, Cluster, Consumer, double_holds, free_ports, main, now_ms, trouble

MOST_RESTARTS = 18  # one of the eight backends of the service at a time; the script ends at the first overlap
RESTART_AFTER_S = 0.3
FIRST_REPORT_S = 0.8  # less than one heartbeat after the start
PAUSE_S = 3.0


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
        newest = list(lives[:8])
        for n in range(MOST_RESTARTS):
            if trouble():
                old = newest[n % 8]
                await old.crash()
                await asyncio.sleep(RESTART_AFTER_S)
                new = Backend(
                    cluster, old.name, old.service, old.zone, old.address, now_ms(), first_report_s=FIRST_REPORT_S
                )
                newest[n % 8] = new
                lives.append(new)
                await new.start()
            await asyncio.sleep(FIRST_REPORT_S + PAUSE_S)
            if double_holds(lives):
                break
        await asyncio.sleep(2)
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
