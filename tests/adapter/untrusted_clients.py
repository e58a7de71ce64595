"""Crowds of hostile clients against a real gateway, for untrusted_clients_check.sh.

Starts the gateway, a store and a target on loopback; each crowd gets a gateway
of its own, because its peak memory is measured. Checked: the process lives, its
memory and descriptors stay under the bounds below, and one ordinary request is
answered after the crowd has left. Usage: untrusted_clients.py GATEWAY [CROWD...]
"""

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

# The crowd and the bounds are fixed; change them only together with the page
# docs/design/target-lifecycle.md.
CLIENTS = 64
MAX_BODY_BYTES = 1 << 20
MEMORY_MB = 16
# Memory of the idle program, its code and its allocator, in MB.
BASE_MB = 48
BOUND_KB = (MEMORY_MB + BASE_MB) * 1024
MAX_DESCRIPTORS = 256
# A crowd has sent what it can once no client progressed for this time.
QUIET_SECONDS = 2.0
# Ends a crowd that the gateway reads without end.
CROWD_SECONDS = 30.0
ORDINARY_SECONDS = 60.0
# Trailers that one client sends at most.
TRAILER_BYTES = 8 << 20
# The largest legal response; the kernel does not take it whole.
LARGE_RESPONSE_BYTES = 4 << 20

