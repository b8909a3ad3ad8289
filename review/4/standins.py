"""Stand-ins for the platform's store, replicas and clients, and hosts as processes.

They speak what PROTOCOL.md says, on loopback addresses and the real clock.
"""
import asyncio, base64, json, os, signal, socket, tempfile, time, urllib.parse, random

HOST_PROGRAM = "target/release/chalkrock-host"
T0 = time.monotonic()


def now_ms():
    return int((time.monotonic() - T0) * 1000)


class Record:
    def __init__(self, path):
        self.lines = []
        self.file = open(path, "w")

    def __call__(self, *words):
        line = f"{now_ms():7d} " + " ".join(str(w) for w in words)
        self.file.write(line + "\n")
        self.file.flush()


class Http:
    """One side of an HTTP/1.1 connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def head(self):
        data = await self.reader.readuntil(b"\r\n\r\n")
        lines = data.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    async def body(self, headers, is_response=False):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await self.reader.readline()).strip(), 16)
                if size == 0:
                    while (await self.reader.readline()).strip():
                        pass
                    return body
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
        if "content-length" in headers:
            return await self.reader.readexactly(int(headers["content-length"]))
        if is_response:
            return await self.reader.read()
        return b""


class Store:
    """The platform's store: rows, feeds and transactions."""

    def __init__(self, record=None):
        self.ver = 0
        self.rows = {}  # (table, part, key) -> (ver, value or None)
        self.changed = asyncio.Condition()
        self.record = record or (lambda *a: None)
        self.behaviour = {}  # host name -> callable or None
        self.history_from = 0
        self.servers = []
        self.tasks = set()

    async def listen(self, address, host):
        async def serve(reader, writer):
            http = Http(reader, writer)
            try:
                while True:
                    line, headers = await http.head()
                    body = await http.body(headers)
                    method, target, _ = line.split(" ")
                    mode = self.behaviour.get(host)
                    if mode == "silent":
                        await asyncio.sleep(3600)
                    if mode == "reset":
                        writer.transport.abort()
                        return
                    if isinstance(mode, int):
                        status, answer = mode, {}
                    else:
                        status, answer = await self.handle(method, target, body)
                        while self.behaviour.get(host) == "silent":
                            await asyncio.sleep(3600)
                    text = json.dumps(answer).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode()
                        + text
                    )
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, *address)
        self.servers.append(server)

    def select(self, table, part, since=None, start="", end=None):
        rows = []
        for (t, p, k), (ver, value) in sorted(self.rows.items()):
            if t != table or (part is not None and p != part) or k < start or (end and k >= end):
                continue
            if since is None and value is None or since is not None and ver <= since:
                continue
            row = {"table": t, "part": p, "private_key": k, "ver": ver}
            if value is None:
                row["gone"] = True
            else:
                row["value"] = value
            rows.append(row)
        if since is not None:
            rows.sort(key=lambda row: row["ver"])
        return rows

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/-/rows-get":
            rows = self.select(query["table"], query.get("part", ""), None, query.get("from", ""), query.get("target_version"))
            return 200, {"rows": rows[:500], "more": len(rows) > 500, "ver": self.ver, "now_ms": now_ms()}
        if url.path == "/-/rows-feed":
            since = int(query["since_rev"])
            if since < self.history_from:
                return 410, {}
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = self.select(query["table"], None, since)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "ver": self.ver, "now_ms": now_ms()}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/-/rows-tx":
            tx = json.loads(body)
            key = lambda e: (e["table"], e.get("part", ""), e["private_key"])
            for e in tx.get("expected_rev", []):
                ver, value = self.rows.get(key(e), (0, None))
                if (ver if value is not None else 0) != e["ver"]:
                    rows = [r for e in tx["expected_rev"] for r in self.select(e["table"], e.get("part", "")) if r["private_key"] == e["private_key"]]
                    return 412, {"rows": rows, "ver": self.ver, "now_ms": now_ms()}
            changes = {key(e): e["value"] for e in tx.get("put", [])}
            changes |= {key(e): None for e in tx.get("remove", [])}
            await self.write(changes)
            self.record("store written by a host", [k for k in changes])
            return 200, {"ver": self.ver, "now_ms": now_ms()}
        return 404, {}

    async def write(self, changes):
        self.ver += 1
        for key, value in changes.items():
            self.rows[key] = (self.ver, value)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, value):
        await self.write({(table, "", key): base64.b64encode(json.dumps(value).encode()).decode()})

    async def remove(self, table, key):
        await self.write({(table, "", key): None})

    def get(self, table, key):
        ver, value = self.rows.get((table, "", key), (0, None))
        return None if value is None else json.loads(base64.b64decode(value))


