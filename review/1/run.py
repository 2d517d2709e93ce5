"""Servers that answer long requests early and without a length crash while they read: is a cut
answer handed to the client as a whole one? Run it by run.sh."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from platform_standin import (  # noqa: E402
    BROKEN, HELD, HOST, NOT_RUN, STARTED, Connection, Nodes, Store, die_with_parent, free_ports,
    now, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANDOM = random.Random(57)
SERVER = Path(__file__).resolve().parents[1] / "standin" / "long_body_server.py"
SERVERS = 6
SLOTS = 6
BODY_BYTES = 16 * 1024 * 1024
DEADLINE_MS = 8000
CRASHES = 5
DOWN_S = 1.0
HOST_NAME = "upload.example"
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.3,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoverS": 12, "iterationMs": 120,
    "retryAfterS": 0, "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000,
    "quotaOverage": 0.1, "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300, "ttl_max_s": 5,
}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "upload", "hostname": HOST_NAME, "pathPrefix": "/upload/",
            "routeType": "idempotent", "timeoutMs": DEADLINE_MS, "targetLatencyMs": 6000,
            "priority": 2, "backend": "uploads", "maxAttempts": 2,
        }
    ],
    "services": [
        {"name": "uploads", "healthPath": "/healthz", "maxConnections": 150, "protocol": "h1",
         "tls": False}
    ],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class LongBodyServer:
    """One place in the service; each start is a process and an instance of its own."""

    def __init__(self, number, store, record):
        self.number, self.store, self.record = number, store, record
        self.port = free_ports(1)[0]
        self.starts, self.process, self.instance = 0, None, None
        self.running, self.whole = set(), {}

    async def start(self):
        self.starts += 1
        self.instance = f"i-{self.number}-{self.starts}-{os.urandom(3).hex()}"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(SERVER), str(self.port), self.instance,
            stdout=asyncio.subprocess.PIPE, preexec_fn=die_with_parent)
        STARTED.append(self.process)
        if await self.process.stdout.readline() != b"listens\n":
            raise RuntimeError("a server doesn't start")
        self.record.add(f"server {self.instance} starts")
        asyncio.create_task(self.read(self.process.stdout, self.instance))
        self.list()

    def list(self):
        self.store.put("keyed.servers", self.instance, {
            "backend": "uploads", "address": f"{HOST}:{self.port}", "zone": "zone-a",
            "version": "v1", "slots": SLOTS, "state": "ready", "coldRemainingMs": 0,
            "phase": "dual", "models": [], "sequence": 0})

    async def read(self, lines, instance):
        async for line in lines:
            words = line.decode().split()
            if words[0] == "begins":
                self.running.add(words[1])
                self.record.add(f"run begins: request {words[1]} at server {instance}")
            elif words[0] == "whole":
                self.running.discard(words[1])
                self.whole[words[1]] = int(words[2])
                self.record.add(f"run ends: request {words[1]} at server {instance}:"
                                f" whole answer of {words[2]} bytes")

    async def crash(self):
        """Kills the process; it comes back as another instance."""
        cut = sorted(self.running)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.running.clear()
        self.record.add(f"server {self.instance} is killed while it runs {' '.join(cut) or 'nothing'}")
        old = self.instance
        await asyncio.sleep(DOWN_S)
        await self.start()
        await asyncio.sleep(2)
        self.store.put("keyed.servers", old, None)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def shows_reset(record, store):
    """Sends a long request to a server of its own and kills that: a plain client has to see a reset,
    not the usual end of a connection."""
    server = LongBodyServer(SERVERS, store, record)
    server.list = lambda: None
    await server.start()
    reader, writer = await asyncio.open_connection(HOST, server.port)
    head = f"POST /upload/x HTTP/1.1\r\nAttempt-Id: control\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    writer.write(head.encode() + bytes(BODY_BYTES))
    while not server.running:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.4)
    server.process.send_signal(signal.SIGKILL)
    await server.process.wait()
    try:
        while await reader.read(65536):
            pass
        seen = "the usual end"
    except ConnectionError as failure:
        seen = repr(failure)
    writer.close()
    record.add(f"control: a plain client of a server that is killed in this way sees {seen}")
    return seen != "the usual end"


class World:
    def __init__(self, record, nodes, servers):
        self.record, self.nodes, self.servers = record, nodes, servers
        self.counter, self.served, self.broken, self.crashes = 0, 0, 0, 0


def is_whole(content, identity):
    """Whether a body is all that some run of the request gave."""
    lines = content.decode(errors="replace").splitlines()
    if not lines:
        return False
    end = lines[-1].split(" ")
    return (len(end) == 6 and end[0] == identity and end[2] == "end" and int(end[4]) == BODY_BYTES
            and all(line == f"{identity} {end[1]} part {i}" for i, line in enumerate(lines[:-1])))


async def client(number, world, until):
    body = os.urandom(1024) * (BODY_BYTES // 1024)
    await asyncio.sleep(RANDOM.uniform(0, 2))
    while now() < until:
        world.counter += 1
        identity = f"{world.counter:08x}{number:08x}"
        node = world.nodes.nodes[number % len(world.nodes.nodes)]
        world.record.add(f"client {number} sends request {identity} of {len(body)} bytes to {node.name}")
        connection = None
        try:
            connection = await Connection.open(node.frontend)
            status, got, content = await asyncio.wait_for(
                connection.send("POST", f"/upload/{number}",
                                {"Host": HOST_NAME, "Attempt-Id": identity,
                                 "Deadline-Ms": str(DEADLINE_MS)}, body),
                DEADLINE_MS / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
            world.record.add(f"client {number} gets no answer to request {identity}: {failure!r}")
        else:
            whole = is_whole(content, identity)
            world.record.add(f"client {number} gets {status} to request {identity}:"
                             f" {len(content)} bytes, signature {got.get('server-signature')}")
            if 200 <= status < 300 and "server-signature" in got:
                if whole:
                    world.served += 1
                else:
                    world.broken += 1
                    world.record.add(
                        f"BROKEN: MIXED: request {identity}: a {status} with a server's signature,"
                        f" whose body of {len(content)} bytes isn't the server's whole body; it ends"
                        f" with {content[-60:]!r}")
        finally:
            if connection is not None:
                connection.close()
        await asyncio.sleep(RANDOM.uniform(0.1, 0.5))


async def crash_some(world):
    """Crashes one server of the six at a time, while it runs a request."""
    for _ in range(CRASHES):
        end = now() + 10
        while now() < end:
            busy = [server for server in world.servers if server.running]
            if busy:
                await asyncio.sleep(0.4)
                busy = [server for server in busy if server.running]
            if busy:
                world.crashes += 1
                await RANDOM.choice(busy).crash()
                break
            await asyncio.sleep(0.05)
        await asyncio.sleep(2)


async def play(folder, record):
    store = await Store().open()
    servers = [LongBodyServer(i, store, record) for i in range(SERVERS)]
    nodes = Nodes(store, folder, 2, ["zone-a"], BOUNDS, record)
    try:
        for server in servers:
            await server.start()
        store.put("keyed.op", "config", CONFIGURATION)
        nodes.start()
        if not await nodes.until_ready():
            record.add("the nodes don't become ready")
            return NOT_RUN
        await asyncio.sleep(2)
        world = World(record, nodes, servers)
        clients = [asyncio.create_task(client(i, world, now() + 40)) for i in range(4)]
        if TROUBLE:
            if not await shows_reset(record, store):
                return NOT_RUN
            await asyncio.sleep(3)
            await crash_some(world)
        await asyncio.gather(*clients)
        summary = (f"{world.counter} requests sent, {world.served} answered whole,"
                   f" {world.broken} answered 2xx with a part of the body")
        record.add(summary)
        print(summary)
        if world.served < 10 or (TROUBLE and not world.crashes):
            return NOT_RUN
        return BROKEN if world.broken else HELD
    finally:
        nodes.end_all()
        for server in servers:
            await server.end()
        await asyncio.sleep(0.1)
        store.crash()


run_case(play, __file__)
