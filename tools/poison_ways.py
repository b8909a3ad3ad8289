#!/usr/bin/env python3
"""Compares ways to tell which request ends the endpoints that run it.

    tools/poison_ways.py [--beside 8,64,128] [--guilty 1,5,20] [--seeds 6]

A simulation, and so a trial: endpoints run innocent requests beside each other, and
copies of a few guilty ones come to any of them. A guilty one ends its endpoint with all
that it runs 30 to 90 ms after it began, or `--ends-after-ms` later; it goes on at up to
three endpoints, and comes again each 200 ms or so until it is refused. Innocent ones that
broke go on elsewhere, three times in all. Prints for each way the endpoints that ended,
and the innocent and guilty requests that came to be refused, in the mean of the seeds.
"""

import argparse
import collections
import heapq
import random
from dataclasses import dataclass, field

ENDPOINTS = 18
LASTS_MS = 8_000.0
FIRST_GUILTY_MS = 3_000.0
STAYS_MS = 1_500.0
COMES_EACH_MS = 200.0
IS_GONE_MS = 3_500.0
TOLD_WITHIN_MS = 5.0
ATTEMPTS_MAX = 3


@dataclass(frozen=True)
class Way:
    """How many ends it takes, and from what run on one counts half."""

    name: str
    ends: int
    half_from_ms: float = float("inf")

    def weight(self, ran_ms):
        return 1 if ran_ms >= self.half_from_ms else 2


WAYS = [
    Way("three ends, whoever was there", 3),
    Way("two ends", 2),
    Way("three, half from 1,000 ms on", 3, 1_000.0),
    Way("three, half from 500 ms on", 3, 500.0),
    Way("three, half from 300 ms on", 3, 300.0),
]


@dataclass
class Endpoint:
    is_up: bool = True
    start: int = 0
    runs: dict = field(default_factory=dict)


class Fleet:
    """One run of the simulation."""

    def __init__(self, way, beside, guilty, ends_after_ms, seed):
        self.way = way
        self.guilty = guilty
        self.ends_after_ms = ends_after_ms
        self.random = random.Random(seed)
        self.endpoints = [Endpoint() for _ in range(ENDPOINTS)]
        self.per_ms = ENDPOINTS * beside / STAYS_MS
        self.events = []
        self.order = 0
        self.weights = collections.defaultdict(int)
        self.refused_at = {}
        self.attempts = collections.Counter()
        self.ended = 0
        self.innocent = 0

    def at(self, time_ms, step, *what):
        self.order += 1
        heapq.heappush(self.events, (time_ms, self.order, step, what))

    def is_refused(self, request, now_ms):
        return now_ms >= self.refused_at.get(request, float("inf"))

    def play(self):
        self.at(0.0, self.arrive)
        for number in range(self.guilty):
            self.at(FIRST_GUILTY_MS + 37.0 * number, self.come, ("guilty", number))
        until_ms = FIRST_GUILTY_MS + LASTS_MS + 2_000.0
        while self.events and self.events[0][0] <= until_ms:
            now_ms, _, step, what = heapq.heappop(self.events)
            step(now_ms, *what)
        refused = collections.Counter(request[0] for request in self.refused_at)
        return self.ended, refused["innocent"], refused["guilty"], self.innocent

    def arrive(self, now_ms):
        self.innocent += 1
        self.run(now_ms, ("innocent", self.innocent), None)
        self.at(now_ms + self.random.expovariate(self.per_ms), self.arrive)

    def run(self, now_ms, request, but):
        """An innocent request runs at the endpoint that has least to do."""
        free = [e for e in self.endpoints if e.is_up and e is not but]
        if free:
            endpoint = min(free, key=lambda e: (len(e.runs), self.random.random()))
            endpoint.runs[request] = now_ms
            stays_ms = self.random.uniform(0.3, 1.7) * STAYS_MS
            self.at(now_ms + stays_ms, self.leave, endpoint, endpoint.start, request)

    def leave(self, _now_ms, endpoint, start, request):
        if endpoint.start == start:
            endpoint.runs.pop(request, None)

    def come(self, now_ms, request):
        """A copy of a guilty request comes, and the next one is on its way."""
        if now_ms < FIRST_GUILTY_MS + LASTS_MS:
            pause_ms = COMES_EACH_MS * self.random.uniform(0.5, 1.5)
            self.at(now_ms + pause_ms, self.come, request)
        self.send(now_ms, request, ())

    def send(self, now_ms, request, tried):
        free = [e for e in self.endpoints if e.is_up and e not in tried]
        if self.is_refused(request, now_ms) or not free or len(tried) >= ATTEMPTS_MAX:
            return
        endpoint = self.random.choice(free)
        copy = (*request, self.order)
        endpoint.runs[copy] = now_ms
        runs_ms = self.ends_after_ms + self.random.uniform(30.0, 90.0)
        self.at(now_ms + runs_ms, self.end, endpoint, endpoint.start, request, copy, tried)

    def end(self, now_ms, endpoint, start, request, copy, tried):
        tried = (*tried, endpoint)
        self.at(now_ms + 3.0, self.send, request, tried)
        if endpoint.start != start:
            return
        self.ended += 1
        broken, endpoint.runs = endpoint.runs, {}
        endpoint.start += 1
        endpoint.is_up = False
        self.at(now_ms + IS_GONE_MS, self.come_back, endpoint)
        counted = {}
        for run, began_ms in broken.items():
            who = run[:2]
            ran_ms = now_ms - began_ms
            counted[who] = min(ran_ms, counted.get(who, ran_ms))
        for who, ran_ms in counted.items():
            self.accuse(now_ms, who, ran_ms)
            if who[0] == "innocent":
                self.attempts[who] += 1
                if self.attempts[who] < ATTEMPTS_MAX and not self.is_refused(who, now_ms):
                    self.run(now_ms + 3.0, who, endpoint)

    def accuse(self, now_ms, request, ran_ms):
        self.weights[request] += self.way.weight(ran_ms)
        if self.weights[request] >= 2 * self.way.ends:
            self.refused_at.setdefault(request, now_ms + TOLD_WITHIN_MS)

    def come_back(self, _now_ms, endpoint):
        endpoint.is_up = True


def numbers(text):
    return [int(number) for number in text.split(",")]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--beside", type=numbers, default=[8, 64, 128])
    parser.add_argument("--guilty", type=numbers, default=[1, 5, 20])
    parser.add_argument("--ends-after-ms", type=float, default=0.0)
    parser.add_argument("--seeds", type=int, default=6)
    arguments = parser.parse_args()
    print("| guilty | beside | way | endpoints ended | innocent refused, of | guilty refused |")
    print("| --- " * 6 + "|")
    for guilty in arguments.guilty:
        for beside in arguments.beside:
            for way in WAYS:
                runs = [
                    Fleet(way, beside, guilty, arguments.ends_after_ms, seed).play()
                    for seed in range(arguments.seeds)
                ]
                ended, innocent, found, of = (sum(column) / len(runs) for column in zip(*runs))
                print(
                    f"| {guilty} | {beside} | {way.name} | {ended:.1f} "
                    f"| {innocent:.1f}, {of:.0f} | {found:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
