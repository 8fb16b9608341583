"""Stand-ins for a small deployment on loopback: the platform's store, backends, consumers, and
the control of chervillink processes. Standard library only; one event loop."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = ["target/release/chervillink"]  # `run` of deploy/system.toml


class Record:
    """Lines of record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Start line and headers (lower-case names) of one message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Body with a length or in chunks; None if the stream ends before it does."""
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += chunk[:-2]
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


async def serve(handler, ip):
    """Starts a server on a free port of `ip`; returns it with its port."""
    server = await asyncio.start_server(handler, ip, 0, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's store: items, watches, leases and transactions over HTTP with JSON bodies.
    Each host gets a port of its own, so that a disturbance can be limited to some of them."""

    def __init__(self):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.next_lease = 10, 100
        self.compacted = 0
        self.changed = asyncio.Condition()
        self.down = set()  # ports at which calls are refused with 503
        self.connections = {}
        self.servers = []

    async def listen(self, ip="127.0.0.1"):
        box = {}

        async def handle(reader, writer):
            await self.handle(box["port"], reader, writer)

        server, box["port"] = await serve(handle, ip)
        self.servers.append(server)
        return box["port"]

    def emit(self, event):
        self.events.append(event)
        del self.events[:-5000]

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        created = old["created_at"] if old else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created_at": created, "lease": lease}
        self.items[key] = item
        self.emit(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.emit({"key": key, "revision": self.revision, "deleted": True})

    async def write(self, key, value):
        """Writes a JSON value, as the operator and the backends do; None deletes the key."""
        if value is None:
            self.remove(key)
        else:
            self.put(key, json.dumps(value).encode())
        await self.wake()

    def expire(self):
        now = time.monotonic()
        for lease in [k for k, (end, _) in self.leases.items() if end <= now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    async def handle(self, port, reader, writer):
        self.connections.setdefault(port, set()).add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if body is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                if port in self.down:
                    status, reply = 503, {}
                else:
                    status, reply = await self.call(method, target, body)
                    if port in self.down:
                        status, reply = 503, {}
                data = json.dumps(reply).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections[port].discard(writer)
            writer.close()

    async def call(self, method, target, body):
        self.expire()
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "store_revision": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query)
        data = json.loads(body) if body else {}
        if url.path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + data["ttl_ms"] / 1e3, data["ttl_ms"] / 1e3)
            return 200, {"lease": self.next_lease, "ttl_ms": data["ttl_ms"]}
        if url.path.startswith("/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1e3)}
        if url.path == "/kv-txn":
            return await self.transact(data)
        return 404, {}

    async def transact(self, data):
        expected = data.get("expected_rev", [])
        actual = [self.items.get(e["key"]) for e in expected]
        if any((a["revision"] if a else 0) != e["revision"] for a, e in zip(actual, expected)):
            return 412, {"items": [a for a in actual if a]}
        if any(w.get("lease") and w["lease"] not in self.leases for w in data.get("writes", [])):
            return 404, {}
        for write in data.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in data.get("deletes", []):
            self.remove(key)
        await self.wake()
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
        if after < self.compacted:
            return 410, {}
        prefix = query.get("path_prefix", "")
        while True:
            self.expire()
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.25))
                except asyncio.TimeoutError:
                    pass


