"""The operator splits a trainer's route between two services, 10 to 90, with one and seven equal servers.

Broken: a step times out while an item that no server finished or failed has been at no server for 5 s and more, though the
seven servers of the part that nine tenths of the route belong to stand idle. Nothing but the configuration changes.
"""

import asyncio
import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from standin import Node, Record, Server, Store, call, left_lying, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTNAME = "ficu95.example"
ZONES = ["khomas-a", "khomas-b", "khomas-c"]
MODEL = "daka510000"
SMALL_PART, LARGE_PART = "huvo11a", "huvo12b"
ITEMS = 72
WANTED = 16  # groups of 18: nine tenths
DEADLINE_S = 12.0
WAIT_S = 5.0


def config(version, services):
    route = {"name": "r-1", "hostname": HOSTNAME, "pathPrefix": "/pule252/", "routeType": "rollout",
             "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 3, "resumable": True,
             "dueMs": 7500, "maxQueueS": 12}
    route.update(services)
    return {"version": version, "routes": [route],
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 150}
                         for name in (SMALL_PART, LARGE_PART)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def submission(step):
    items = [{"instanceId": os.urandom(8).hex(), "path": f"/pule252/{step}/{item:x}",
              "headers": {"Model": MODEL, "Token-Usage": "271,18"}, "body": "q83vEjRWeJA=", "tokenCount": 289,
              "groupId": f"g{step}-{item // 4}"} for item in range(ITEMS)]
    return {"step": step, "model": MODEL, "minVersion": 1, "desiredCount": WANTED, "requests": items}


async def play(record, nodes, small, large):
    """One step; returns whether the rule was broken, None if the step was not accepted."""
    tree = submission(1)
    job = os.urandom(8).hex()
    sent = time.monotonic()
    status, _, _ = await call(nodes[0].front, "POST", f"/pule252/{job}",
                              [("Host", HOSTNAME), ("Attempt-Id", job), ("Content-Type", "application/json")],
                              json.dumps(tree).encode(), limit=11)
    record("submit", job, ITEMS, "items ->", status)
    if status != 202:
        return None
    listed = {}
    while time.monotonic() < sent + DEADLINE_S and len(listed) < ITEMS:
        await asyncio.sleep(0.5)
        status, _, body = await call(nodes[len(listed) % 3].front, "GET",
                                     f"/passhaven/lots/{job}?sinceRevision={len(listed)}", [("Host", HOSTNAME)],
                                     limit=2.5)
        if status == 200:
            for result in json.loads(body)["results"]:
                listed[result["instanceId"]] = result["state"]
        record("read ->", status, "listed", len(listed), "at servers: small part", len(small.working),
               "large part", sum(len(each.working) for each in large))
    end = sent + DEADLINE_S
    by_group = {}
    for each in tree["requests"]:
        by_group.setdefault(each["groupId"], []).append(listed.get(each["instanceId"]) == "completed")
    whole = sum(all(group) for group in by_group.values())
    items = [each["instanceId"] for each in tree["requests"]]
    waiting = left_lying(items, [small] + large, end - WAIT_S, end)
    record("runs: small part", len(small.runs), "large part", sum(len(each.runs) for each in large),
           "whole groups", whole, "of", len(by_group))
    if whole < WANTED and waiting:
        record("BROKEN: LOST: the step timed out with", len(waiting), "items that were at no server for", WAIT_S,
               "s and more, such as", waiting[0])
        return True
    return False


async def main():
    record = Record("record.txt")
    record("trouble" if TROUBLE else "no trouble")
    folder = tempfile.mkdtemp()
    store = Store()
    store.put("keyed.op", "config", config(3, {"backend": LARGE_PART}))
    nodes = []
    try:
        shape = {"model": MODEL, "events": 18, "pause_ms": 100}
        small = await Server(store, record, SMALL_PART, ZONES[0], **shape).start()
        large = [await Server(store, record, LARGE_PART, ZONES[number % 3], **shape).start() for number in range(7)]
        for number, zone in enumerate(ZONES):
            node = Node(f"edge-{zone}-1", zone, ZONES, folder, await store.open(str(number)))
            node.start()
            nodes.append(node)
        for node in nodes:
            if not await node.wait_ready():
                record("not ready:", node.name)
                return 2
        await asyncio.sleep(2)
        if TROUBLE:
            split = [{"backend": SMALL_PART, "weight": 10}, {"backend": LARGE_PART, "weight": 90}]
            store.put("keyed.op", "config", config(7, {"trafficSplit": split}))
            record("configuration 7 acknowledged:", json.dumps(split))
        await asyncio.sleep(8)
        broken = await play(record, nodes, small, large)
        record("result:", {None: "couldn't run", True: "broken", False: "held"}[broken])
        return {None: 2, True: 1, False: 0}[broken]
    finally:
        for node in nodes:
            node.kill()
        shutil.rmtree(folder, ignore_errors=True)


run_case(main)
