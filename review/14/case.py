"""LOST: a worker numbers the events of its streams by the tokens generated so
far (6, 12, 18, ...). The gateway breaks each of these streams off."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "11"))
from standins import (Gateway, Store, Worker, answer, new_attempt, read_body,
                      read_head, request_bytes, run_case, status_of, stream)

TROUBLE = os.environ.get("TROUBLE") != "0"
ZONES = ["dk-east-a", "dk-east-b"]
EVENTS = 9
STRIDE = 6
ID_STEP = STRIDE if TROUBLE else 1
ROUNDS = 20
MAX_LOST = 3


def route(name, prefix, kind, service, resumable=False, attempts=1):
    return {"name": name, "host": "ficu95.example", "path_prefix": prefix,
            "type": kind, "timeout_ms": 4000, "slo_ms": 500, "priority": 1,
            "service": service, "max_attempts": attempts, "public": False,
            "sticky": True, "resumable": resumable, "itl_target_ms": 300}


CONFIG = {
    "version": 7,
    "routes": [
        route("match", "/lohu930/", "streaming", "turmericwinch-llm"),
        route("chat", "/pufi791/", "streaming", "turmericwinch-llm", True, 2),
        route("read", "/puxa403/", "idempotent", "drawer-app", attempts=2)],
    "services": [
        {"name": "turmericwinch-llm", "health_path": "/healthz",
         "max_conns": 370, "protocol": "h1", "tls": False,
         "engine": {"slots": 64, "kv_capacity": 400328, "stride": STRIDE,
                    "models": [{"name": "m"}]}},
        {"name": "drawer-app", "health_path": "/healthz", "max_conns": 110,
         "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "huka270", "api_keys": ["key1"], "priority": 1,
                 "prepaid": 3976717}]}


async def generate(worker, request, writer):
    await stream(worker, request, writer, EVENTS, 0.05, 0.01, ID_STEP)


async def read(worker, request, writer):
    await asyncio.sleep(0.02)
    writer.write(answer(200, b"x" * 800, worker.sign(request)))


async def exchange(channel, message, pieces):
    """The whole answer; None if the channel ended before it."""
    reader, writer = channel
    try:
        writer.write(message)
        head = await asyncio.wait_for(read_head(reader), 6)
        return await asyncio.wait_for(read_body(reader, head, pieces.append), 6)
    except (OSError, asyncio.IncompleteReadError):
        return None


async def main(record, logs):
    store = Store()
    await store.start()
    await store.put("config", "main", CONFIG)
    workers = [Worker(store, record, "turmericwinch-llm", ZONES[n % 2],
                      "i-%d" % n, generate, 64) for n in range(2)]
    workers += [Worker(store, record, "drawer-app", ZONES[n % 2],
                       "i-app-%d" % n, read) for n in range(2)]
    for it in workers:
        await it.start()
    gateways = [Gateway(store, record, logs, "edge-%s-1" % zone, zone, ZONES)
                for zone in ZONES]
    sent, whole, lost = 0, 0, []
    try:
        for it in gateways:
            await it.start()
        for it in gateways:
            if not await it.ready():
                record.add("%s was not ready" % it.name)
                return 2
        await asyncio.sleep(4)
        for n in range(ROUNDS):
            # A kept channel: a plain request first, then one stream.
            channel = await asyncio.open_connection("127.0.0.1",
                                                    gateways[n % 2].port)
            _, message = request_bytes("GET", "/puxa403/2f", "key1", 1500)
            if status_of(await exchange(channel, message, [])) != 200:
                return 2
            path = "/lohu930/2f" if n % 4 < 2 else "/pufi791/2f"
            attempt, message = request_bytes(
                "POST", path, "key1", 5000, b"x" * 1700, [
                    ("Turmericwinch-Model", "m"),
                    ("Turmericwinch-Token-Count", "1460,%d" % (EVENTS * STRIDE)),
                    ("Turmericwinch-Prefix-Hash",
                     "5c1e07a2:800,91bd3f06:410,e4402b7d:250")])
            pieces = []
            got = await exchange(channel, message, pieces)
            sent += 1
            whole += got is not None and len(pieces) == EVENTS
            if got is None:
                lost.append(attempt)
            record.add("client %s %s gets %s after %d of %d events" % (
                attempt, path, status_of(got) or "a closed channel",
                len(pieces), EVENTS))
            channel[1].close()
    finally:
        for it in gateways:
            await it.end()
    run = {attempt for it in workers for _, attempt in it.runs}
    lost = [it for it in lost if it in run]
    text = ("%d streams, %d whole; %d ended with their kept channel before the "
            "answer was complete, though sound workers ran them (%d allowed)"
            % (sent, whole, len(lost), MAX_LOST))
    record.add(text)
    print(text)
    return 1 if len(lost) > MAX_LOST else 0


run_case(main, HERE)
