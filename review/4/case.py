"""Liveness reports whose bytes can't be read reach the control instances."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from cluster import PLAIN_SERVICE, SERVICE, Backend, Cluster, Consumer, call, free_ports, main, now_ms, trouble

# "bytes that can't be read": a JSON text whose string holds a byte that is not UTF-8.
UNREADABLE = b'{"address":"\xff"}'
READABLE = b'{"address":"?"}'
ROUNDS = 3


async def case(record):
    cluster = Cluster(record, entries=2)
    lives = []
    sender = None
    try:
        await cluster.start()
        await cluster.configure(None, None)
        ports = free_ports(7)
        for n in range(7):
            address = (f"{cluster.net}.3.{n + 10}", ports[n])
            service = SERVICE if n < 6 else PLAIN_SERVICE
            lives.append(Backend(cluster, f"i-{n + 1:08x}", service, cluster.zones[n % 3], address, now_ms()))
            await lives[-1].start()
        await cluster.wait_ready()
        consumer = Consumer(cluster)

        async def load():
            n = 0
            while True:
                n += 1
                await consumer.send(f"/lookup/{n}", n * 7919 % 65536, n % 2)
                await asyncio.sleep(0.05)

        sender = asyncio.create_task(load())
        await asyncio.sleep(8)
        if any(it.starts != 1 for it in cluster.control):
            raise RuntimeError("a control instance ended before the reports")
        for n in range(ROUNDS):
            for address in cluster.admin_addresses():
                answer = await call(address, "PUT", "/instances/other-writer", UNREADABLE if trouble() else READABLE)
                record.write(f"report {n + 1} to {address[0]}: {answer.status or answer.problem}")
            await asyncio.sleep(6)
        ends = [it.starts - 1 for it in cluster.control]
        served = sum(1 for it in consumer.answers.values() if it.status == 200)
        record.write(f"control instances ended by themselves {ends} times; {served} of {len(consumer.answers)} served")
        # Fault: on half of the core, processes end by themselves three times with no impairment there.
        return sum(1 for it in ends if it >= 3) * 2 >= len(ends)
    finally:
        if sender is not None:
            sender.cancel()
        for it in lives:
            await it.crash()
        await cluster.close()


main(case, pathlib.Path(__file__).parent)
