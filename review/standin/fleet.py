"""Stand-ins of the users' platform for review scripts: store, backend servers, and instances as processes.

Only the standard library is used. Everything listens on loopback addresses and free ports.
"""

import asyncio
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = ["target/release/marjoramwing", "serve", "-c"]
ZONES = {
    "tunis-a": "tunis", "tunis-b": "tunis", "sfax-a": "sfax", "sfax-b": "sfax",
    "tabarka-a": "tabarka", "tabarka-b": "tabarka",
}
BOUNDS = {
    "graceS": 6, "retryBudgetRatio": 0.2, "budgetSlack": 64, "coldOverage": 1.5, "coldSlack": 5,
    "quotaWindowS": 5, "quotaOverage": 0.1, "quotaSlack": 20, "maxShift": 0.15,
}
HEARTBEAT_S = 1.5
# Requests that wait at a server, for each slot, before it turns others away.
QUEUE_PER_SLOT = 3
# Exit status of a broken rule; `run.sh` turns it into 1, so that an error of the script is not taken for one.
BROKEN = 10


class CannotRun(Exception):
    """The case cannot run here; the script ends with 2."""


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


async def read_head(reader):
    """Reads a message head; returns its first line and its headers in lower case, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a whole body, by its length or its chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec=None, status=None):
        """Writes an object and returns the time of the acknowledgement."""
        current = self.objects.get((kind, name))
        old_spec = current["spec"] if current else {}
        old_status = current["status"] if current else {}
        spec = old_spec if spec is None else spec
        status = old_status if status is None else status
        same = current and spec == old_spec and status == old_status
        if kind == "servers" and current and spec == old_spec:
            drop = lambda entry: {key: entry[key] for key in entry if key != "sequence"}
            same = drop(status) == drop(old_status)
        if not same:
            self.revision += 1
            created = current["metadata"]["createdRevision"] if current else self.revision
            self.objects[(kind, name)] = {
                "metadata": {"name": name, "revision": self.revision, "createdRevision": created,
                             "finalizers": [], "deletionRequested": False},
                "spec": spec, "status": status,
            }
            self.history.append((self.revision, kind, self.objects[(kind, name)], False))
            async with self.changed:
                self.changed.notify_all()
        return time.monotonic()

    async def remove(self, kind, name):
        current = self.objects.pop((kind, name), None)
        if current:
            self.revision += 1
            self.history.append((self.revision, kind, current, True))
            async with self.changed:
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, answer = await self.handle(head[0], body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def handle(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        if method == "GET" and len(parts) == 1:
            return await self.watch(parts[0], query) if "watch" in query else self.list(parts[0], query)
        if method == "GET":
            found = self.objects.get((parts[0], parts[1]))
            return (200, found) if found else (404, {})
        written = json.loads(body) if body else {}
        expected = written.get("metadata", {}).get("revision")
        name = parts[1] if len(parts) > 1 else written["metadata"]["name"]
        current = self.objects.get((parts[0], name))
        if method == "POST" and current:
            return 409, current
        if method != "POST" and not current:
            return 404, {}
        if method != "POST" and expected is not None and expected != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            await self.remove(parts[0], name)
            return 200, {}
        if len(parts) == 3:
            await self.put(parts[0], name, status=written.get("status", {}))
        else:
            await self.put(parts[0], name, spec=written.get("spec", {}))
        return (201 if method == "POST" else 200), self.objects[(parts[0], name)]

    def list(self, kind, query):
        names = sorted(name for of_kind, name in self.objects if of_kind == kind)
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[(kind, name)] for name in names[:500]]
        return 200, {"items": items, "more": len(names) > 500, "currentRev": self.revision}

    async def watch(self, kind, query):
        since, ends_at = int(query["watch"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [{"object": found, "deleted": deleted}
                      for revision, of_kind, found, deleted in self.history
                      if revision > since and of_kind == kind]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Server:
    """A backend server that registers itself and keeps its entry up to date.

    `answer(server, head, body, writer, deadline)` is called for each request that it runs. More requests than slots
    wait, up to a bound.
    """

    def __init__(self, store, service, zone, number, answer, record, slots=8):
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.id = f"i-{service}-{number}"
        self.answer, self.record = answer, record
        self.running = 0
        self.waiting = 0
        self.connections = {}

    async def start(self, port=0, cold_s=0.0):
        """Listens and registers; a port of 0 means any free one."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.spec = {
            "address": f"127.0.0.1:{self.port}", "born": int(time.time() * 1000),
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
        }
        self.cold_until = time.monotonic() + cold_s
        self.heartbeat = asyncio.ensure_future(self.keep_registered())

    async def keep_registered(self):
        sequence = 0
        while True:
            sequence += 1
            cold_s = round(max(0.0, self.cold_until - time.monotonic()), 1)
            status = {"state": "ready", "sequence": sequence, "coldRemainingS": cold_s}
            await self.store.put("servers", self.id, self.spec, status)
            await asyncio.sleep(HEARTBEAT_S)

    def head(self, status, request, extra=""):
        stamp = f"{self.id}.{request[1].get('request-id', '')}"
        return (f"HTTP/1.1 {status} X\r\nRequest-Id: {request[1].get('request-id', '')}\r\n"
                f"Server-Stamp: {stamp}\r\nServer-Load: {self.running},{self.waiting},{self.slots}\r\n{extra}")

    async def serve(self, reader, writer):
        self.connections[writer] = reader
        try:
            while request := await read_head(reader):
                began = time.monotonic()
                body = await read_body(reader, request[1])
                deadline = began + float(request[1].get("deadline-ms", 60000)) / 1000
                if await self.take_slot(request, reader, writer, deadline):
                    try:
                        await self.answer(self, request, body, writer, deadline)
                    finally:
                        self.running -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            close(writer)

    async def take_slot(self, request, reader, writer, deadline):
        """Waits for a slot; answers a request that gets none or belongs elsewhere, and returns False."""
        if request[0].startswith("GET /health "):
            writer.write(f"HTTP/1.1 200 X\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return False
        if request[1].get("expect-instance", self.id) != self.id:
            self.refuse(421, request, writer)
            return False
        if self.running >= self.slots and self.waiting >= QUEUE_PER_SLOT * self.slots:
            self.refuse(503, request, writer)
            return False
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await asyncio.sleep(0.005)
                if is_gone(reader):
                    raise ConnectionResetError
                if time.monotonic() >= deadline:
                    self.refuse(503, request, writer)
                    return False
        finally:
            self.waiting -= 1
        self.running += 1
        return True

    def refuse(self, status, request, writer):
        head = self.head(status, request, "Not-Executed: 1\r\n")
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())

    async def work(self, seconds, request, writer, deadline):
        """Works for a time; stops when the channel closes, and at the time budget with 504."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(min(0.02, max(0.0, ends_at - time.monotonic())))
            if writer not in self.connections or is_gone(self.connections[writer]):
                raise ConnectionResetError
            if time.monotonic() >= deadline:
                writer.write(f"{self.head(504, request)}Content-Length: 0\r\n\r\n".encode())
                return False
        return True


def is_gone(reader):
    return reader.at_eof() or reader.exception() is not None


class Client:
    """A client of a zone: it asks the directory, opens a channel for each request and repeats a safe one once."""

    def __init__(self, host, zone, instances, record):
        self.host, self.zone, self.record = host, zone, record
        distance = lambda it: (it.zone != zone, ZONES[it.zone] != ZONES[zone])
        self.nearest = sorted(instances, key=distance)[:3]
        self.addresses, self.valid_until = [], 0.0

    async def resolve(self):
        if time.monotonic() < self.valid_until:
            return
        target = f"/-/resolve?name={self.host}&region={ZONES[self.zone]}&zone={self.zone}"
        for instance in self.nearest:
            try:
                text = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nConnection: close\r\n\r\n"
                status, _, data, whole = await asyncio.wait_for(request(instance.directory, text), 1)
                answer = json.loads(data) if status == 200 and whole else {}
            except (OSError, asyncio.TimeoutError):
                continue
            if answer.get("addresses"):
                self.addresses = answer["addresses"]
                self.valid_until = time.monotonic() + min(answer["ttlS"], 5)
                return

    async def get(self, path, label, key, budget_s, on_attempt):
        """Sends a safe request, and once more after a failure; `on_attempt` gets each attempt's time and end."""
        ends_at, failed = time.monotonic() + budget_s, set()
        for attempt in range(2):
            await self.resolve()
            left = ends_at - time.monotonic()
            choice = [address for address in self.addresses if address not in failed] or self.addresses
            address, at = random.choice(choice) if choice else None, self.record.now()
            text = (f"GET {path} HTTP/1.1\r\nHost: {self.host}\r\nRequest-Id: {label}-{attempt}\r\n"
                    f"Deadline-Ms: {int(left * 1000)}\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n")
            try:
                if address is None:
                    raise ConnectionError
                status, headers, _, whole = await asyncio.wait_for(request(address, text), left)
            except (OSError, asyncio.TimeoutError):
                status, headers, whole = None, {}, False
            wait = f", Retry-After {headers['retry-after']}" if "retry-after" in headers else ""
            self.record.write(f"{label}-{attempt} sent at {at:.3f} to {address}: status {status}{wait}")
            on_attempt(at, status == 200 and whole)
            if status in (200, 400, 401, 404, 413, 431):
                return
            failed.add(address)
            left = ends_at - time.monotonic()
            pause = min(float(headers.get("retry-after", 0.05)), left / 3)
            if left <= 0.2:
                return
            await asyncio.sleep(max(0.0, pause))


