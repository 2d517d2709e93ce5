#!/usr/bin/env python3
"""Tells how the steps of trainers came to their ends, from the log of a play.

usage: fleetbench run SITE DAY --log all > FILE; bench/step-times.py FILE

For each step: when half, 80 and 90 of 100 groups were whole, and for its last groups the item that ended them, from the
runner's lines `job: item listed`; then how each takeover of a run went.
"""
import collections
import json
import re
import sys

LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*)")
LAST_GROUPS = 4
TAKEOVER = ("job: run claimed", "texts: left by the former runner", "job: run here", "orders: lease taken")


def read(path):
    """Time, node, message and values of each structured line."""
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            match = LINE.match(line)
            if not match:
                continue
            try:
                entry = json.loads(match.group(3))
            except ValueError:
                continue
            values = {}
            for pair in entry.get("kvpList", []):
                values.update(pair)
            yield float(match.group(1)), match.group(2), entry.get("formattedMessage", ""), values


def print_step(step, groups):
    """When the groups of a step were whole; `groups` has the time and items of each."""
    began = min(time - int(item["listedAfterMillis"]) / 1000 for items in groups.values() for time, item in items)
    ends = sorted((max(time for time, _ in items) - began, name, items) for name, items in groups.items())
    share = lambda part: ends[min(len(ends) - 1, int(part * len(ends)))][0]
    print(
        f"step {step} read {began:.2f}: {len(ends)} groups, whole after {share(0.5):.2f} (half), "
        f"{share(0.8):.2f} (80%), {share(0.9):.2f} (90%), {ends[-1][0]:.2f} s (all)"
    )
    for end, name, items in ends[-LAST_GROUPS:]:
        item = max(items, key=lambda timed: timed[0])[1]
        made = int(item["wholeAfterMillis"]) - int(item["begunAfterMillis"])
        print(
            f"    {name} {end:.2f} s: begun after {item['begunAfterMillis']} ms, {item['events']} events at "
            f"{made / max(1, int(item['events'])):.1f} ms, attempts {item['attempts']}, moves {item['moves']}, {item['server']}"
        )


def main():
    """Prints the steps, then the takeovers."""
    steps = collections.defaultdict(lambda: collections.defaultdict(list))
    takeovers = []
    for time, node, message, values in read(sys.argv[1]):
        if message == "job: item listed":
            steps[int(values["step"])][values["group"]].append((time, values))
        elif message in TAKEOVER:
            takeovers.append((time, node, message, values))
    for step in sorted(steps):
        print_step(step, steps[step])
    for takeover in takeovers:
        print(*takeover)


if __name__ == "__main__":
    main()
