"""CONFIG: the store's revision counter passes 10^12. From then on the gateways
follow no change of the configuration."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "11"))
from standins import (Gateway, Store, Worker, answer, call, now,
                      request_bytes, run_case, status_of)

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["dk-east-a", "dk-east-b"]
FIRST_REVISION = 10 ** 12 - 100 if TROUBLE else 1
OTHER_WRITES_PER_S = 10
FIRST_CHANGE_S = 4
LAST_CHANGE_S = 20
LENGTH_S = 32
CONFIG_APPLY_S = 2


def config(version, service):
    return {
        "version": version,
        "routes": [{"name": "read", "host": "ficu95.example",
                    "path_prefix": "/puxa403/", "type": "idempotent",
                    "timeout_ms": 800, "slo_ms": 300, "priority": 2,
                    "service": service, "max_attempts": 2, "public": False,
                    "sticky": False, "resumable": False}],
        "services": [{"name": it, "health_path": "/healthz", "max_conns": 110,
                      "protocol": "h1", "tls": False}
                     for it in ("drawer-app", "drawer-next")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka270", "api_keys": ["key1"], "priority": 1,
                     "prepaid": 3976717}]}


async def work(worker, request, writer):
    await asyncio.sleep(0.03)
    writer.write(answer(200, b"x" * 800, worker.sign(request)))


async def other_writer(store, stop):
    """Another user of the store, with objects of a kind of its own."""
    n = 0
    while not stop.is_set():
        n += 1
        await store.put("inventory", "sheet-%d" % (n % 5), {"count": n})
        await asyncio.sleep(1 / OTHER_WRITES_PER_S)


async def client(gateway, record, stop, seen):
    while not stop.is_set():
        attempt, message = request_bytes("GET", "/puxa403/2f", "key1", 1500)
        sent = now()
        try:
            got = await call(gateway.port, message, 3)
        except (OSError, asyncio.TimeoutError):
            got = None
        record.add("client %s at %s gets %s"
                   % (attempt, gateway.name, status_of(got) or "nothing"))
        seen.append((sent, attempt, status_of(got)))
        await asyncio.sleep(0.1)


async def main(record, logs):
    store = Store()
    store.revision = FIRST_REVISION
    await store.start()
    await store.put("config", "main", config(7, "drawer-app"))
    workers = [Worker(store, record, service, ZONES[n], "i-%s-%d" % (service, n),
                      work)
               for service in ("drawer-app", "drawer-next") for n in range(2)]
    for it in workers:
        await it.start()
    gateways = [Gateway(store, record, logs, "edge-%s-1" % zone, zone, ZONES)
                for zone in ZONES]
    stop = asyncio.Event()
    seen = []
    changes = []

    async def change(version, service):
        await store.put("config", "main", config(version, service))
        changes.append((now(), service))
        record.add("operator: version %d, route to %s, confirmed at revision %d"
                   % (version, service, store.revision))

    try:
        for it in gateways:
            await it.start()
        for it in gateways:
            if not await it.ready():
                record.add("%s was not ready" % it.name)
                return 2
        tasks = [asyncio.create_task(other_writer(store, stop))]
        tasks += [asyncio.create_task(client(it, record, stop, seen))
                  for it in gateways for _ in range(2)]
        start = now()
        await asyncio.sleep(FIRST_CHANGE_S)
        await change(12, "drawer-next")
        await asyncio.sleep(start + LAST_CHANGE_S - now())
        await change(15, "drawer-app")
        await asyncio.sleep(start + LENGTH_S - now())
        stop.set()
        await asyncio.wait(tasks, timeout=5)
    finally:
        for it in gateways:
            await it.end()
    ran_at = {a: it.service for it in workers for _, a in it.runs}
    stale, judged = 0, 0
    for sent, attempt, status in seen:
        in_force = [s for at, s in changes if sent > at + CONFIG_APPLY_S]
        if status != 200 or not in_force:
            continue
        judged += 1
        newer = [s for at, s in changes if at <= sent]
        stale += ran_at.get(attempt) not in (in_force[-1], newer[-1])
    text = ("%d requests served later than %d s after a change was confirmed; "
            "%d of them run by the old service" % (judged, CONFIG_APPLY_S, stale))
    record.add(text)
    print(text)
    return 1 if stale else 0


run_case(main, HERE)
