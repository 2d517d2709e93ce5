#!/usr/bin/env python3
"""Prints a table of the reports that bench/play-seeds.sh kept: by day, each seed's worth, their mean and spread,
what was served, the worst windows and prices, broken rules and faults; then the mean over the days with trouble."""
import glob
import json
import os
import re
import statistics
import sys


def load(folder):
    """Reports by day."""
    days = {}
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        day = re.sub(r"-\d+\.json$", "", os.path.basename(path))
        with open(path, encoding="utf-8") as file:
            days.setdefault(day, []).append(json.load(file))
    return days


def part(report, name):
    """A part of a report's worth."""
    return next((row[2] for row in report["parts"] if row[0] == name), float("nan"))


def steps_behind(report):
    """Seconds that the trainers ended behind their time."""
    found = [re.search(r"the last ([\d.]+) s behind", hint) for hint in report["hints"]]
    return max([float(match.group(1)) for match in found if match] or [0.0])


def row(day, reports):
    """One line of the table."""
    worths = [report["G"] for report in reports]
    mean = statistics.mean
    broken = [report["breaks"] or report["fault"] for report in reports if report["breaks"] or report["fault"]]
    cells = [
        day,
        " ".join(f"{worth:.3f}" for worth in worths),
        f"{mean(worths):.3f}",
        f"{max(worths) - min(worths):.3f}",
        f"{mean(report['served'] for report in reports):.3f}",
        f"{mean(part(report, 'worst windows') for report in reports):.2f}",
        f"{mean(sum(price[2] for price in report['prices']) for report in reports):.3f}",
        f"{mean(steps_behind(report) for report in reports):.1f}",
        "none" if not broken else str(broken),
    ]
    return "| " + " | ".join(cells) + " |"


def main():
    """Prints the table of a folder."""
    days = load(sys.argv[1])
    print("| day | worth by seed | mean | spread | served | worst windows | prices | s behind | broken |")
    print("|---|---|---|---|---|---|---|---|---|")
    for day, reports in days.items():
        print(row(day, reports))
    troubled = [report["G"] for day, reports in days.items() if not day.startswith("quiet") for report in reports]
    if troubled:
        print(f"mean worth of {len(troubled)} plays of days with trouble: {statistics.mean(troubled):.3f}")


if __name__ == "__main__":
    main()