def crash_together(servers):
    """Ends servers at once: connections are reset, new ones are refused, and nothing is written.

    Connections are reset in turn among the servers, as the processes of several machines end together.
    """
    for server in servers:
        server.heartbeat.cancel()
        server.listener.close()
    for group in itertools.zip_longest(*(list(server.connections) for server in servers)):
        for writer in filter(None, group):
            writer.transport.abort()


def route(name, host, prefix, kind, service, timeout_s):
    return {"resourceKind": "routes", "metadata": {"name": name}, "spec": {
        "host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s, "targetLatencyS": 1.0,
        "priority": 1, "service": service, "maxAttempts": 2, "public": False, "sessionAffinity": False,
        "allowedRegions": []}}


def service(name):
    return {"resourceKind": "services", "metadata": {"name": name}, "spec": {
        "healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": False}}


def tenant(name, keys):
    return {"resourceKind": "tenants", "metadata": {"name": name}, "spec": {
        "apiKeys": keys, "priority": 0, "ratePerS": 0, "burst": 0, "allowedRegions": []}}


LIMITS = {"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": {
    "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 10, "idleTimeoutS": 30}}


def configuration(version, resources):
    return {"version": f"r{version}", "resources": resources + [LIMITS]}


PORTS_EACH = 400


def free_addresses():
    """Yields free addresses, with ports that the system gives to no outgoing connection.

    Scripts that run side by side mostly have ranges of their own.
    """
    first = 20000 + os.getpid() % 30 * PORTS_EACH
    for port in range(first, first + PORTS_EACH):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield f"127.0.0.1:{port}"
    raise CannotRun("no port is free")


ADDRESSES = free_addresses()


def render(template, fields):
    """Fills in a settings template as the platform does, as far as `deploy/instance.toml` needs it."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    def section(match):
        rows = fields[match.group(1)].items()
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", entry) for key, entry in rows)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match.group(1)), text)


class Instance:
    """One process of the deploy file's role."""

    def __init__(self, number, store, directory):
        zone = self.zone = list(ZONES)[number % len(ZONES)]
        self.name = f"edge-{zone}-{number}"
        front, self.directory, self.readiness, peers, admin = (next(ADDRESSES) for _ in range(5))
        self.front = front
        ports = [int(address.rsplit(":", 1)[1]) for address in (peers, admin)]
        fields = {
            "node": self.name, "zone": zone, "region": ZONES[zone], "ip": "127.0.0.1", "zones": ZONES,
            "listen": {"front": front, "directory": self.directory, "readiness": self.readiness},
            "internalPorts": ports, "platform": {"address": store.address}, "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy/instance.toml"), encoding="utf-8") as file:
            settings = render(file.read(), fields)
        self.settings = os.path.join(directory, f"{self.name}.toml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)
        self.log = os.path.join(directory, f"{self.name}.log")
        self.process = None

    def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "MARJORAMWING_PEER_SECRET": "peers of one deployment",
            "MARJORAMWING_OPERATOR_SECRET": "operators of one deployment", "MIMALLOC_ALLOW_THP": "0",
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                PROGRAM + [self.settings], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    async def wait_ready(self):
        for _ in range(200):
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {open(self.log).read()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(*split(self.readiness))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200" in head[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


def close(writer):
    """Closes a connection; its event loop may have ended with the case."""
    try:
        writer.close()
    except RuntimeError:
        pass


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def request(address, text, body=b"", on_open=None):
    """Sends one request on a new connection; returns status, headers, body and whether it is whole.

    The status is None if the connection ended without an answer.
    """
    reader, writer = await asyncio.open_connection(*split(address), limit=1 << 20)
    try:
        writer.write(text.encode("latin-1") + body)
        await writer.drain()
        if on_open:
            on_open(writer)
        head = await read_head(reader)
        if not head:
            return None, {}, b"", False
        data, whole = await read_answer(reader, head[1])
        return int(head[0].split(" ")[1]), head[1], data, whole
    except ConnectionError:
        return None, {}, b"", False
    finally:
        writer.close()


async def read_answer(reader, headers):
    """Reads an answer's body as far as it comes; returns it and whether it is whole."""
    data = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return data, True
                data += await reader.readexactly(size)
                await reader.readexactly(2)
        left = int(headers.get("content-length", 0))
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                return data, False
            data, left = data + part, left - len(part)
        return data, True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return data, False


def run_case(case, folder):
    """Runs `case(record, trouble, start)` and ends the process with its verdict.

    `start(store, count)` starts instances and waits until they are ready. All of them are ended.
    """
    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started = []

    async def start(store, count, directory):
        instances = [Instance(number, store, directory) for number in range(count)]
        for instance in instances:
            instance.start()
            started.append(instance)
        for instance in instances:
            await instance.wait_ready()
        record.write(f"{count} instances are ready")
        return instances

    async def main(directory):
        return await asyncio.wait_for(
            case(record, trouble, lambda store, count: start(store, count, directory)), 110)

    with tempfile.TemporaryDirectory(prefix="review-") as directory:
        try:
            if not os.path.exists(os.path.join(ROOT, PROGRAM[0])):
                raise CannotRun("the deploy file's build has not run")
            broken = asyncio.run(main(directory))
            verdict = BROKEN if broken else 0
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            verdict = 2
        finally:
            for instance in started:
                if instance.process.poll() is None:
                    instance.process.kill()
                instance.process.wait()
    record.write({0: "the rule held", BROKEN: "the rule was broken", 2: "not run"}[verdict])
    print({0: "held", BROKEN: "broken", 2: "could not run"}[verdict])
    sys.exit(verdict)
