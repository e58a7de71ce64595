"""LOST: clients that stop just short of the end of large bodies of legal size
end a machine's process, and with it the requests of ordinary clients."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "11"))
from standins import (Gateway, Store, Worker, answer, call, new_attempt, now,
                      request_bytes, run_case, status_of)

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["dk-east-a", "dk-east-b"]
# The smallest machine of the sheet of skuffekort-prod.
MEMORY_MB = 195
# The limit in the example of the configuration that `fleetbench wire` prints.
MAX_BODY_BYTES = 4194304
CROWD = 64
PIECE_BYTES = 16384
ORDINARY_CLIENTS = 8
WORK_S = 0.06
CALM_S = 6
LENGTH_S = 25
MAX_LOST = 3

CONFIG = {
    "version": 7,
    "routes": [{"name": "checkout", "host": "ficu95.example",
                "path_prefix": "/pule252/", "type": "non_idempotent",
                "timeout_ms": 800, "slo_ms": 300, "priority": 2,
                "service": "drawer-app", "max_attempts": 1, "public": False,
                "sticky": False, "resumable": False}],
    "services": [{"name": "drawer-app", "health_path": "/healthz",
                  "max_conns": 110, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "huka270", "api_keys": ["key1"], "priority": 1,
                 "prepaid": 3976717}]}


async def work(worker, request, writer):
    await asyncio.sleep(WORK_S)
    attempt = request.get("Turmericwinch-Attempt-Id")
    worker.record.add("worker %s answers %s" % (worker.name, attempt))
    writer.write(answer(200, b"x" * 800, worker.sign(request)))


async def ordinary_client(gateway, record, stop, seen):
    """Sends one request after the other on a kept channel."""
    channel = None
    answered = 0
    while not stop.is_set():
        try:
            if not channel:
                channel = await asyncio.open_connection("127.0.0.1",
                                                        gateway.port)
                answered = 0
            attempt, message = request_bytes("POST", "/pule252/2f", "key1",
                                             1500, b"sheet=7")
            got = await call(gateway.port, message, 3, channel=channel)
        except (OSError, asyncio.TimeoutError):
            got, attempt = None, None
        if attempt:
            status = status_of(got)
            record.add("client %s at %s gets %s"
                       % (attempt, gateway.name, status or "a closed channel"))
            seen.append((attempt, status, answered > 0))
        if not got or got.get("Connection").lower() == "close":
            if channel:
                channel[1].close()
            channel = None
            await asyncio.sleep(0.1)
        answered += 1
        await asyncio.sleep(0.01)
    if channel:
        channel[1].close()


async def unfinished_client(gateway, stop):
    """A body of legal size whose last byte never comes. The client comes again
    a second after its channel has ended."""
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           gateway.port)
            writer.write(("POST /pule252/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                          "Turmericwinch-Attempt-Id: %s\r\n"
                          "Turmericwinch-Deadline-Ms: 12000\r\n"
                          "Authorization: Token key1\r\n"
                          "Content-Length: %d\r\n\r\n"
                          % (new_attempt(), MAX_BODY_BYTES)).encode())
            for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
                writer.write(b"x" * PIECE_BYTES)
                await writer.drain()
            writer.write(b"x" * (PIECE_BYTES - 1))
            await reader.read()
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(1)


async def platform(gateway, record, stop, ends):
    """Kills a process over its memory, and starts it again after a short
    delay, as DEPLOY.md says."""
    most = 0
    while not stop.is_set():
        used = gateway.memory_used_mb()
        most = max(most, used)
        if used > gateway.memory_mb:
            record.add("platform kills %s: %d MB are over its %d MB"
                       % (gateway.name, used, gateway.memory_mb))
            ends.append(gateway.name)
            await gateway.end()
            await asyncio.sleep(0.5)
            await gateway.start()
        if gateway.process.returncode is not None:
            record.add("%s ended by itself" % gateway.name)
            ends.append(gateway.name)
            await asyncio.sleep(0.5)
            await gateway.start()
        await asyncio.sleep(0.01)
    record.add("%s used %d MB at most" % (gateway.name, most))


async def main(record, logs):
    store = Store()
    await store.start()
    await store.put("config", "main", CONFIG)
    workers = [Worker(store, record, "drawer-app", ZONES[n % 2], "i-%d" % n,
                      work) for n in range(4)]
    for it in workers:
        await it.start()
    gateways = [Gateway(store, record, logs, "edge-%s-1" % zone, zone, ZONES,
                        memory_mb=MEMORY_MB) for zone in ZONES]
    stop = asyncio.Event()
    seen, ends = [], []
    try:
        for it in gateways:
            await it.start()
        for it in gateways:
            if not await it.ready():
                record.add("%s was not ready" % it.name)
                return 2
        tasks = [asyncio.create_task(platform(it, record, stop, ends))
                 for it in gateways]
        tasks += [asyncio.create_task(ordinary_client(it, record, stop, seen))
                  for it in gateways for _ in range(ORDINARY_CLIENTS)]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            record.add("the crowd comes: %d clients at each machine" % CROWD)
            crowd = [asyncio.create_task(unfinished_client(it, stop))
                     for it in gateways for _ in range(CROWD)]
        await asyncio.sleep(LENGTH_S - CALM_S)
        stop.set()
        await asyncio.wait(tasks, timeout=5)
    finally:
        for it in gateways:
            await it.end()
    run = {attempt for it in workers for _, attempt in it.runs}
    lost = [a for a, status, kept in seen if status == 0 and kept and a in run]
    served = sum(1 for _, status, _ in seen if status == 200)
    text = ("%d requests, %d served; %d processes ended; %d requests of kept "
            "channels were passed on to a sound worker and their channels "
            "closed without an answer (%d allowed)"
            % (len(seen), served, len(ends), len(lost), MAX_LOST))
    record.add(text)
    print(text)
    return 1 if len(lost) > MAX_LOST else 0


run_case(main, HERE)
