"""Stand-ins of the platform's store, of backend servers and of consumers, and the start of
chervillink hosts, for the scripts of this review. Python's standard library only.

All addresses are loopback addresses. Each run uses a random block of them, so that the fixed
ports of a host (front, ready, control, metrics) are free.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "chervillink")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small sites, as in the settings file on the platform's pages.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "downgrade_ms": 250, "max_skew_ms": 12000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 104, "warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000,
    "recovery_s": 12,
}
HEARTBEAT_S = 1.2
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
ZONES = ["zone-a", "zone-b", "zone-c"]

now = time.monotonic


class Record:
    """What was sent, run and answered; written to record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def write(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's store: items, leases, watches. Each host calls it at a port of its own, so
    that the stand-in knows which host calls."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: (value, revision, created_at, lease)
        self.events = []
        self.leases = {}  # id: (end, ttl in seconds)
        self.revision = 10
        self.is_down = False
        self.last_reader = None
        # Hosts that the store turns away with 503.
        self.refused = set()
        # Called with the host at each call, and when a watch is answered.
        self.on_call = lambda host: None
        self.on_watch_end = lambda host: None
        self.servers = []
        self.changed = asyncio.Event()

    async def listen(self, host):
        async def serve(reader, writer):
            await self.serve(reader, writer, host)
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def item(self, key):
        value, revision, created_at, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created_at": created_at, "lease": lease}

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created_at = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created_at, lease)
        self.events.append((self.revision, self.item(key)))
        self.wake()

    def delete(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.events.append(
                (self.revision, {"key": key, "revision": self.revision, "deleted": True}))
            self.wake()

    def expire(self):
        ended = [lease for lease, (end, _) in self.leases.items() if end < now()]
        for lease in ended:
            del self.leases[lease]
        for key in [k for k, i in self.items.items() if i[3] and i[3] not in self.leases]:
            self.delete(key)

    def end_all_leases(self):
        """What the page allows while the store is down: leases expire."""
        self.leases.clear()
        self.expire()

    async def serve(self, reader, writer, host):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                size = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                body = await reader.readexactly(size) if size else b""
                self.on_call(host)
                if self.is_down or host in self.refused:
                    status, reply = 503, {}
                else:
                    status, reply = await self.handle(target, body, host)
                text = json.dumps(reply).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if target.startswith("/kv-watch"):
                    self.on_watch_end(host)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, target, body, host):
        self.expire()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(body) if body else {}
        if url.path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.item(k) for k in keys[:500]], "has_more": len(keys) > 500,
                         "store_revision": self.revision}
        if url.path == "/kv-watch":
            self.last_reader = host
            after = int(query["after"])
            end = now() + int(query.get("wait_ms", 0)) / 1e3
            while True:
                self.expire()
                events = [event for revision, event in self.events if revision > after]
                if events or now() >= end or self.is_down:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
                except asyncio.TimeoutError:
                    pass
        if url.path == "/kv-lease":
            self.revision += 1
            ttl = body["ttl_ms"]
            self.leases[self.revision] = (now() + ttl / 1e3, ttl / 1e3)
            return 200, {"lease": self.revision, "ttl_ms": ttl}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1e3)}
        if url.path == "/kv-txn":
            for write in body.get("writes", []):
                if write.get("lease") and write["lease"] not in self.leases:
                    return 404, {}
            for write in body.get("writes", []):
                self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
            for key in body.get("deletes", []):
                self.delete(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Backend:
    """A backend server at a fixed address. Each start is a new boot with a new id. A request
    whose path contains `crashing` crashes it `crash_after_s` after it began to run, if that is
    not None; it is back `down_s` later."""

    def __init__(self, world, service, zone, crash_after_s=0.0, down_s=3.0, work_s=0.02):
        self.world, self.service, self.zone = world, service, zone
        self.crash_after_s, self.down_s, self.work_s = crash_after_s, down_s, work_s
        self.port = 0
        self.is_up = False
        self.connections = set()
        self.tasks = set()
        self.crashes = 0

    async def start(self):
        self.id = f"i-{os.urandom(4).hex()}"
        self.born = int(time.time() * 1e3)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self.serve, self.world.backend_ip, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.heartbeat = asyncio.create_task(self.beat(self.id))

    async def beat(self, id):
        store = self.world.store
        while True:
            if not store.is_down:
                self.sequence += 1
                store.put("servers/" + id, {
                    "service": self.service, "address": f"{self.world.backend_ip}:{self.port}",
                    "zone": self.zone, "version": "1", "max_concurrency": 6, "state": "ready",
                    "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, reason):
        """Ends like a process that is killed: the port refuses, connections are reset."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes += 1
        self.world.crashes.append(now())
        self.world.record.write(f"backend {self.id} crashes on {reason}")
        self.heartbeat.cancel()
        self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.keep(self.come_back(self.id))

    def keep(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come_back(self, old_id):
        """The entry of a crashed server is removed after three heartbeats of silence."""
        crashed_at = now()
        await asyncio.sleep(self.down_s)
        await self.start()
        self.world.record.write(f"backend {self.id} is back in the place of {old_id}")
        await asyncio.sleep(max(0.0, ENTRY_LIFETIME_S - (now() - crashed_at)))
        self.world.store.delete("servers/" + old_id)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        id = self.id
        try:
            while True:
                method, path, headers, _ = await read_message(reader)
                request_id = headers.get("request-id", "")
                if headers.get("expect-instance", id) != id:
                    writer.write(response(421, request_id, b"", ["Not-Executed: 1"]))
                    continue
                self.world.arrive(request_id, self)
                if "crashing" in path and self.crash_after_s is not None:
                    # This server does not drop a request when its connection closes.
                    reason = f"request {request_id}"
                    asyncio.get_running_loop().call_later(
                        self.crash_after_s, lambda: self.id == id and self.crash(reason))
                    await asyncio.sleep(60)
                await asyncio.sleep(self.world.order_s if "order" in path else self.work_s)
                writer.write(response(200, request_id, f"answer to {request_id}".encode(),
                                      [f"Response-Stamp: {id}.{request_id}"]))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def response(status, request_id, body, extra):
    lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request_id}", *extra,
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_message(reader):
    """First word, second word, headers and body of a request or an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin1").split("\r\n")
    first, second = lines[0].split(" ")[:2]
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", 0))
    return first, second, headers, await reader.readexactly(size)


class World:
    """All that a run starts."""

    def __init__(self, folder, hosts):
        if not os.access(BINARY, os.X_OK):
            raise RuntimeError("target/release/chervillink is missing")
        self.record = Record(folder)
        self.store = Store(self.record)
        self.block = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.backend_ip = f"{self.block}.200"
        self.backends = []
        self.crashes = []
        self.arrivals = {}
        # Time that an order takes, and outcomes of other consumers' orders by status.
        self.order_s = 0.3
        self.orders = {}
        # Answers of other consumers' queries that leave parts out.
        self.partial = 0
        self.directory = tempfile.TemporaryDirectory(prefix="chervil-review-")
        self.hosts = [Host(self, index) for index in range(hosts)]

    def arrive(self, request_id, backend):
        self.arrivals.setdefault(request_id, []).append(backend.service)
        self.record.write(f"request {request_id} reaches backend {backend.id}")

    async def start(self, services, config):
        """Starts backends and hosts, and waits until all hosts are ready."""
        for backend in services:
            self.backends.append(backend)
            await backend.start()
        self.store.put("op/config", config)
        for host in self.hosts:
            await host.start(bootstrap=True)
        for host in self.hosts:
            await host.wait_until_ready()

    def stop(self):
        for host in self.hosts:
            host.kill()
        self.directory.cleanup()


class Host:
    """A chervillink host, started with the command of the deploy file."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.ip = f"{world.block}.{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.name = f"front-{self.zone}-{index + 1}"
        self.cpu_share = 0.17
        self.process = None
        self.store_port = None

    def settings(self, bootstrap):
        seeds = [f"{h.ip}:8224" for h in self.world.hosts[:3]]
        tables = {
            "zones": {zone: "region-1" for zone in ZONES},
            "bind_addrs": {"front": f"{self.ip}:8226", "ready": f"{self.ip}:8227",
                           "control": f"{self.ip}:8224"},
            "limits": {"cpu_share": self.cpu_share, "cpu_cores": 1, "memory_mb": 182, "max_fds": 2870,
                       "link_mbps": 700.0, "disk_mb": 0},
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "min_ttl_ms": 1000},
        }
        top = {"node_name": self.name, "role": "host", "machine_class": "front",
               "serves": ["front", "control"], "ip": self.ip, "zone": self.zone,
               "region": "region-1", "internal_ports": [7740, 7755], "seeds": seeds,
               "bootstrap": bootstrap, "fault_counted": False, "discovery": "platform",
               "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1e3),
               "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                             "places", "platform"]}
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{json.dumps(key)} = {json.dumps(value)}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    async def start(self, bootstrap=False):
        if self.store_port is None:
            self.store_port = await self.world.store.listen(self)
        path = os.path.join(self.world.directory.name, f"{self.name}.toml")
        with open(path, "w") as file:
            file.write(self.settings(bootstrap))
        log = open(os.path.join(self.world.directory.name, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.directory.name,
                       "CHERVILLINK_SETTINGS": path}
        self.started_at = now()
        self.process = subprocess.Popen([BINARY], env=environment, cwd=ROOT, stdout=log, stderr=log)
        self.world.record.write(f"start {self.name}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, 8227), timeout=0.5)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), timeout=0.5)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self):
        for _ in range(100):
            if await self.is_ready():
                self.world.record.write(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} does not become ready")

    async def terminate(self):
        """SIGTERM, and SIGKILL after `grace_s`, as the platform does."""
        self.world.record.write(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        end = now() + BOUNDS["grace_s"]
        while self.process.poll() is None and now() < end:
            await asyncio.sleep(0.05)
        self.kill()
        self.world.record.write(f"{self.name} has ended")

    def lose(self):
        """A machine without power: its processes answer nothing, connections to them hang."""
        self.world.record.write(f"{self.name} loses power")
        self.process.send_signal(signal.SIGSTOP)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def configuration(services, routes):
    return {
        "version": 3, "routes": routes,
        "services": [{"name": name, "max_connections": 192, "health_path": "/healthz"}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


async def send(world, host, path, hostname, leave_after_s=None, deadline_ms=4000):
    """Sends one consumer attempt on a new connection. Returns its id and its status; the status
    is None if the consumer left after `leave_after_s`, or got no answer."""
    request_id = f"{random.getrandbits(64):016x}"
    world.record.write(f"consumer sends {request_id} GET {path} to {host.name}")
    status = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, 8226), timeout=1)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {hostname}\r\nRequest-Id: {request_id}\r\n"
                     f"Deadline-Ms: {deadline_ms}\r\n\r\n".encode())
        wait = leave_after_s if leave_after_s is not None else deadline_ms / 1e3 + 1
        _, status, headers, _ = await asyncio.wait_for(read_message(reader), timeout=wait)
        if headers.get("missing-parts", "0") != "0" and "crashing" not in path:
            world.partial += 1
    except asyncio.TimeoutError:
        pass
    except (OSError, asyncio.IncompleteReadError) as error:
        world.record.write(f"consumer: {request_id} ends with {error!r}")
    finally:
        if "writer" in locals():
            writer.close()
    world.record.write(f"consumer: {request_id} "
                       + (f"answered {status}" if status else "left without an answer"))
    return request_id, status


def routes():
    """A route for quotes, which may be repeated, and one for orders, which may not."""
    common = {"timeout_ms": 4000, "target_latency_ms": 400, "max_attempts": 2, "priority": 2,
              "service": "quote-desk"}
    return [
        {"name": "r-quote", "hostname": "quote.example", "path_prefix": "/quote/",
         "type": "idempotent", **common},
        {"name": "r-order", "hostname": "order.example", "path_prefix": "/order/",
         "type": "non_idempotent", **common},
    ]


async def order(world):
    """Other consumers, who send orders to hosts that are ready and wait for the answers."""
    async def consumer(first):
        count = first
        while True:
            count += 4
            host = world.hosts[count % len(world.hosts)]
            if await host.is_ready():
                _, status = await send(world, host, f"/order/{count}", "order.example")
                world.orders[status] = world.orders.get(status, 0) + 1
            await asyncio.sleep(0.2)
    await asyncio.gather(*(consumer(first) for first in range(4)))


def conclude(world, late):
    """Writes what was seen; returns the exit code."""
    text = (f"{len(world.crashes)} crashes of backend servers; {len(late)} retries that hosts in "
            "touch sent later than contact_ms after the third crash reached one (3 allowed); "
            f"orders of other consumers by status: {world.orders}")
    world.record.write(text)
    print(text)
    return 1 if len(late) > 3 else 0


def run(main):
    """Runs a case and exits with its code; with 2 if it could not run to its end."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(asyncio.wait_for(main(), timeout=110))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
