#!/usr/bin/env python3
"""Compares ways to keep a fleet's retries within ratio x requests + slack in any window.

usage: retry_ways.py

Every call fails from 20 s on, each wants one retry, and hosts are lost or callers move then.
Prints for each way the share of the wanted retries that it serves, and the retries of the worst
window as a multiple of what is allowed there (requests of the window, the one before it or the
one half a window before it, whichever has most). In the order "bursts" a call fails 0.1 s after it
came.
"""
import random
from collections import deque

RATIO, WINDOW, TICK, USABLE = 0.2, 100, 1, 0.8  # Ticks of 100 ms.
FAIL, END = 200, 420
LIFE, LEARN = WINDOW // 4, 30
EARNED, STOCK, ONCE, DELIVERY, BURST, LAG = 0.7, 0.23, 0.6, WINDOW // 10, 98, 1
SIZES = [(8, 82.0, 56.0), (108, 410.0, 280.0), (986, 1523.0, 1040.0)]  # Hosts, calls/s, slack.
ORDERS = ["steady", "lost in turn", "lost together", "moved callers", "partition", "bursts", "one in ten fails"]


class Host:
    def __init__(self, way, now):
        self.way, self.born = way, now
        self.phase, self.slack_phase = random.random(), random.random()
        self.calls, self.spent, self.credits = deque(), deque(), deque()
        self.slack_spent = []
        self.stock, self.stock_phase, self.slack_log = 0, random.random(), deque()

    def forget_old(self, now, keep):
        for log in (self.calls, self.spent):
            while log and log[0] <= now - keep:
                log.popleft()
        while self.credits and self.credits[0][0] <= now - LIFE:
            self.credits.popleft()

    def limit_stock(self, now, fleet):
        while self.calls and self.calls[0] <= now - WINDOW:
            self.calls.popleft()
        limit = STOCK * RATIO * len(self.calls) + self.stock_phase
        if now - self.born >= WINDOW + LEARN:
            limit += (1 - ONCE) * fleet.slack / fleet.hosts
        self.stock = min(self.stock, int(limit))

    def call(self, now, fleet):
        if self.way.startswith("stock"):
            self.calls.append(now)
            self.phase += EARNED * RATIO
            if self.phase >= 1:
                self.phase -= 1
                self.stock += 1
            self.limit_stock(now, fleet)
            return
        if self.way.startswith("window"):
            self.calls.append(now)
        elif self.way.startswith("whole"):
            self.phase += USABLE * RATIO
            if self.phase >= 1:
                self.phase -= 1
                self.credits.append([now, 1.0])
        else:
            self.credits.append([now, USABLE * RATIO])

    def retry_from_stock(self, now, fleet):
        self.limit_stock(now, fleet)
        if self.stock:
            self.stock -= 1
            return True
        while self.slack_log and self.slack_log[0] <= now - WINDOW - DELIVERY:
            self.slack_log.popleft()
        part = ONCE * fleet.slack / fleet.hosts + self.slack_phase
        if now - self.born < WINDOW + LEARN or len(self.slack_log) >= int(part):
            return False
        self.slack_log.append(now)
        return True

    def retry(self, now, fleet):
        if self.way.startswith("stock"):
            return self.retry_from_stock(now, fleet)
        self.forget_old(now, WINDOW + WINDOW // 10 if self.way.startswith("window") else WINDOW)
        if self.way == "window, slack by hosts heard":
            share = fleet.slack / fleet.heard(self, now)
        elif self.way == "window, slack by hosts listed":
            share = fleet.slack / fleet.hosts
        elif self.way in ("credits, slack by hosts known", "whole credits, whole slack by hosts known"):
            share = fleet.slack / fleet.hosts if now - self.born >= WINDOW + LEARN else 0
        else:
            share = 0
        share *= USABLE
        if self.way.startswith("whole"):
            share = int(share + self.slack_phase)
        if self.way.startswith("window"):
            if len(self.spent) + 1 > USABLE * RATIO * len(self.calls) + share:
                return False
            self.spent.append(now)
            return True
        credit = min(1.0, sum(left for _, left in self.credits))
        need = 1.0 - credit
        if self.way == "credits, slack leased from the store":
            if need > 1e-9 and not fleet.lease(now, need):
                return False
        elif need > 1e-9:
            if sum(amount for _, amount in self.slack_spent) + need > share:
                return False
        self.pay(now, credit, need)
        return True

    def pay(self, now, credit, need):
        while credit > 1e-9:
            entry = self.credits[0]
            used = min(credit, entry[1])
            entry[1] -= used
            credit -= used
            if entry[1] <= 1e-9:
                self.credits.popleft()
        self.slack_spent = [entry for entry in self.slack_spent if entry[0] > now - WINDOW]
        if need > 1e-9:
            self.slack_spent.append((now, need))


class Fleet:
    def __init__(self, way, hosts, slack):
        self.way, self.hosts, self.slack = way, hosts, slack
        self.all = [Host(way, 0) for _ in range(hosts)]
        self.leased, self.parted = deque(), False

    def heard(self, host, now):
        if self.parted:
            return self.hosts // 2
        return 1 if now - host.born < 2 else self.hosts

    def lease(self, now, need):
        while self.leased and self.leased[0][0] <= now - WINDOW:
            self.leased.popleft()
        if sum(a for _, a in self.leased) + need > USABLE * self.slack:
            return False
        self.leased.append((now, need))
        return True


def play(way, order, hosts, rate, slack, seed=1):
    rng = random.Random(seed)
    random.seed(seed)
    fleet = Fleet(way, hosts, slack)
    calls, retries, wanted, failing = [0] * END, [0] * END, 0, deque()
    for now in range(END):
        if order == "lost in turn" and now >= FAIL and (now - FAIL) % 10 == 5:
            for _ in range(max(1, hosts // 8)):
                turn = rng.randrange(hosts)
                fleet.all[turn] = Host(way, now)
        if order == "lost together" and now in (FAIL + 40, FAIL + 80):
            fleet.all = [Host(way, now) for _ in range(hosts)]
        fleet.parted = order == "partition" and now >= FAIL
        count = int(rate * 0.1) + (rng.random() < (rate * 0.1) % 1)
        if order == "bursts":
            # Nothing but what comes at once, as many calls as otherwise in as long a time.
            count = int(rate * BURST * 0.1) if now >= FAIL and (now - FAIL) % BURST == 5 else 0
        failure = 0.1 if order == "one in ten fails" else 1.0
        for _ in range(count):
            which = rng.randrange(hosts)
            if order == "moved callers":
                which = which // 2 + (hosts // 2 if now >= FAIL + 18 else 0)
            host = fleet.all[which]
            host.call(now, fleet)
            calls[now] += 1
            if now >= FAIL and rng.random() < failure:
                failing.append((now + (LAG if order == "bursts" else 0), host))
        while failing and failing[0][0] <= now:
            wanted += 1
            retries[now] += failing.popleft()[1].retry(now, fleet)
    worst = 0.0
    for end in range(FAIL, END):
        most = max(sum(calls[max(0, e - WINDOW + 1):e + 1]) for e in (end, end - WINDOW // 2, end - WINDOW))
        worst = max(worst, sum(retries[end - WINDOW + 1:end + 1]) / (RATIO * most + slack))
    return sum(retries) / wanted, worst


WAYS = ["window, slack by hosts heard", "window, slack by hosts listed", "credits, slack by hosts known",
        "whole credits, whole slack by hosts known", "credits, slack leased from the store", "credits, no slack", "stock by the requests of the window"]

for hosts, rate, slack in SIZES:
    print(f"{hosts} hosts, {rate:.0f} calls a second, slack {slack:.0f}: share served, worst window")
    for way in WAYS:
        results = [play(way, order, hosts, rate, slack) for order in ORDERS]
        print(f"  {way:41}", "  ".join(f"{o}: {s:.2f} {w:.2f}" for o, (s, w) in zip(ORDERS, results)))
