"""Stand-ins of the platform, its store, the workers and the clients, for the
scripts in review/11 to review/15. Plain asyncio, loopback addresses only."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_ANSWER_S = 0.004
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def add(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return next((v for k, v in self.headers if k.lower() == name.lower()),
                    default)


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1))
               for line in lines[1:] if line]
    return Message(lines[0], headers, b"")


async def read_chunks(reader, on_piece=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body
        body += piece
        if on_piece:
            on_piece(piece)


async def read_body(reader, message, on_piece=None):
    if message.get("Transfer-Encoding").lower() == "chunked":
        message.body = await read_chunks(reader, on_piece)
    else:
        length = int(message.get("Content-Length", "0") or 0)
        message.body = await reader.readexactly(length)
    return message


async def read_request(reader):
    return await read_body(reader, await read_head(reader))


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d Status" % status]
    lines += ["%s: %s" % it for it in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Store:
    """The platform's store: objects by kind and name, one revision counter,
    writes on condition, lists and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        """A write of the operator or of a worker."""
        await self.write(kind, name, spec, [])

    async def write(self, kind, name, spec, finalizers):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        value = {
            "metadata": {
                "name": name, "revision": self.revision,
                "created": old["metadata"]["created"] if old else self.revision,
                "finalizers": finalizers, "deletion_pending": False},
            "spec": spec, "status": old["status"] if old else None}
        self.objects[kind, name] = value
        await self.tell(kind, value, False)
        return value

    async def remove(self, kind, name):
        value = self.objects.pop((kind, name), None)
        if value:
            self.revision += 1
            await self.tell(kind, value, True)

    async def tell(self, kind, value, deleted):
        self.events.append((self.revision, kind,
                            {"deleted": deleted, "object": value}))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                status, value = await self.handle(request)
                await asyncio.sleep(STORE_ANSWER_S)
                writer.write(answer(status, json.dumps(value).encode(),
                                    [("Content-Type", "application/json")]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, request):
        method, target, _ = request.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        words = url.path.removeprefix("/api/objects/").split("/")
        kind = words[0]
        name = urllib.parse.unquote(words[1]) if len(words) > 1 else None
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)) / 1000)
        if method == "GET" and name is None:
            start = query.get("since_revision", "")
            names = sorted(n for k, n in self.objects if k == kind and n > start)
            items = [self.objects[kind, n] for n in names[:500]]
            return 200, {"items": items, "has_more": len(names) > 500,
                         "at": self.revision}
        if method == "GET":
            value = self.objects.get((kind, name))
            return (200, value) if value else (404, {})
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 201, await self.write(kind, name, body.get("spec"),
                                         metadata.get("finalizers", []))
        old = self.objects.get((kind, name))
        if not old:
            return 404, {}
        wanted = metadata.get("revision") or query.get("revision")
        if wanted and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if method == "PUT":
            return 200, await self.write(kind, name, body.get("spec"),
                                         metadata.get("finalizers", []))
        await self.remove(kind, name)
        return 200, old

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [e for r, k, e in self.events if k == kind and r > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """One worker of a service. `run` is the work: a coroutine that gets the
    request and the writer, and sends the whole answer."""

    def __init__(self, store, record, service, zone, name, run, slots=6,
                 queue=6):
        self.store, self.record, self.service = store, record, service
        self.zone, self.name, self.run, self.slots = zone, name, run, slots
        self.queue = queue
        self.places = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.server = None
        self.channels = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.register("ready")

    async def register(self, state):
        await self.store.put("servers", self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "cold_remaining_ms": 0, "phase": "unified",
            "sequence": 1, "born": int(time.time() * 1000)})

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def echo(self, request):
        return [("Turmericwinch-Attempt-Id",
                 request.get("Turmericwinch-Attempt-Id"))]

    def sign(self, request):
        return self.echo(request) + [
            ("Turmericwinch-Response-Signature", "mac-of-" + self.name),
            ("Turmericwinch-Server-Load", "%d,%d,%d"
             % (self.running, self.waiting, self.slots))]

    async def handle(self, request, writer):
        attempt = request.get("Turmericwinch-Attempt-Id")
        target = request.get("Turmericwinch-Target-Instance")
        if target and target != self.name:
            writer.write(answer(421, b"", self.echo(request)))
            return
        if not attempt:
            writer.write(answer(200, b"", [
                ("Turmericwinch-Instance-Id", self.name)]))
            return
        if self.waiting >= self.queue:
            self.record.add("worker %s rejects %s" % (self.name, attempt))
            writer.write(answer(503, b"", self.echo(request) + [
                ("Turmericwinch-Not-Executed", "1")]))
            return
        self.waiting += 1
        await self.places.acquire()
        self.waiting -= 1
        self.running += 1
        self.runs.append((now(), attempt))
        self.record.add("worker %s runs %s" % (self.name, attempt))
        try:
            await self.run(self, request, writer)
        finally:
            self.running -= 1
            self.places.release()


