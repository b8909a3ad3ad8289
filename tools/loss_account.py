#!/usr/bin/env python3
"""Adds up what the standard days of a site lose, by cause, as a Markdown table.

    tools/loss_account.py BENCH SITE --why "..." [--days quiet-1,scale-1] [--jobs 4]

BENCH is the path of the users' bench, which stands outside this repository. Each
day is played once, without processor time. What is not earned is split in three:

- beyond reach: the client's last try ended with a replica's own failure, in the
  middle of an answer, at an unreachable host, or at the deadline of a request
  that a replica had run or that no host could take; and the machines' price.
  The report counts requests by their last try, so that a cause's part of the
  credit lost is its part of the requests that were not served, by their number;
- decided: refused, late, or not tried in time, though a host was there;
- prices: all but the machines, the largest three by name.

A day's reachable worth is 1 less what is beyond reach. Requests that an earlier
decision would have spared a replica's failure count as beyond reach: the report
can't tell them, so that the reachable worth is a little too low.
"""

import argparse
import concurrent.futures
import tomllib

from days import play

# How a client's last try ended, where no decision of a host could have served it.
BEYOND_REACH = {
    "500 from a server", "502", "504 from a server", "cut in the answer", "cut, no answer",
    "deadline", "no connection",
}
# What a late answer loses of its credit, against one that never comes: the
# sites' sheets give late answers about three tenths.
LATE_LOSES = 0.7
FIXED_PRICE = "machine-seconds"
LARGEST = 3


def account(report):
    """What a day lost, each part as a share of the worth it could have earned."""
    served = sum(weight * part for _, weight, part in report["parts"])
    lost = sum(weight * (1.0 - part) for _, weight, part in report["parts"])
    everyone = report["all"]
    by_last_try = {end: count for end, count, _ in report["unserved_by"]}
    missed = sum(by_last_try.values()) + LATE_LOSES * everyone["late"] + everyone["refused"]
    beyond = sum(count for end, count in by_last_try.items() if end in BEYOND_REACH)
    share = beyond / missed if missed else 0.0
    prices = {name: price for name, _, price in report["prices"]}
    fixed = prices.pop(FIXED_PRICE, 0.0)
    largest = sorted(prices.items(), key=lambda price: -price[1])[:LARGEST]
    return {
        "worth": report["G"],
        "earned before prices": served,
        "beyond reach": lost * share + fixed,
        "reachable": 1.0 - lost * share - fixed,
        "decided": lost * (1.0 - share),
        "prices": sum(prices.values()),
        "largest prices": ", ".join(f"{name} {price:.4f}" for name, price in largest),
        "last tries": ", ".join(f"{end} {count}" for end, count in by_last_try.items()),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", required=True)
    arguments = parser.parse_args()
    with open(arguments.site, "rb") as file:
        site = tomllib.load(file)
    days = arguments.days.split(",") if arguments.days else [day["name"] for day in site["day"]]

    def play_day(day):
        command = [arguments.bench, "run", arguments.site, day, "--no-cpu", "--why", arguments.why]
        return play(command)[0]

    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        reports = dict(zip(days, pool.map(play_day, days)))
    columns = ["worth", "reachable", "beyond reach", "decided", "prices"]
    print("| day | " + " | ".join(columns) + " | largest prices | not served, by the last try |")
    print("| --- " * (len(columns) + 3) + "|")
    for day, report in reports.items():
        if report is None:
            print(f"| {day} | not played |")
            continue
        found = account(report)
        figures = " | ".join(f"{found[column]:.3f}" for column in columns)
        print(f"| {day} | {figures} | {found['largest prices']} | {found['last tries']} |")


if __name__ == "__main__":
    main()
