#!/usr/bin/env python3
"""Tells where plays lose their worth, from the reports that bench/play-seeds.sh kept.

usage: bench/worth-lost.py REPORT...

For each report: the share of the day's requests that was lost before the final fault, in the 8 s from it on, and after
those, and of it what was late, what failed, and what was never asked since a trainer was behind its time. A window counts
by its number of requests, as it does in the report's own table.
"""
import json
import os
import re
import sys

AROUND_FAULT_S = 8


def final_fault_s(report):
    """Second at which all nodes were lost; infinite if they never were."""
    starts = [event["at_s"] for event in report["events"] if event["kind"].startswith("closing")]
    return min(starts, default=float("inf"))


def moment_of(second, fault_s):
    """Name of the moment of a window."""
    if second + 2 <= fault_s:
        return "before"
    return "around" if second < fault_s + AROUND_FAULT_S else "after"


def lost_by_moment(report):
    """Share of the day's requests whose worth was lost, by moment."""
    fault_s = final_fault_s(report)
    total = sum(window["n"] for window in report["windows"])
    lost = {"before": 0.0, "around": 0.0, "after": 0.0}
    for window in report["windows"]:
        lost[moment_of(float(window["name"]), fault_s)] += window["n"] * (1 - window["worth"]) / total
    return lost


def seconds_behind(report):
    """Seconds that the trainers ended behind their time."""
    found = [re.search(r"the last ([\d.]+) s behind", hint) for hint in report["hints"]]
    return max([float(match.group(1)) for match in found if match] or [0.0])


def main():
    """Prints a line for each report."""
    print("| play | lost before | around | after the final fault | late | failed | prices | s behind |")
    print("|---|---|---|---|---|---|---|---|")
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
        lost = lost_by_moment(report)
        everything = report["all"]
        cells = [
            os.path.splitext(os.path.basename(path))[0],
            *[f"{lost[moment]:.3f}" for moment in ("before", "around", "after")],
            f"{everything['late'] / everything['n']:.3f}",
            f"{everything['failed'] / everything['n']:.3f}",
            f"{sum(price[2] for price in report['prices']):.3f}",
            f"{seconds_behind(report):.1f}",
        ]
        print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