class Backend:
    """A sound backend. It registers itself, runs requests, echoes their ids and proves its answers.
    `work_s` is how long a request takes."""

    def __init__(self, world, service, name, ip="127.0.0.1", zone="z1", slots=8, work_s=0.01):
        self.world, self.service, self.id, self.ip, self.zone = world, service, name, ip, zone
        self.slots, self.work_s = slots, work_s
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1e3)
        self.running, self.writers, self.server, self.beats = 0, set(), None, None
        self.registered = False

    async def start(self):
        self.server, self.port = await serve(self.handle, self.ip)
        self.registered = True
        self.beats = asyncio.create_task(self.beat())

    def entry(self):
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "max_concurrency": self.slots, "state": self.state,
                "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}

    async def announce(self):
        self.sequence += 1
        await self.world.store.write(f"servers/{self.id}", self.entry())

    async def beat(self):
        while self.registered:
            # A backend reaches the store over its own address; it is down for it as for the hosts.
            if not self.world.store_is_down:
                await self.announce()
            await asyncio.sleep(self.world.heartbeat_s)

    async def deregister(self):
        """Takes the entry away without having reported `draining`."""
        self.registered = False
        self.beats.cancel()
        await self.world.store.write(f"servers/{self.id}", None)

    def stop(self):
        """Ends like a process that exits: open connections break off."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if body is None:
                    break
                await self.respond(head[0], head[1], body, writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, start, headers, body, writer):
        request = headers.get("request-id", "")
        if headers.get("expect-instance") != self.id:
            await self.answer(writer, 421, request, b"", [f"Instance-Id: {self.id}"])
            return
        self.running += 1
        self.world.ran(self, request, start)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        payload = f"{start.split(' ')[1]} by {self.service}".encode()
        await self.answer(writer, 200, request, payload, [f"Response-Stamp: {self.service}.{request}"])

    async def answer(self, writer, status, request, body, extra):
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request}", f"Content-Length: {len(body)}",
                 f"Backend-Load: {self.running},0,{self.slots}", *extra]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


class Host:
    """A chervillink process with a loopback address of its own."""

    def __init__(self, world, index, zone="z1", cpu_share=0.17):
        self.world, self.index, self.zone, self.cpu_share = world, index, zone, cpu_share
        self.ip = f"127.0.{world.net}.{index + 10}"
        self.name = f"front-{zone}-{index}"
        self.process = None

    async def prepare(self):
        self.store_port = await self.world.store.listen()
        self.front, self.ready, self.control = (self.free_port() for _ in range(3))

    def free_port(self):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for port in range(9000 + self.world.port_step(), 9400):
                try:
                    sock.bind((self.ip, port))
                    return port
                except OSError:
                    continue
        raise RuntimeError("no free port")

    def start(self, bootstrap=False):
        world = self.world
        path = os.path.join(world.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(world.settings(self, bootstrap))
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={**environment, "CHERVILLINK_SETTINGS": path})
        log.close()

    def log(self):
        with open(os.path.join(self.world.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(request(self.ip, self.ready, "GET /ready HTTP/1.1", {"Host": "r"}), 1)
        except (asyncio.TimeoutError, OSError):
            return False
        return answer is not None and answer[0] == 200


async def request(ip, port, start, headers, body=b"", local=None):
    """One request on a new connection, from the address `local` if it is given: status, headers and
    body; None if the connection ends first."""
    reader, writer = await asyncio.open_connection(ip, port, local_addr=(local, 0) if local else None)
    try:
        writer.write((start + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())).encode() + b"\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return None
        answer = await read_body(reader, head[1])
        return None if answer is None else (int(head[0].split(" ")[1]), head[1], answer)
    except ConnectionError:
        return None
    finally:
        writer.close()


class World:
    """A deployment: store, hosts and backends, with the bounds of the pages."""

    heartbeat_s = 1.2
    bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
              "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250,
              "max_skew_ms": 12000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 104,
              "warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000, "recovery_s": 12}

    def __init__(self, record):
        self.record, self.store = record, Store()
        self.net = 1 + os.getpid() % 250
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.hosts, self.backends, self.runs, self.steps = [], [], {}, 0
        self.store_is_down = False

    def port_step(self):
        self.steps += 1
        return self.steps

    def ran(self, backend, request_id, start):
        self.runs.setdefault(request_id, []).append((self.record.now(), backend.id))
        self.record.line(f"run {request_id} at {backend.id}: {start}")

    def settings(self, host, bootstrap):
        zones = sorted({h.zone for h in self.hosts})
        seeds = ",".join(f'"{h.ip}:{h.control}"' for h in self.hosts[:3])
        lines = [f'node_name = "{host.name}"', 'role = "host"', 'machine_class = "front"',
                 'serves = ["front","control"]', f'ip = "{host.ip}"', f'zone = "{host.zone}"', 'region = "r1"',
                 f"seeds = [{seeds}]", f"bootstrap = {str(bootstrap).lower()}", 'discovery = "platform"',
                 'entry = "vip"', f"heartbeat_ms = {int(self.heartbeat_s * 1e3)}", "[zones]"]
        lines += [f'{zone} = "r1"' for zone in zones]
        lines += ["[bind_addrs]", f'front = "{host.ip}:{host.front}"', f'ready = "{host.ip}:{host.ready}"',
                  f'control = "{host.ip}:{host.control}"', "[limits]", f"cpu_share = {host.cpu_share}", "cpu_cores = 1",
                  "memory_mb = 182", "max_fds = 2870", "link_mbps = 700.0", "disk_mb = 0", "[bounds]"]
        lines += [f"{key} = {value}" for key, value in self.bounds.items()]
        lines += ["[platform]", f'address = "127.0.0.1:{host.store_port}"', 'form = "kv"', "writes_per_s = 400",
                  "reads_per_s = 2000", "history_s = 20", "value_bytes = 1048576", "min_ttl_ms = 1000"]
        return "\n".join(lines) + "\n"

    def set_store_down(self, down):
        self.store_is_down = down
        self.store.down = {h.store_port for h in self.hosts} if down else set()
        self.record.line("the store " + ("refuses all calls" if down else "is back"))

    async def start(self, config):
        await self.store.write("op/config", config)
        for backend in self.backends:
            await backend.start()
        for host in self.hosts:
            await host.prepare()
        for host in self.hosts:
            host.start(bootstrap=True)
        end = time.monotonic() + 15
        while not all([await h.is_ready() for h in self.hosts]):
            if time.monotonic() > end:
                raise RuntimeError("hosts are not ready")
            await asyncio.sleep(0.1)

    def close(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.kill()
        self.temporary.cleanup()


def config(version, routes, services):
    """A configuration as the operator writes it."""
    service = {"health_path": "/healthz", "max_connections": 192, "protocol": "h1", "tls": False,
               "warmup_s": 3.0, "warmup_per_s": 0.0}
    return {"version": version, "routes": routes,
            "services": [{"name": name, **service} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def route(name, prefix, kind, timeout_ms, target_ms, **more):
    """A route; `more` names its service, split or shards."""
    return {"name": name, "hostname": "app.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "max_attempts": 2, **more}


async def run_case(run, world, trouble):
    try:
        return await asyncio.wait_for(run(world, trouble), 110)
    finally:
        world.close()


def main(run, folder):
    """Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(run_case(run, World(record), trouble))
        code = 1 if broken else 0
        record.line(f"result: {'broken' if broken else 'held'}")
    except Exception as error:  # noqa: BLE001
        code = 2
        record.line(f"result: the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    record.close()
    sys.stdout.flush()
    # Without the warnings about connections that are still open.
    os._exit(code)
