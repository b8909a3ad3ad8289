#!/usr/bin/env python3
"""Plays days of a site over several seeds and prints the mean of each figure.

    tools/compare_days.py BENCH SITE --days quiet-1,scale-1 --seeds 8 --why "..."

BENCH is the path of the users' bench, which stands outside this repository.
Processor time is not counted, so that a run mostly repeats and two builds can
be compared by their means. Each run leaves its entry in the journal.
"""

import argparse
import concurrent.futures

from days import play


def play_day(bench, site, day, seed, why):
    """One day; returns its report, or None if it could not be played."""
    command = [bench, "run", site, day, "--no-cpu", "--why", why]
    if seed:
        command += ["--seed", str(seed)]
    return play(command)[0]


def figures(report):
    """The figures of a report by name."""
    found = {"worth": report["G"], "served": report["served"], "failed": report["failed"]}
    found |= {part[0]: part[2] for part in report["parts"]}
    found |= {"- " + price[0]: price[2] for price in report["prices"] if price[2] >= 0.002}
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    parser.add_argument("--seeds", type=int, default=4, help="seeds a day, from 1")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True)
    arguments = parser.parse_args()
    days = arguments.days.split(",")
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        runs = {
            (day, seed): pool.submit(play_day, arguments.bench, arguments.site, day, seed, arguments.why)
            for day in days
            for seed in range(1, arguments.seeds + 1)
        }
    for day in days:
        reports = [runs[day, seed].result() for seed in range(1, arguments.seeds + 1)]
        reports = [report for report in reports if report]
        broken = [report.get("fault") or report["short"] for report in reports]
        all_figures = [figures(report) for report in reports]
        names = dict.fromkeys(name for one in all_figures for name in one)
        means = {
            name: sum(one.get(name, 0.0) for one in all_figures) / len(all_figures) for name in names
        }
        line = "  ".join(f"{name} {value:.4f}" for name, value in means.items())
        print(f"{day} ({len(reports)} seeds): {line}  broken {[b for b in broken if b]}")


if __name__ == "__main__":
    main()
