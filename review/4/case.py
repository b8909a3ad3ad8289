"""A replica that runs a request and fails it with 429 or 408, without `Not-Executed`."""
import asyncio
import os
import random
import shutil
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
from standins import Host, Record, Replica, Store, call, config, free_ports, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GREY_FROM_S, GREY_FOR_S, FAILED_SHARE = 1.0, 6.5, 0.45
REQUESTS, INTERVAL_S = 240, 0.04
PROMISES = (408, 421, 429, 503)
DEADLINE_MS = 1500


async def play(folder, record):
    store = Store(record)
    ips = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
    ports = free_ports(ips, 4)
    store_ports = free_ports(["127.0.0.1"], 3)
    server_ports = free_ports(["127.0.0.1"], 3)
    hosts = []
    for index, zone in enumerate(("lac", "charguia", "manouba")):
        address = ("127.0.0.1", store_ports[index])
        await store.listen(address, index)
        hosts.append(Host(index, folder, address, ips, zone, ports=(ports[0], ports[1], ports[2], ports[3], ports[3] + 2)))
    draw = random.Random(4)
    grey = {"from": None, "until": None}
    statuses = [429, 408]

    async def behave(replica, request, writer):
        now = asyncio.get_running_loop().time()
        is_grey = replica.name == "i-1" and grey["from"] and grey["from"] <= now < grey["until"]
        if not is_grey or draw.random() >= FAILED_SHARE:
            return False
        # It runs the request, fails it, and does not say that it was not executed.
        replica.run(request)
        await asyncio.sleep(replica.work_s)
        status = statuses[0]
        statuses.reverse()
        replica.answer(writer, request, status, b"failed")
        record("replica", replica.name, "fails", request["id"], "with", status, "after it ran it")
        await writer.drain()
        return True

    replicas = [
        Replica(f"i-{i + 1}", "shelf-api", ("127.0.0.1", server_ports[i]), record, zone, slots=6, work_s=0.03, behave=behave)
        for i, zone in enumerate(("lac", "charguia", "manouba"))
    ]
    for replica in replicas:
        await replica.start(store)
    routes = [route("r-price", "/price/", "unsafe", "shelf-api")]
    await store.put("op", "config", config(3, routes, ["shelf-api"], [{"name": "hule930", "api_keys": ["k1"], "priority": 1}]))
    for host in hosts:
        await host.start()
    try:
        for host in hosts:
            if not await host.wait_ready():
                record("host", host.name, "is not ready")
                return 2
        loop = asyncio.get_running_loop()
        if HAS_TROUBLE:
            grey["from"] = loop.time() + GREY_FROM_S
            grey["until"] = grey["from"] + GREY_FOR_S
        answers = {}  # request id -> status

        async def order(number):
            """One payment: a client tries again, once, after a promise only."""
            for attempt in (1, 2):
                host = hosts[(number + attempt) % len(hosts)]
                request_id = f"{number:04x}{attempt:04x}"
                headers = {"Host": "ficu95.example", "Request-Id": request_id, "Deadline-Ms": DEADLINE_MS,
                           "Authorization": "Token k1"}
                body = b"payment %d" % number
                try:
                    status, _, _ = await call(host.front_address, "POST", "/price/pay", headers, body)
                except (OSError, EOFError, asyncio.TimeoutError) as error:
                    status = type(error).__name__
                answers[request_id] = status
                record("client of payment", number, "sends", request_id, "to", host.name, "and gets", status)
                if status not in PROMISES:
                    return

        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(order(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        for host in hosts:
            host.kill()
        for host in hosts:
            await host.process.wait()
    runs = {}
    payments = {}
    for replica in replicas:
        for request_id, count in replica.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
            payments[request_id[:4]] = payments.get(request_id[:4], 0) + count
    broken = sorted(i for i, status in answers.items() if status in PROMISES and runs.get(i))
    twice = sorted(number for number, count in payments.items() if count > 1)
    served = sum(1 for status in answers.values() if status == 200)
    record("sent", len(answers), "answered 200:", served)
    record("REFUSED:", len(broken), "requests got 408, 421, 429 or 503 although they had run:", *broken[:20])
    record("payments that were made twice:", len(twice))
    print(f"{len(answers)} requests, {served} answered 200, {len(broken)} refused with a promise although they had run, "
          f"{len(twice)} payments made twice")
    if served < REQUESTS // 2:
        return 2
    return 1 if broken else 0


def main():
    folder = tempfile.mkdtemp()
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(play(folder, record), 90))
    except (OSError, asyncio.TimeoutError) as error:
        record("could not run:", repr(error))
        return 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)


sys.exit(main())