class Replica:
    """A replica of a service. `behave(replica, request)` may answer otherwise than usual."""

    def __init__(self, name, service, address, record, zone="lac", slots=64, work_s=0.02, behave=None, version="v1"):
        self.name, self.service, self.address, self.record = name, service, address, record
        self.zone, self.slots, self.work_s, self.behave, self.version = zone, slots, work_s, behave, version
        self.runs = {}  # request id -> count
        self.seq = 0
        self.server = None
        self.writers = set()
        self.state = "ready"

    def row(self):
        self.seq += 1
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq_no": self.seq}

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, *self.address)
        await store.put("servers", self.name, self.row())

    def crash(self):
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        http = Http(reader, writer)
        try:
            while True:
                line, headers = await http.head()
                body = await http.body(headers)
                method, target, _ = line.split(" ")
                if target == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nReplica-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                expected = headers.get("expect-replica")
                if expected not in (None, self.name):
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name.encode())
                    continue
                request = dict(id=headers.get("request-id"), method=method, target=target, headers=headers, body=body)
                if self.behave and await self.behave(self, request, writer):
                    continue
                self.run(request)
                await asyncio.sleep(self.work_s)
                self.answer(writer, request, 200, b"done " + request["id"].encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, request):
        self.runs[request["id"]] = self.runs.get(request["id"], 0) + 1
        self.record("replica", self.name, "runs", request["id"], request["method"], request["target"], "tenant", request["headers"].get("tenant"))

    def answer(self, writer, request, status, body, extra=""):
        writer.write((f"HTTP/1.1 {status} X\r\nRequest-Id: {request['id']}\r\nServer-Signature: {self.name}.{request['id']}\r\n{extra}"
                      f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


def free_ports(ips, count):
    """Ports that are free on all of these addresses, for TCP and UDP, apart from each other."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        if any(abs(port - other) < 8 for other in found):
            continue
        try:
            for ip in ips:
                for near in range(port, port + 3):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, near))
        except OSError:
            continue
        found.append(port)
    return found


SETTINGS = """node_name: "{name}"
role: "host"
machine_class: "front"
serves: ["front", "control"]
ip: "{ip}"
zone: "{zone}"
region: "tunis"
zones: {{lac: "tunis", charguia: "tunis", manouba: "tunis"}}
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}", control: "{ip}:{control}"}}
port_range: [{first}, {last}]
seeds: [{seeds}]
bootstrap: {bootstrap}
in_tolerance: false
limits: {{cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
invariants: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {{machines: 2, zones: 0, regions: 0}}
bounds: {{seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, strict_revoke: false,
  revoke_ms: 5000, retry_budget: 0.2, budget_window_s: 10, budget_slack: 56, recover_s: 12, pass_ms: 120,
  retry_after_s: 10, cap_factor: 2{bounds}}}
platform: {{address: "{store}", form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 5.0, part_writes_per_s: 200,
  row_bytes: 65536, across: false, history_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_per_s: 80.0}}
"""


class Host:
    """A host as a process."""

    def __init__(self, index, folder, store_address, ips, zone="lac", bounds="", ports=(8227, 8220, 8229, 7340, 7355)):
        self.ip = ips[index]
        self.name = f"front-{zone}-{index + 1}"
        self.folder, self.process = folder, None
        self.front_address = (self.ip, ports[0])
        self.ready_address = (self.ip, ports[1])
        self.kw = dict(name=self.name, ip=self.ip, zone=zone, front=ports[0], ready=ports[1], control=ports[2], first=ports[3],
                       last=ports[4], seeds=", ".join(f'"{ip}:{ports[2]}"' for ip in ips[:3]),
                       store="%s:%d" % store_address, bounds=bounds)
        self.path = os.path.join(folder, self.name + ".yaml")
        self.log = os.path.join(folder, self.name + ".log")

    async def start(self, bootstrap=True):
        with open(self.path, "w") as f:
            f.write(SETTINGS.format(bootstrap="true" if bootstrap else "false", **self.kw))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CHALKROCK_NODE_FILE"] = self.path
        self.process = await asyncio.create_subprocess_exec(
            os.path.abspath(HOST_PROGRAM), env=env, stdout=open(self.log, "a"), stderr=asyncio.subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()

    async def wait_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                status, _, _ = await call(self.ready_address, "GET", "/-/ready", {}, timeout=1)
                if status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False


async def call(address, method, target, headers, body=b"", timeout=5, connection=None):
    """One request on a connection of its own. Returns status, headers, body."""
    async def go():
        reader, writer = connection or await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            if "host" not in {k.lower() for k in headers}:
                head += "Host: x.example\r\n"
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            http = Http(reader, writer)
            line, answered = await http.head()
            status = int(line.split(" ")[1])
            data = b"" if status in (204, 304) else await http.body(answered, is_response=True)
            return status, answered, data
        finally:
            if connection is None:
                writer.close()
    return await asyncio.wait_for(go(), timeout)


def route(name, prefix, kind, service, **more):
    base = {"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 800, "slo_ms": 150,
            "priority": 2, "service": service, "max_attempts": 2 if kind == "safe" else 1, "public": False, "sticky": False,
            "resumable": False}
    base.update(more)
    return base


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}
