"""A replica leaves without a word just as the hosts that follow the store are killed."""
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "4"))
from standins import Host, Record, Replica, Store, call, config, free_ports, route  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("lac", "charguia", "manouba")
HOSTS, REPLICAS = 11, 3
SETTLED_S = 8.0  # all hosts know each other, and have been in touch for `contact_ms`
GONE_AFTER_KILL_S = float(os.environ.get("GONE_AFTER_KILL_S", "0.1"))
DRAIN_MS = 2000
SERVES_ON_S = 2.5  # `drain_ms` "plus a little more (at times many seconds)"
WORK_S = 0.3
CLIENTS = 3  # a host
DOWN_S = 2.0
INTERVAL_S = 0.05  # between two requests to the same host


def follows_store(host):
    """Whether a host follows the store, by the last of its lines that says so."""
    has_turn = True
    with open(host.log) as lines:
        for line in lines:
            if '"event":"reads"' in line:
                has_turn = json.loads(line)["has_turn"]
    return has_turn


async def is_ready(host, record):
    """Waits until a host is ready; writes its last lines to the record if that fails."""
    if await host.wait_ready(20):
        return True
    record("not ready:", host.name, "exit code", host.process.returncode)
    with open(host.log) as lines:
        for line in list(lines)[-10:]:
            record(host.name, line.strip())
    return False


async def play(folder, record):
    store = Store(record)
    ips = [f"127.0.0.{51 + i}" for i in range(HOSTS)]
    ports = free_ports(ips, 4)
    store_ports = free_ports(["127.0.0.1"], HOSTS)
    server_ports = free_ports(["127.0.0.1"], REPLICAS)
    hosts = []
    for index in range(HOSTS):
        address = ("127.0.0.1", store_ports[index])
        await store.listen(address, index)
        hosts.append(Host(index, folder, address, ips, ZONES[index % 3], ports=(*ports, ports[3] + 2)))
    loop = asyncio.get_running_loop()
    arrivals = []  # at the leaving replica: time, request id
    replicas = []

    async def behave(replica, request, writer):
        if replica is replicas[0]:
            arrivals.append((loop.time(), request["id"]))
        return False

    for i in range(REPLICAS):
        replicas.append(Replica(f"i-{i + 1}", "shelf-api", ("127.0.0.1", server_ports[i]), record, ZONES[i % 3], slots=16,
                                work_s=WORK_S, behave=behave))
    for replica in replicas:
        await replica.start(store)
    routes = [route("r-price", "/price/", "unsafe", "shelf-api")]
    await store.put("op", "config", config(3, routes, ["shelf-api"], [{"name": "hule930", "api_keys": ["k1"], "priority": 1}]))
    for host in hosts:
        await host.start()
    answers, sent_to = {}, {}
    is_over = False

    async def client(host):
        """Sends payments to one host, while that runs."""
        while not is_over:
            request_id = f"{len(sent_to):08x}"
            sent_to[request_id] = host
            headers = {"Host": "ficu95.example", "Request-Id": request_id, "Deadline-Ms": 1500, "Authorization": "Token k1"}
            try:
                status, _, _ = await call(host.front_address, "POST", "/price/pay", headers, b"payment")
            except (OSError, EOFError, asyncio.TimeoutError) as error:
                status = type(error).__name__
            answers[request_id] = status
            record("client sends", request_id, "to", host.name, "and gets", status)
            await asyncio.sleep(INTERVAL_S)

    try:
        for host in hosts:
            if not await is_ready(host, record):
                return 2
        await asyncio.sleep(SETTLED_S)
        for host in hosts:
            if not follows_store(host):
                host.signal(signal.SIGTERM)
                await host.process.wait()
                await host.start(bootstrap=False)
                if not await is_ready(host, record):
                    return 2
                record(host.name, "was restarted")
        clients = [asyncio.create_task(client(host)) for host in hosts for _ in range(CLIENTS)]
        await asyncio.sleep(SETTLED_S)
        killed = [host for host in hosts if follows_store(host)]
        record("hosts that follow the store:", *[host.name for host in killed])
        if HAS_TROUBLE:
            if not 0 < len(killed) <= 0.55 * HOSTS:
                record("these can't be killed at once")
                return 2
            for host in killed:
                host.kill()
            record("killed")
            await asyncio.sleep(GONE_AFTER_KILL_S)
        await store.remove("servers", replicas[0].name)
        gone_at = loop.time()
        record("the entry of", replicas[0].name, "is gone; it serves on")

        async def restart():
            await asyncio.sleep(DOWN_S)
            for host in killed:
                await host.process.wait()
                await host.start(bootstrap=False)
            record("started again")

        starts = asyncio.create_task(restart()) if HAS_TROUBLE else None
        await asyncio.sleep(SERVES_ON_S)
        replicas[0].crash()
        record(replicas[0].name, "ends")
        await asyncio.sleep(1)
        is_over = True
        await asyncio.gather(*clients)
        if starts:
            await starts
    finally:
        for host in hosts:
            host.kill()
        for host in hosts:
            if host.process:
                await host.process.wait()
    in_touch = [host for host in hosts if not HAS_TROUBLE or host not in killed]
    late = [(at - gone_at, i) for at, i in arrivals if at - gone_at > DRAIN_MS / 1000 and sent_to.get(i) in in_touch]
    by_host = {}
    for after, i in late:
        by_host.setdefault(sent_to[i].name, []).append(after)
    for name, times in sorted(by_host.items()):
        record("DRAIN:", name, "sent", len(times), f"requests later than {DRAIN_MS} ms, up to {max(times) * 1000:.0f} ms after the entry was gone")
    served = sum(1 for status in answers.values() if status == 200)
    lost = [i for _, i in late if answers.get(i) != 200]
    record("requests:", len(answers), "answered 200:", served, "late at the replica:", len(late), "of these not answered 200:", len(lost))
    print(f"{len(answers)} requests, {served} answered 200; {len(late)} reached the replica later than {DRAIN_MS} ms, from "
          f"{len(by_host)} hosts in touch; {len(lost)} of these were cut")
    return 1 if late else 0


def main():
    folder = tempfile.mkdtemp()
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(play(folder, record), 100))
    except (OSError, asyncio.TimeoutError) as error:
        record("could not run:", repr(error))
        return 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)


sys.exit(main())
