"""Stand-ins of the users' platform for the scripts of the second review: the store, plain servers, model servers, nodes.

Python 3 with its standard library alone. Everything listens on 127.0.0.1, on free ports. What the pages leave open is
done as a sound store or server would do it.
"""

import asyncio
import base64
import ctypes
import hashlib
import json
import os
import shlex
import signal
import socket
import struct
import subprocess
import sys
import time
import tomllib
import traceback
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


def free_ports(count):
    """Ports that are free now and differ from each other."""
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind((HOST, 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """record.txt of a case, and the same lines on standard output."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:9.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        split = urlsplit(target)
        self.path = split.path
        self.query = {key: values[0] for key, values in parse_qs(split.query).items()}
        self.headers = headers
        self.body = body

    def header(self, name, otherwise=None):
        return self.headers.get(name.lower(), otherwise)


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if size:
                    body += await reader.readexactly(size)
                await reader.readline()
                if not size:
                    break
        elif int(headers.get("content-length", "0")) > 0:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 421: "Misdirected", 429: "Too Many",
               500: "Internal", 503: "Unavailable"}
    head = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: a log of topics, keyed ones included. Each caller may have a door of its own."""

    def __init__(self, append_ms=4.0, read_mb_per_s=80.0, part_mb=200):
        self.append_s = append_ms / 1000
        self.read_bytes_per_s = read_mb_per_s * 1e6
        self.part_bytes = part_mb << 20
        self.parts = {}
        self.first = {}
        self.bytes = {}
        self.changed = asyncio.Event()
        self.locks = {}
        self.read_free_at = 0.0
        self.doors = []
        self.faults = {}
        self.writers = {}

    async def open(self, name):
        server = await asyncio.start_server(lambda r, w: self.serve(name, r, w), HOST, 0, limit=1 << 16)
        self.doors.append(server)
        self.faults[name] = None
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def append_now(self, topic, part, records):
        log = self.parts.setdefault((topic, part), [])
        offset = self.first.get((topic, part), 0) + len(log)
        log.extend(records)
        size = self.bytes.get((topic, part), 0) + sum(map(len, records))
        while size > self.part_bytes and not topic.startswith("keyed."):
            size -= len(log.pop(0))
            self.first[(topic, part)] = self.first.get((topic, part), 0) + 1
        self.bytes[(topic, part)] = size
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset

    def put(self, topic, key, value):
        name = key.encode()
        self.append_now(topic, 0, [bytes([len(name)]) + name + (b"" if value is None else json.dumps(value).encode())])

    def end(self, topic, part):
        return self.first.get((topic, part), 0) + len(self.parts.get((topic, part), []))

    async def serve(self, door, reader, writer):
        self.writers.setdefault(door, set()).add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                fault = self.faults[door]
                reply = None
                if fault is not None:
                    reply = await fault(self, door, request, writer)
                if reply is None:
                    reply = await self.reply(request)
                if reply == b"silent":
                    await asyncio.sleep(3600)
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers[door].discard(writer)
            writer.close()

    async def reply(self, request):
        name = request.path.removeprefix("/passhaven/log-")
        if request.method == "POST" and name == "append":
            return await self.append(request)
        if request.method == "GET" and name == "read":
            return await self.read(request)
        if request.method == "GET" and name == "newest":
            return self.newest(request)
        if request.method == "POST" and name == "trim":
            tree = json.loads(request.body)
            key = (tree["topic"], tree["part"])
            drop = max(0, min(len(self.parts.get(key, [])), tree["before"] - self.first.get(key, 0)))
            del self.parts.get(key, [])[:drop]
            self.first[key] = self.first.get(key, 0) + drop
            return answer(200)
        return answer(404)

    async def append(self, request):
        topic, part = request.query["topic"], int(request.query["part"])
        if topic == "keyed.servers":
            return answer(403)
        if len(request.body) > 2_097_152:
            return answer(413)
        records, at = [], 0
        while at < len(request.body):
            (length,) = struct.unpack_from(">I", request.body, at)
            if length > 262_144:
                return answer(413)
            records.append(request.body[at + 4 : at + 4 + length])
            at += 4 + length
        async with self.locks.setdefault((topic, part), asyncio.Lock()):
            await asyncio.sleep(self.append_s + len(request.body) / 20e6)
            offset = self.append_now(topic, part, records)
        return answer(200, json.dumps({"offset": offset, "end": self.end(topic, part)}).encode(),
                      [("Content-Type", "application/json")])

    async def read(self, request):
        key = (request.query["topic"], int(request.query["part"]))
        start = int(request.query["rangeStart"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        most = int(request.query.get("max_kb", "1024")) * 1024
        while True:
            first = self.first.get(key, 0)
            log = self.parts.get(key, [])
            if start < first:
                return answer(410, json.dumps({"first": first}).encode(), [("Content-Type", "application/json")])
            left = until - time.monotonic()
            if start < first + len(log) or left <= 0:
                break
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", first + len(log), first)
        pieces = [body]
        size = len(body)
        for record in log[start - first :]:
            if size + 4 + len(record) > most:
                break
            pieces.append(struct.pack(">I", len(record)) + record)
            size += 4 + len(record)
        now = time.monotonic()
        self.read_free_at = max(now, self.read_free_at) + size / self.read_bytes_per_s
        await asyncio.sleep(max(0, self.read_free_at - now))
        return answer(200, b"".join(pieces))

    def newest(self, request):
        key = (request.query["topic"], int(request.query["part"]))
        newest = {}
        for offset, record in enumerate(self.parts.get(key, []), self.first.get(key, 0)):
            length = record[0]
            newest[record[1 : 1 + length].decode()] = (record[1 + length :], offset)
        names = sorted(name for name in newest if newest[name][0] and name > request.query.get("sinceRevision", ""))
        entries, size, more = [], 0, False
        for name in names:
            value, offset = newest[name]
            if len(entries) == 500 or (entries and size + len(value) > 1_000_000):
                more = True
                break
            size += len(value)
            entries.append({"privateKey": name, "value": base64.b64encode(value).decode(), "offset": offset})
        return answer(200, json.dumps({"requests": entries, "more": more, "end": self.end(*key)}).encode(),
                      [("Content-Type", "application/json")])


class Server:
    """A plain or a model server of a service, with its entry in the store."""

    def __init__(self, store, record, service, zone, model=None, slots=8, events=6, pause_ms=20, work_ms=10):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.model, self.version, self.slots = model, 1, slots
        self.events, self.pause_s, self.work_s = events, pause_ms / 1000, work_ms / 1000
        self.id = "i-" + os.urandom(6).hex()
        self.sequence = 0
        self.beat = 0
        self.state = "ready"
        self.runs = []
        self.working = {}
        self.spans = []
        self.connections = set()
        self.hook = None
        self.loading = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 16)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        self.write_entry()
        return self

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}] if self.model else []

    def write_entry(self):
        self.beat += 1
        entry = {"backend": self.service, "address": self.address, "zone": self.zone, "version": "1.0",
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.beat}
        if self.model:
            entry["phase"] = "dual"
            entry["models"] = self.models()
        self.store.put("keyed.servers", self.id, entry)

    def signature(self, request):
        return hashlib.sha256((request.header("attempt-id", "") + self.id).encode()).hexdigest()[:16]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.serve_one(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, request, reader, writer):
        expected = request.header("expect-instance")
        if expected is not None and expected != self.id:
            writer.write(answer(421, b"", [("Not-Executed", "1")]))
            return True
        if request.path == "/passhaven/report":
            tree = {"phase": "dual", "models": self.models(), "utilization": self.loading, "sequence": self.sequence,
                    "queuedCount": 0, "activeCount": len(self.working), "kvUsed": 0, "kvTotal": 100000,
                    "capabilities": 0}
            writer.write(answer(200, json.dumps(tree).encode(), [("Content-Type", "application/json")]))
            return True
        if request.path == "/passhaven/order":
            return await self.order(request, writer)
        if request.path == "/healthz":
            writer.write(answer(200, b"", [("Instance-Id", self.id)]))
            return True
        if self.hook is not None:
            done = await self.hook(self, request, reader, writer)
            if done is not None:
                return done
        attempt = request.header("attempt-id", "")
        if self.model and len(self.working) >= self.slots:
            writer.write(answer(503, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return True
        self.runs.append((time.monotonic(), attempt, request))
        self.record("server", self.id, "runs", request.method, request.target, attempt,
                    "after", request.header("last-event-id", "0"))
        if self.model:
            return await self.stream(request, writer, attempt)
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, b"ok " + attempt.encode(), self.heads(request)))
        await writer.drain()
        return True

    def heads(self, request):
        return [("Attempt-Id", request.header("attempt-id", "")), ("Server-Signature", self.signature(request))]

    async def stream(self, request, writer, attempt):
        first = int(request.header("last-event-id", "0")) + 1
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"Weight-Versions: {self.version}"] + [f"{n}: {v}" for n, v in self.heads(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        key = object()
        self.working[key] = attempt
        span = {"item": attempt, "begin": time.monotonic(), "end": None, "finished": False}
        self.spans.append(span)
        try:
            for event in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s)
                if writer.is_closing():
                    return False
                data = f"id: {event}\ndata: {event_data(attempt, event)}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            span["finished"] = not writer.is_closing()
        finally:
            span["end"] = time.monotonic()
            del self.working[key]
        return True

    async def order(self, request, writer):
        tree = json.loads(request.body)
        self.record("server", self.id, "order", json.dumps(tree))
        if self.loading or tree.get("expectedRevision", self.sequence) != self.sequence:
            writer.write(answer(409))
        elif tree["version"] <= self.version:
            writer.write(answer(200))
        else:
            self.sequence += 1
            self.loading = True
            asyncio.get_running_loop().call_later(0.9, self.loaded, tree["version"])
            writer.write(answer(202))
        return True

    def loaded(self, version):
        self.loading = False
        self.version = version
        self.write_entry()


def left_lying(items, servers, begin, end):
    """Items that no server finished and that were at no server from begin to end, by what the servers saw.

    Empty also if no item of the list had begun, or if the servers were half full or fuller at some time in between.
    """
    spans = [span for server in servers for span in server.spans if span["item"] in items]
    crossing = [span for server in servers for span in server.spans
                if span["begin"] < end and (span["end"] is None or span["end"] > begin)]
    moments = [begin] + [span["begin"] for span in crossing if span["begin"] > begin]
    most = max(sum(span["begin"] <= at and (span["end"] is None or span["end"] > at) for span in crossing)
               for at in moments)
    if not spans or most * 2 >= sum(server.slots for server in servers):
        return []
    busy = {span["item"] for span in crossing} | {span["item"] for span in spans if span["finished"]}
    return [item for item in items if item not in busy]


def event_data(attempt, event):
    return hashlib.sha256(f"{attempt}/{event}".encode()).hexdigest()[:24]


def whole_text(attempt, events):
    return "\n".join(event_data(attempt, event) for event in range(1, events + 1))


def deploy():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        return tomllib.load(file)


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.3, "drainMs": 2000,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
          "recoverS": 12, "iterationMs": 120, "retryAfterS": 0, "finishS": 10, "statusS": 120, "cancelMs": 3000,
          "settleMs": 1000, "quotaOverage": 0.1, "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300,
          "ttl_max_s": 5}