CONFIG = {
    "version": 1,
    "limits": {"max_body_bytes": MAX_BODY_BYTES},
    "routes": [{"name": "once", "host": "h", "path_prefix": "/once/",
                "type": "non_idempotent", "service": "app", "max_attempts": 2,
                "timeout_ms": 60000}],
    "services": [{"name": "app"}],
    "tenants": [{"name": "team", "api_keys": ["key"], "prepaid": 1000}],
}


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def reply(self, status, body, headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class Target(QuietHandler):
    def do_POST(self):
        self.body()
        size = LARGE_RESPONSE_BYTES if self.path.endswith("/large") else 5
        self.reply(200, b"x" * size, [
            ("Turmericwinch-Attempt-Id", self.headers["Turmericwinch-Attempt-Id"]),
            ("Turmericwinch-Response-Signature", "mac")])


class Store(QuietHandler):
    """Objects by kind and name. A watch never reports a change."""

    lock = threading.Lock()
    objects = {}
    revision = 1

    def parts(self):
        path, _, query = self.path.partition("?")
        words = path.removeprefix("/api/objects/").split("/", 1)
        return words[0], words[1] if len(words) > 1 else None, query

    def answer(self, status, value):
        self.reply(status, json.dumps(value).encode(),
                   [("Content-Type", "application/json")])

    def do_GET(self):
        kind, name, query = self.parts()
        fields = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        if "watch" in fields:
            time.sleep(min(int(fields.get("wait_ms", 0)), 500) / 1000)
            self.answer(200, {"events": [], "at": int(fields["watch"])})
            return
        with Store.lock:
            if name is None:
                items = [v for (k, _), v in Store.objects.items() if k == kind]
                value = {"items": items, "has_more": False, "at": Store.revision}
            else:
                value = Store.objects.get((kind, name))
        self.answer(200 if value else 404, value or {})

    def write(self):
        kind, name, _ = self.parts()
        value = json.loads(self.body())
        with Store.lock:
            Store.revision += 1
            value["metadata"]["revision"] = Store.revision
            Store.objects[kind, name or value["metadata"]["name"]] = value
        self.answer(200, value)

    do_POST = do_PUT = write

    def do_DELETE(self):
        kind, name, _ = self.parts()
        with Store.lock:
            Store.objects.pop((kind, name), None)
        self.answer(200, {})


def put(kind, name, spec):
    Store.objects[kind, name] = {"metadata": {"name": name, "revision": 1},
                                 "spec": spec, "status": None}


class QuietServer(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        pass  # The gateway is killed while it has calls to the store.


def serve(handler):
    server = QuietServer(("127.0.0.1", 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]


def free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def head(path, fields):
    return ("POST /once/%s HTTP/1.1\r\nHost: h\r\n"
            "Turmericwinch-Attempt-Id: id1\r\nAuthorization: Token key\r\n%s\r\n"
            % (path, fields)).encode()


def ordinary(port, sock=None):
    """The status of one ordinary request; 0 if there was no response."""
    try:
        own = sock or socket.create_connection(("127.0.0.1", port), 5)
        own.settimeout(5)
        own.sendall(head("1", "Content-Length: 8\r\n") + b"question")
        data = b""
        while b"\r\n\r\nxxxxx" not in data:
            piece = own.recv(4096)
            if not piece:
                break
            data += piece
        if sock is None:
            own.close()
        return int(data.split(b" ", 2)[1]) if data else 0
    except (OSError, IndexError, ValueError):
        return 0


def chunks(sizes, total):
    out, sent, n = [], 0, 0
    while sent < total:
        size = min(sizes[n % len(sizes)], total - sent)
        out.append(b"%x\r\n" % size + b"x" * size + b"\r\n")
        sent += size
        n += 1
    return b"".join(out)


CHUNKED = "Transfer-Encoding: chunked\r\n"
LENGTH = "Content-Length: %d\r\n" % MAX_BODY_BYTES
SHORT = MAX_BODY_BYTES - 1
TRAILERS = b"Name: value of some length\r\n" * (TRAILER_BYTES // 28)
# What each client sends; what completes it, which only one client in EIGHTH
# sends; the bytes of one write (0: all that fits); and whether an ordinary
# request goes first on the same connection.
EIGHTH = 8
LAST_CHUNK = b"1\r\nx\r\n0\r\n\r\n"
WHOLE = head("1", LENGTH) + b"x" * SHORT
LARGE_CHUNKS = head("1", CHUNKED) + chunks([65536], SHORT)
SMALL_CHUNKS = head("1", CHUNKED) + chunks(range(1, 17), SHORT)
CROWDS = {
    "trailers": (head("1", CHUNKED) + b"1\r\nx\r\n0\r\n" + TRAILERS, b"", 0,
                 False),
    "bodies": (WHOLE, b"x", 0, False),
    "pieces": (WHOLE, b"x", 1000, False),
    "chunks": (LARGE_CHUNKS, LAST_CHUNK, 0, False),
    "small-chunks": (SMALL_CHUNKS, LAST_CHUNK, 0, False),
    "keep-alive-bodies": (WHOLE, b"x", 0, True),
    "keep-alive-chunks": (SMALL_CHUNKS, LAST_CHUNK, 0, True),
    "slow-headers": (head("1", "Name: %s\r\n" % ("v" * 900))[:-2], b"\r\n", 1,
                     False),
    "no-reader": (head("large", "Content-Length: 1\r\n") + b"x", b"", 0, False),
}


def run_crowd(port, payload, rest, piece, after_request):
    """Returns the sockets that the gateway has not closed."""
    selector = selectors.DefaultSelector()
    sockets = []
    views = [memoryview(payload), memoryview(payload + rest)]
    for n in range(CLIENTS):
        sock = socket.socket()
        # A small buffer keeps unread responses in the gateway.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", port))
        if after_request:
            ordinary(port, sock)
        sock.setblocking(False)
        sockets.append(sock)
        selector.register(sock, selectors.EVENT_WRITE,
                          [0, views[n % EIGHTH == 0]])
    end = time.monotonic() + CROWD_SECONDS
    while selector.get_map() and time.monotonic() < end:
        ready = selector.select(QUIET_SECONDS)
        if not ready:
            break
        for key, _ in ready:
            at, view = key.data
            try:
                key.data[0] += key.fileobj.send(
                    view[at:at + (piece or 1 << 18)])
            except BlockingIOError:
                continue
            except OSError:
                key.data[0] = len(view)
            if key.data[0] >= len(view):
                selector.unregister(key.fileobj)
    time.sleep(QUIET_SECONDS)
    return sockets


def status_kb(pid, name):
    with open("/proc/%d/status" % pid) as it:
        for line in it:
            if line.startswith(name + ":"):
                return int(line.split()[1])
    return 0


def check(gateway, store, name, knows_memory):
    listen, health, metrics = free_ports(3)
    command = [gateway, "--host=host", "--failure-domain=a",
               "--listen=127.0.0.1:%d" % listen,
               "--health-listen=127.0.0.1:%d" % health,
               "--metrics-listen=127.0.0.1:%d" % metrics, "--store=" + store]
    if knows_memory:
        command.append("--memory-mb=%d" % MEMORY_MB)
    faults = []
    with tempfile.TemporaryFile() as log:
        process = subprocess.Popen(command, stdout=log, stderr=log)
        try:
            end = time.monotonic() + ORDINARY_SECONDS
            while ordinary(listen) != 200:
                if time.monotonic() > end or process.poll() is not None:
                    log.seek(0)
                    return ["not ready: " + log.read().decode()[-2000:]]
                time.sleep(0.1)
            idle_kb = status_kb(process.pid, "VmRSS")
            sockets = run_crowd(listen, *CROWDS[name])
            if process.poll() is not None:
                return ["the process ended with %d" % process.returncode]
            descriptors = len(os.listdir("/proc/%d/fd" % process.pid))
            for it in sockets:
                it.close()
            end = time.monotonic() + ORDINARY_SECONDS
            while ordinary(listen) != 200:
                if time.monotonic() > end or process.poll() is not None:
                    faults.append("an ordinary request was not answered")
                    break
                time.sleep(0.1)
            if process.poll() is not None:
                return faults + ["the process ended"]
            peak_kb = status_kb(process.pid, "VmHWM")
            print("%s: %d kB idle, %d kB at most, %d descriptors"
                  % (name, idle_kb, peak_kb, descriptors), flush=True)
            if peak_kb > BOUND_KB:
                faults.append("%d kB exceed %d kB" % (peak_kb, BOUND_KB))
            if descriptors > MAX_DESCRIPTORS:
                faults.append("%d descriptors" % descriptors)
        finally:
            process.kill()
            process.wait()
    return faults


def main():
    gateway = sys.argv[1]
    help_text = subprocess.run([gateway, "--help"], capture_output=True,
                               text=True, check=False).stdout
    knows_memory = "--memory-mb" in help_text
    if not knows_memory:
        print("the program has no setting memory-mb")
    put("config", "main", CONFIG)
    put("servers", "i-1", {"service": "app", "address": serve(Target),
                           "zone": "a", "state": "ready", "born": 1})
    store = serve(Store)
    failed = 0
    for name in sys.argv[2:] or CROWDS:
        for fault in check(gateway, store, name, knows_memory):
            print("%s: FAILED: %s" % (name, fault), flush=True)
            failed += 1
    print("untrusted clients check: %s"
          % ("%d faults" % failed if failed else "passed"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
