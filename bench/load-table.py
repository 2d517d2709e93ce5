#!/usr/bin/env python3
"""Tells who waited, who was refused and where the time of items went, from the log of a play.

usage: fleetbench run SITE DAY --log all > FILE; bench/load-table.py FILE

For each window of two seconds: items listed and the middle and longest time of each stage (accepted until begun, begun
until whole, whole until listed), generations stopped and failed by reason, requests given up or answered by a node
itself by reason. Then, for the whole play, the servers that ran most items, the reasons of stops, and the routes whose
requests were given up.
"""
import collections
import importlib.util
import os
import statistics
import sys

WINDOW_S = 2
MOST_ROWS = 12
STAGES = ("waited", "generated", "scored")
SPEC = importlib.util.spec_from_file_location(
    "step_times", os.path.join(os.path.dirname(os.path.abspath(__file__)), "step-times.py"))
step_times = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(step_times)


class Window:
    """What happened within one window."""

    def __init__(self):
        self.stages = {stage: [] for stage in STAGES}
        self.stopped = collections.Counter()
        self.failed = collections.Counter()
        self.given_up = collections.Counter()
        self.own_answers = collections.Counter()


def note_item(window, values):
    """Takes in the stages of an item; a node that did not run it to its end knows none of them."""
    begun, whole, listed = (int(values[name]) for name in ("begunAfterMillis", "wholeAfterMillis", "listedAfterMillis"))
    if begun < 0 or whole < begun:
        return
    for stage, millis in zip(STAGES, (begun, whole - begun, listed - whole)):
        window.stages[stage].append(millis)


def stages_text(window):
    """Number of items, then middle and longest time of each stage in ms."""
    if not window.stages["waited"]:
        return "0 items"
    parts = [
        f"{stage} {statistics.median(window.stages[stage]):.0f} to {max(window.stages[stage])}" for stage in STAGES
    ]
    return f"{len(window.stages['waited'])} items, ms: " + ", ".join(parts)


def counts_text(name, counter):
    """A counter in one phrase; nothing if it is empty."""
    return f"; {name}: " + ", ".join(f"{count} {what}" for what, count in counter.most_common(4)) if counter else ""


def main():
    """Prints the windows, then the totals."""
    windows = collections.defaultdict(Window)
    servers = collections.Counter()
    stops = collections.Counter()
    routes = collections.Counter()
    for time, _, message, values in step_times.read(sys.argv[1]):
        window = windows[int(time // WINDOW_S) * WINDOW_S]
        if message == "job: item listed":
            note_item(window, values)
            servers[values["server"]] += 1
        elif message == "job: generation stopped":
            window.stopped[values["why"]] += 1
            stops[values["why"]] += 1
        elif message == "job: generation failed":
            window.failed[values["kind"]] += 1
        elif message == "request: given up":
            window.given_up[values["reason"]] += 1
            routes[values["route"]] += 1
        elif message == "request: answered by the node itself":
            window.own_answers[values["status"]] += 1
    for start in sorted(windows):
        window = windows[start]
        print(
            f"{start:4d} s: {stages_text(window)}"
            + counts_text("stopped", window.stopped)
            + counts_text("failed", window.failed)
            + counts_text("given up", window.given_up)
            + counts_text("answered by nodes", window.own_answers)
        )
    for name, counter in (("items by server", servers), ("stops", stops), ("given up by route", routes)):
        print(name + ": " + ", ".join(f"{what} {count}" for what, count in counter.most_common(MOST_ROWS)))


if __name__ == "__main__":
    main()