def end_with_parent():
    """Runs in a new process: it is killed if the script ends without having ended it."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def run_case(main):
    """Runs a case and ends the script: status 10 if the rule was broken (run.sh makes it 1), 0 if it held, else 2."""

    async def guarded():
        task = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2

    try:
        status = asyncio.run(guarded())
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit({0: 0, 1: 10}.get(status, 2))


class Node:
    """One process of the system, started by the run line of the deploy file."""

    def __init__(self, name, zone, zones, folder, store_address, memory_mb=440):
        self.name, self.folder = name, folder
        ports = free_ports(4)
        self.front = f"{HOST}:{ports[0]}"
        self.ready_address = f"{HOST}:{ports[1]}"
        self.settings = {
            "nodeName": name, "role": "gateway", "machineClass": "edge", "serves": ["edge", "registry"],
            "ip": HOST, "zone": zone, "region": "khomas", "zones": {each: "khomas" for each in zones},
            "listen": {"frontend": self.front, "ready": self.ready_address, "registry": f"{HOST}:{ports[2]}",
                       "controlPlane": f"{HOST}:{ports[3]}"},
            "bootstrap": True, "faultCounted": False, "discovery": "platform", "entry": "registry",
            "heartbeatMs": 1200, "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                                              "engine", "batch", "platform"],
            "limits": {"cpuShare": 0.75, "cores": 2, "memoryMb": memory_mb, "maxFds": 8200, "linkMbps": 1000.0,
                       "diskMb": 0},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0, "read_mb_per_s": 80.0,
                         "record_bytes": 262144, "call_bytes": 2097152, "maxQueueS": 300, "part_mb": 200,
                         "ttl_min_ms": 1000}}
        self.starts = 0
        self.process = None

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        command = shlex.split(deploy()["roles"]["gateway"]["run"])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "JAVA_HOME", "LANG") if key in os.environ}
        environment["PASSHAVEN_CONFIG"] = path
        self.starts += 1
        self.log_path = os.path.join(self.folder, f"{self.name}-{self.starts}.log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
                                            preexec_fn=end_with_parent)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    async def ready(self):
        try:
            status, _, _ = await call(self.ready_address, "GET", "/passhaven/readyz", limit=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def call(address, method, target, headers=(), body=b"", limit=3.0):
    """One call on a new connection: status, headers, body. Fails with OSError or a time-out."""

    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                lines.append("Host: " + address)
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            found = {}
            for line in head[1:]:
                if line:
                    name, value = line.split(":", 1)
                    found[name.lower()] = value.strip()
            if "content-length" in found:
                content = await reader.readexactly(int(found["content-length"]))
            elif "chunked" in found.get("transfer-encoding", ""):
                content = b""
                while True:
                    size = int((await reader.readline()).strip(), 16)
                    content += await reader.readexactly(size)
                    await reader.readline()
                    if not size:
                        break
            else:
                content = await reader.read()
            return status, found, content
        finally:
            writer.close()

    return await asyncio.wait_for(run(), limit)