async def stream(worker, request, writer, events, first_s, pause_s, id_step=1):
    """A whole event stream, from the event after Last-Event-Id on. The ids are
    the multiples of id_step."""
    start = int(request.get("Last-Event-Id", "0") or 0) // id_step
    await asyncio.sleep(first_s)
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
             "Transfer-Encoding: chunked"]
    lines += ["%s: %s" % it for it in worker.sign(request)]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for n in range(start + 1, events + 1):
        event = b"id: %d\ndata: piece %d\n\n" % (n * id_step, n)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")


class Gateway:
    """One machine: the gateway with the command of the deploy file."""

    def __init__(self, store, record, folder, name, zone, zones, bounds=None,
                 memory_mb=195):
        listen, readiness, metrics, peers = free_ports(4)
        self.record, self.name, self.folder = record, name, folder
        self.port, self.readiness = listen, readiness
        self.memory_mb = memory_mb
        self.process = None
        self.starts = 0
        self.fields = {
            "node_name": name, "zone": zone, "ip": "127.0.0.1",
            "zones": {it: "dk-east" for it in zones},
            "listen": {"frontend": "127.0.0.1:%d" % listen,
                       "readiness": "127.0.0.1:%d" % readiness},
            "port_range": [metrics, peers],
            "platform": {"address": "127.0.0.1:%d" % store.port,
                         "reads_per_s": 2000, "writes_per_s": 400},
            "limits": {"link_mbps": 750.0, "memory_mb": memory_mb},
            "bounds": {"retry_budget_ratio": 0.2, "budget_slack": 56,
                       **(bounds or {})},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "platform"]}

    def command(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        text = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1]
        zones = self.fields["zones"]
        text = re.sub(r"\{\{#zones\}\}(.*?)\{\{/zones\}\}", lambda m: ",".join(
            m[1].replace("{{,}}", "").replace("{{@}}", k).replace("{{.}}", v)
            for k, v in zones.items()), text)

        def value(match):
            found = self.fields
            for key in match[1].split("."):
                if isinstance(found, list):
                    found = found[int(key)]
                else:
                    found = found.get(key) if isinstance(found, dict) else None
            if isinstance(found, list):
                return ",".join(found)
            return "" if found is None else str(found)

        words = re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, text).split()
        words[0] = str(ROOT / words[0])
        return words

    async def start(self):
        self.starts += 1
        log = open(pathlib.Path(self.folder) / (self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command(), stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.record.add("machine %s starts" % self.name)

    async def ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.probe():
                return True
            await asyncio.sleep(0.1)
        return False

    async def probe(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.readiness)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in head.first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def memory_used_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as it:
                for line in it:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


_attempts = random.Random(11)


def new_attempt():
    return "%016x" % _attempts.getrandbits(64)


def request_bytes(method, path, key, deadline_ms, body=b"", extra=(),
                  attempt=None):
    attempt = attempt or new_attempt()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: ficu95.example",
             "Turmericwinch-Attempt-Id: " + attempt,
             "Turmericwinch-Deadline-Ms: %d" % deadline_ms]
    if key:
        lines.append("Authorization: Token " + key)
    lines += ["%s: %s" % it for it in extra]
    if method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return attempt, ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(port, message, limit, on_piece=None, channel=None):
    """Sends one request on a new channel, or on `channel`. Returns the answer;
    None if the channel ended without one."""
    reader, writer = channel or await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(message)

        async def whole():
            return await read_body(reader, await read_head(reader), on_piece)

        return await asyncio.wait_for(whole(), limit)
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        if not channel:
            writer.close()


def status_of(message):
    return int(message.first.split(" ")[1]) if message else 0


async def quiet(case):
    loop = asyncio.get_running_loop()
    # Channels that are cut, and those left at the end, are no errors here.
    loop.set_exception_handler(lambda *_: None)
    # The case still ends the processes that it started.
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await case


def run_case(main, folder):
    """Runs main(record, logs) and exits with what it returns; 2 if the case
    could not run."""
    record = Record(folder)
    with tempfile.TemporaryDirectory() as logs:
        try:
            code = asyncio.run(quiet(main(record, logs)))
        except (Exception, asyncio.CancelledError) as error:
            record.add("could not run: %r" % error)
            print("could not run: %r" % error)
            code = 2
    record.add("exit %d" % code)
    os._exit(code)
