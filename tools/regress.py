#!/usr/bin/env python3
"""Plays the regression runs: a hunt and a score of each listed deployment.

    tools/regress.py BENCH SITES --why "..." [--hunt-only | --score-only] [--jobs 4]

BENCH is the path of the users' bench and SITES the folder of their site files;
both stand outside this repository. The list is tools/regression.toml. Prints how
many days broke a rule and whether each gate passed; exits with 1 if any did not.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import tomllib

LIST = pathlib.Path(__file__).with_name("regression.toml")


def play(command):
    """What the bench printed."""
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stdout + run.stderr


def hunt(bench, site, days, options):
    """Days of a hunt that broke a rule; None if it did not end."""
    told = play([bench, "hunt", site, "--days", str(days), *options])
    broken = re.search(r"days on \S+, (\d+) with a rule broken", told)
    return int(broken.group(1)) if broken else None


def score(bench, site, options):
    """Whether the gate passed, and the lines of the days."""
    told = play([bench, "score", site, *options])
    days = [line for line in told.splitlines() if re.match(r"(quiet|trouble|scale|fresh)-\S+ +\d+/", line)]
    return "GATE passed" in told, days


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("sites", type=pathlib.Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--hunt-only", action="store_true")
    parser.add_argument("--score-only", action="store_true")
    arguments = parser.parse_args()
    options = ["--jobs", str(arguments.jobs), "--why", arguments.why]
    is_green = True
    for entry in tomllib.loads(LIST.read_text())["site"]:
        site = str(arguments.sites / entry["file"])
        if not arguments.score_only:
            broken = hunt(arguments.bench, site, entry["hunt_days"], options)
            print(f"{entry['file']}: {entry['hunt_days']} days, broken: {broken}", flush=True)
            is_green &= broken == 0
        if not arguments.hunt_only:
            has_passed, days = score(arguments.bench, site, options)
            print(f"{entry['file']}: gate {'passed' if has_passed else 'FAILED'}", *days, sep="\n  ", flush=True)
            is_green &= has_passed
    sys.exit(0 if is_green else 1)


if __name__ == "__main__":
    main()
