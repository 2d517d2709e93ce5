"""A small stand-in of the users' platform for the review's scripts: store, plain servers, clients,
and the start of the project's own program as separate processes. Python 3 standard library only;
everything listens on 127.0.0.1. It follows the users' PROTOCOL page and does no more than the page
allows."""

import asyncio
import base64
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
START = time.monotonic()
HELD, BROKEN, NOT_RUN = 0, 10, 2
PARENT_DEATH_SIGNAL = 1
LIBC = ctypes.CDLL(None)
STARTED = []


def die_with_parent():
    """Runs in a process that a script starts: the kernel ends it if the script is killed."""
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


def end_started():
    """Ends all processes that were started and are still there."""
    for process in STARTED:
        if process.returncode is None and getattr(process, "poll", lambda: None)() is None:
            try:
                os.kill(process.pid, signal.SIGCONT)
                os.kill(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass


def run_case(play, script, seconds=108):
    """Plays a case, which returns HELD, BROKEN or NOT_RUN, and exits with that. Whatever ends it, a
    signal, a failure of a stand-in or the time, all processes are ended and the record is written."""
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGTERM)
    record = Record()

    async def guarded(folder):
        task, loop = asyncio.current_task(), asyncio.get_running_loop()

        def interrupt():
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                loop.add_signal_handler(number, lambda: None)
            task.cancel()

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, interrupt)
        return await asyncio.wait_for(play(folder, record), seconds)

    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            try:
                status = asyncio.run(guarded(folder))
            finally:
                end_started()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for log in Path(folder).glob("*.log"):
                        Path(keep, log.name).write_bytes(log.read_bytes())
    except BaseException as failure:  # also a signal: then the case didn't run
        record.add(f"the case couldn't run: {failure!r}")
        print(f"the case couldn't run: {failure!r}")
    record.write(Path(script).with_name("record.txt"))
    sys.exit(status)


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Lines of what was sent, answered and run, written to record.txt at the end."""

    def __init__(self):
        self.lines = []

    def add(self, text, at=None):
        self.lines.append((now() if at is None else at, text))

    def write(self, path):
        with open(path, "w") as out:
            for at, text in self.lines:
                out.write(f"{at:9.3f} {text}\n")


def free_ports(count):
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind((HOST, 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b"".join(parts)


async def read_request(reader):
    """Returns the next request of a connection; None at its end."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunked(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Request(method, target, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def answer_bytes(status, headers, body):
    head = [f"HTTP/1.1 {status} X"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on a connection; subclasses answer in `serve`."""

    def __init__(self):
        self.server = None
        self.port = None
        self.writers = set()
        self.tasks = set()

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._connection, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if await self.serve(request, reader, writer) is False:
                    return
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError

    def crash(self):
        """Ends the server as a crash does: nothing listens, all connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()


def reset(writer):
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Store(HttpServer):
    """The platform's store: partitions of records, and the newest record of each key."""

    APPEND_SECONDS = 0.004

    def __init__(self):
        super().__init__()
        self.parts = {}
        self.newest = {}
        self.turns = {}
        self.changed = {}
        self.delay_seconds = 0.0

    def part(self, topic, number):
        return self.parts.setdefault((topic, number), [])

    def append(self, topic, number, records):
        part = self.part(topic, number)
        first = len(part)
        for record in records:
            if topic.startswith("keyed."):
                end = 1 + record[0]
                key, value = record[1:end].decode(), record[end:]
                table = self.newest.setdefault((topic, number), {})
                if value:
                    table[key] = (value, len(part))
                else:
                    table.pop(key, None)
            part.append(record)
        changed = self.changed.pop((topic, number), None)
        if changed is not None:
            changed.set()
        return first

    def put(self, topic, key, document):
        """Writes a document as the operator, a trainer or a server does."""
        value = b"" if document is None else json.dumps(document).encode()
        name = key.encode()
        self.append(topic, 0, [bytes([len(name)]) + name + value])

    async def serve(self, request, reader, writer):
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        query = request.query
        key = (query.get("topic"), int(query.get("part", "0")))
        path = request.path
        if path == "/passhaven/log-append":
            records, at = [], 0
            while at < len(request.body):
                size = int.from_bytes(request.body[at : at + 4], "big")
                records.append(request.body[at + 4 : at + 4 + size])
                at += 4 + size
            if key[0] == "keyed.servers":
                writer.write(answer_bytes(403, {}, b""))
                return
            if any(len(record) > 262144 for record in records) or len(request.body) > 2097152:
                writer.write(answer_bytes(413, {}, b""))
                return
            turn = self.turns.setdefault(key, asyncio.Lock())
            async with turn:
                await asyncio.sleep(self.APPEND_SECONDS)
                first = self.append(key[0], key[1], records)
            self._json(writer, {"offset": first, "end": len(self.part(*key))})
        elif path == "/passhaven/log-read":
            start = int(query["rangeStart"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            part = self.part(*key)
            while len(part) <= start and time.monotonic() < until:
                changed = self.changed.setdefault(key, asyncio.Event())
                try:
                    await asyncio.wait_for(changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            room = int(query.get("max_kb", "1024")) * 1024
            out = [len(part).to_bytes(8, "big"), (0).to_bytes(8, "big")]
            for record in part[start:]:
                room -= 4 + len(record)
                if room < 0:
                    break
                out.append(len(record).to_bytes(4, "big") + record)
            writer.write(answer_bytes(200, {}, b"".join(out)))
        elif path == "/passhaven/log-newest":
            after = query.get("sinceRevision", "")
            table = self.newest.get(key, {})
            rows = [
                {"privateKey": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in sorted(table.items())
                if k > after
            ]
            self._json(
                writer,
                {"requests": rows[:500], "more": len(rows) > 500, "end": len(self.part(*key))},
            )
        elif path == "/passhaven/log-trim":
            self._json(writer, {})
        else:
            writer.write(answer_bytes(404, {}, b""))

    @staticmethod
    def _json(writer, document):
        body = json.dumps(document).encode()
        writer.write(answer_bytes(200, {"Content-Type": "application/json"}, body))


class Server(HttpServer):
    """One start of a server of a service: lists itself in the store while it runs."""

    counter = 0

    def __init__(self, store, service, zone, slots, record):
        super().__init__()
        Server.counter += 1
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.record = record
        self.instance = f"i-{Server.counter:04d}{os.urandom(3).hex()}"
        self.active = 0
        self.models = []

    async def start(self):
        await self.open()
        self.list()
        return self

    def entry(self):
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "phase": "dual",
            "models": self.models,
            "sequence": 0,
        }

    def list(self):
        self.store.put("keyed.servers", self.instance, self.entry())

    def unlist(self):
        self.store.put("keyed.servers", self.instance, None)

    def misdirected(self, request, writer):
        """Answers 421 if another start of a server is expected."""
        expected = request.header("Expect-Instance")
        if expected in (None, self.instance):
            return False
        writer.write(answer_bytes(421, {"Instance-Id": self.instance}, b""))
        return True


class PlainServer(Server):
    """Answers each request after a fixed time, with a signed body; 504 at the request's deadline."""

    def __init__(self, store, service, zone, slots, work_seconds, record):
        super().__init__(store, service, zone, slots, record)
        self.work_seconds = work_seconds
        self.runs = 0

    async def serve(self, request, reader, writer):
        if request.path == "/healthz":
            writer.write(answer_bytes(200, {"Instance-Id": self.instance}, b""))
            return
        if self.misdirected(request, writer):
            return
        identity = request.header("Attempt-Id")
        if identity is None:
            writer.write(answer_bytes(400, {"Not-Executed": "1"}, b""))
            return
        if self.active >= self.slots:
            headers = {"Not-Executed": "1", "Attempt-Id": identity}
            writer.write(answer_bytes(503, headers, b""))
            return
        self.active += 1
        self.runs += 1
        self.record.add(f"run begins: request {identity} at server {self.instance}")
        closed = asyncio.ensure_future(reader.read(1))
        try:
            deadline = int(request.header("Deadline-Ms", "60000")) / 1000
            done, _ = await asyncio.wait({closed}, timeout=min(self.work_seconds, deadline))
            if done:
                self.record.add(
                    f"run ends: request {identity} at server {self.instance}:"
                    " the caller has closed its connection"
                )
                return False
        finally:
            self.active -= 1
            if not closed.done():
                closed.cancel()
                try:
                    await closed
                except asyncio.CancelledError:
                    pass
        body = (identity + " " + self.instance + "\n").encode() * 20
        headers = {"Attempt-Id": identity, "Server-Signature": f"sig.{self.instance}.{identity}"}
        if deadline < self.work_seconds:
            self.record.add(f"run ends: request {identity} at server {self.instance}: its deadline")
            writer.write(answer_bytes(504, headers, b""))
            return
        self.record.add(f"run ends: request {identity} at server {self.instance}: answered 200")
        writer.write(answer_bytes(200, headers, body))


class Nodes:
    """The project's program, started by the run line of the deploy file."""

    def __init__(self, store, folder, count, zones, bounds, record, memory_mb=440):
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["gateway"]["run"].split()
        self.folder, self.record = Path(folder), record
        self.nodes = []
        for i in range(count):
            front, ready, registry = free_ports(3)
            zone = zones[i % len(zones)]
            settings = {
                "nodeName": f"edge-{zone}-{i + 1}",
                "role": "gateway",
                "machineClass": "edge",
                "serves": ["edge", "registry"],
                "ip": HOST,
                "zone": zone,
                "region": "region",
                "zones": {each: "region" for each in zones},
                "listen": {
                    "frontend": f"{HOST}:{front}",
                    "ready": f"{HOST}:{ready}",
                    "registry": f"{HOST}:{registry}",
                },
                "portRange": [1, 1],
                "seedNodes": [],
                "bootstrap": True,
                "faultCounted": False,
                "limits": {
                    "cpuShare": 0.75,
                    "cores": 2,
                    "memoryMb": memory_mb,
                    "maxFds": 8200,
                    "linkMbps": 1000.0,
                    "diskMb": 0,
                },
                "discovery": "platform",
                "entry": "registry",
                "heartbeatMs": 1200,
                "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                              "engine", "batch", "platform"],
                "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
                "bounds": bounds,
                "platform": {
                    "address": store.address,
                    "form": "log",
                    "writes_per_s": 800,
                    "reads_per_s": 2000,
                    "parts": 8,
                    "append_ms": 4.0,
                    "part_mb_per_s": 20.0,
                    "read_mb_per_s": 80.0,
                    "record_bytes": 262144,
                    "call_bytes": 2097152,
                    "maxQueueS": 300,
                    "part_mb": 200,
                    "ttl_min_ms": 1000,
                },
            }
            self.nodes.append(Node(self, settings))

    def start(self):
        for node in self.nodes:
            node.start()

    async def until_ready(self, seconds=25):
        end = time.monotonic() + seconds
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def end_all(self):
        for node in self.nodes:
            node.kill()


class Node:
    def __init__(self, nodes, settings):
        self.nodes, self.settings = nodes, settings
        self.name = settings["nodeName"]
        self.process = None

    @property
    def frontend(self):
        return self.settings["listen"]["frontend"]

    def start(self):
        file = self.nodes.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG")
            if name in os.environ
        }
        environment["PASSHAVEN_CONFIG"] = str(file)
        with open(self.nodes.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.nodes.command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
                preexec_fn=die_with_parent,
            )
        STARTED.append(self.process)
        self.nodes.record.add(f"process of {self.name} starts")

    def send(self, number):
        self.nodes.record.add(f"process of {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.settings["listen"]["ready"], "GET", "/passhaven/readyz", {}, b""), 1
            )
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


class Connection:
    """A client's connection; `send` returns status, headers and body of the whole answer."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address):
        host, _, port = address.rpartition(":")
        return Connection(*await asyncio.open_connection(host, int(port), limit=1 << 24))

    async def send(self, method, target, headers, body):
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        first, got = await read_head(self.reader)
        if got.get("transfer-encoding", "").lower() == "chunked":
            content = await read_chunked(self.reader)
        else:
            content = await self.reader.readexactly(int(got.get("content-length", "0")))
        return int(first.split(" ")[1]), got, content

    def close(self):
        self.writer.close()


async def call(address, method, target, headers, body):
    """One call over a new connection."""
    connection = await Connection.open(address)
    try:
        return await connection.send(method, target, {"Host": address, **headers}, body)
    finally:
        connection.close()
