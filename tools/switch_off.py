#!/usr/bin/env python3
"""Switches mechanisms off, one at a time, and says whether a test notices.

    tools/switch_off.py [--promises LIMIT,GONE] [--most-s 60]

Works on a scratch copy of the last commit, by the table in
tools/mechanisms.toml. A mechanism whose text is not found, whose copy can't be
built, or whose tests pass without it, is a failure. A test that does not end
counts as one that noticed: it waits for what never comes.
"""

import argparse
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_MOST_S = 600


def run(command, folder, most_s):
    """The exit status of a command and its output; None if it did not end. What
    the command started ends with it."""
    started = subprocess.Popen(
        command, cwd=folder, text=True, start_new_session=True,
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
    )
    try:
        output, _ = started.communicate(timeout=most_s)
        return started.returncode, output
    except subprocess.TimeoutExpired:
        os.killpg(started.pid, signal.SIGKILL)
        started.communicate()
        return None, ""


def failed_tests(output):
    """Names of the tests that failed, from the output of a test command."""
    failed = [line.split()[1] for line in output.splitlines() if line.endswith("... FAILED")]
    return ", ".join(sorted(set(failed)))


def try_without(copy, mechanism, most_s):
    """What happened without a mechanism, and whether that is as it should be."""
    path = copy / mechanism["file"]
    text = path.read_text()
    if text.count(mechanism["old"]) != 1:
        return "its text is not found once", False
    path.write_text(text.replace(mechanism["old"], mechanism["new"]))
    try:
        command = ["cargo", "test", "--locked", "--package", mechanism["package"]]
        status, output = run([*command, "--no-run"], copy, BUILD_MOST_S)
        if status != 0:
            return "the copy can't be built", False
        status, output = run([*command, "--no-fail-fast", mechanism["tests"]], copy, most_s)
    finally:
        path.write_text(text)
    if status is None:
        return "does not end: " + mechanism["tests"], True
    if status == 0:
        return "NOTHING FAILED", False
    return failed_tests(output), True


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--promises", help="only these, with commas between")
    parser.add_argument("--most-s", type=float, default=60, help="for the tests of one mechanism")
    options = parser.parse_args()
    table = tomllib.loads((ROOT / "tools" / "mechanisms.toml").read_text())["mechanism"]
    only = options.promises.split(",") if options.promises else None
    wanted = [one for one in table if only is None or one["promise"] in only]
    is_well = True
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        subprocess.run(["git", "worktree", "add", "--detach", copy], cwd=ROOT, check=True)
        try:
            for mechanism in wanted:
                what, is_noticed = try_without(copy, mechanism, options.most_s)
                is_well = is_well and is_noticed
                print(f"{mechanism['promise']} | {mechanism['what']} | {what}", flush=True)
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", copy], cwd=ROOT, check=True)
    sys.exit(0 if is_well else 1)


if __name__ == "__main__":
    main()
