"""Stand-ins of the platform's store and of consumers, and the processes of a case."""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "chervillink")
HEARTBEAT_MS = 1200
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case cannot run; says nothing about the rule."""


class Store:
    """The platform's store: ranges, watches, leases and transactions."""

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}
        self.events = []
        self.leases = {}
        self.revision = 1
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                body = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self):
                url = urlparse(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                self.answer(*store.read(url.path, query))

            def do_POST(self):
                size = int(self.headers.get("Content-Length") or 0)
                text = self.rfile.read(size)
                self.answer(*store.change(self.path, json.loads(text) if text else {}))

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def read(self, path, query):
        prefix = query.get("path_prefix", "")
        with self.lock:
            self.expire()
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, dict(item, store_revision=self.revision)
            if path == "/kv-range":
                after = query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[k] for k in keys[:500]]
                more = len(keys) > 500
                return 200, {"items": items, "has_more": more, "store_revision": self.revision}
            after = int(query.get("after", 0))
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1e3
            while True:
                events = [e for e in self.events if e["revision"] > after]
                events = [e for e in events if e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                self.lock.wait(min(left, 0.2))
                self.expire()

    def change(self, path, body):
        with self.lock:
            self.expire()
            if path == "/kv-lease":
                self.revision += 1
                self.leases[self.revision] = [time.monotonic() + body["ttl_ms"] / 1e3, body["ttl_ms"]]
                return 200, {"lease": self.revision, "ttl_ms": body["ttl_ms"]}
            if path.startswith("/kv-keep/"):
                lease = self.leases.get(int(path.rsplit("/", 1)[1]))
                if lease is None:
                    return 404, {}
                lease[0] = time.monotonic() + lease[1] / 1e3
                return 200, {"ttl_ms": lease[1]}
            rows = body.get("expected_rev", [])
            if any(self.items.get(r["key"], {"revision": 0})["revision"] != r["revision"] for r in rows):
                return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
            writes = body.get("writes", [])
            if any(w.get("lease", 0) and w["lease"] not in self.leases for w in writes):
                return 404, {}
            self.revision += 1
            for write in writes:
                self.write(write["key"], write["value"], write.get("lease", 0))
            for key in body.get("deletes", []):
                self.remove(key)
            self.lock.notify_all()
            return 200, {"revision": self.revision}

    def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (end, _) in self.leases.items() if end <= now]
        for lease in ended:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.revision += 1
                self.remove(key)

    def write(self, key, value, lease):
        created = self.items.get(key, {}).get("created_at", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "created_at": created, "lease": lease}
        self.items[key] = item
        self.events.append(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def put(self, key, value):
        """Writes for the operator or a backend; the return is the confirmation."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.lock:
            self.revision += 1
            self.write(key, text, 0)
            self.lock.notify_all()

    def delete(self, key):
        with self.lock:
            self.revision += 1
            self.remove(key)
            self.lock.notify_all()


def route(name, prefix, kind, target, timeout_ms=4000, latency_ms=400, attempts=2, **more):
    return dict({"name": name, "hostname": "desk.example", "path_prefix": prefix, "type": kind,
                 "timeout_ms": timeout_ms, "target_latency_ms": latency_ms, "priority": 1,
                 "max_attempts": attempts}, **target, **more)


def config(version, routes, services, connections=192):
    """A configuration with the limits of today's installations."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": connections,
                          "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


SETTINGS = """node_name = "{name}"
role = "host"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "sul-br"
internal_ports = [7740,7755]
seeds = [{seeds}]
bootstrap = {bootstrap}
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = {heartbeat}
contracts = ["base","drain","config","cost","retry","recover","scatter","places","platform"]
[zones]
rio-grande = "sul-br"
itajai = "sul-br"
[bind_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.17
cpu_cores = 1
memory_mb = 182
max_fds = 2870
link_mbps = 700.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
max_skew_ms = 12000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 104
warmup_overshoot = 1.5
warmup_slack = 5
evacuate_ms = 5000
recovery_s = 12
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Host:
    """A chervillink process on a loopback address of its own."""

    def __init__(self, rig, name, zone):
        self.rig, self.name, self.zone = rig, name, zone
        while True:
            self.ip = "127.%d.%d.%d" % (random.randint(1, 250), random.randint(0, 250), random.randint(2, 250))
            try:
                with socket.socket() as probe:
                    probe.bind((self.ip, 9464))
                break
            except OSError:
                continue
        self.front, self.ready, self.control = (free_port(self.ip) for _ in range(3))
        self.process = None

    def start(self, bootstrap=False):
        rig = self.rig
        path = os.path.join(rig.folder, self.name + ".toml")
        seeds = ",".join('"%s:%d"' % (h.ip, h.control) for h in rig.hosts[:3])
        with open(path, "w") as file:
            file.write(SETTINGS.format(name=self.name, ip=self.ip, zone=self.zone, seeds=seeds,
                                       bootstrap=str(bootstrap).lower(), heartbeat=HEARTBEAT_MS,
                                       front=self.front, ready=self.ready, control=self.control,
                                       store=rig.store.address))
        log = open(os.path.join(rig.folder, self.name + ".log"), "a")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": rig.folder, "CHERVILLINK_SETTINGS": path}
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        rig.processes.append(self.process)

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready), timeout=1) as probe:
                probe.settimeout(1)
                probe.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return probe.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRun(self.name + " is not ready")


class Backend:
    """A process of `backend.py`; its entry in the store is written for it as it would do."""

    def __init__(self, rig, service, script, *args, zone="rio-grande", slots=6):
        self.rig, self.service, self.zone, self.slots = rig, service, zone, slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.process = subprocess.Popen([sys.executable, script, self.id, *args],
                                        stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, text=True)
        rig.processes.append(self.process)
        self.port = int(self.process.stdout.readline())
        threading.Thread(target=self.follow, daemon=True).start()
        self.beating = True
        threading.Thread(target=self.beat, daemon=True).start()

    def follow(self):
        for line in self.process.stdout:
            self.rig.record("backend %s %s" % (self.id, line.rstrip("\n")))

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "v1", "max_concurrency": self.slots, "state": state, "warmup_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    def beat(self):
        """Writes the entry each heartbeat; after three without one, the entry ends."""
        last = time.monotonic()
        while self.beating:
            if self.process.poll() is None:
                self.rig.store.put("servers/" + self.id, self.entry())
                last = time.monotonic()
            elif time.monotonic() - last > 3 * HEARTBEAT_MS / 1e3:
                self.rig.store.delete("servers/" + self.id)
                return
            time.sleep(HEARTBEAT_MS / 1e3)


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


def exchange(host, method, path, request_id, body=b"", deadline_ms=4000, connection=None):
    """Sends one request as a consumer does and reads its answer; None if the connection ends first."""
    own = connection is None
    if own:
        connection = socket.create_connection((host.ip, host.front), timeout=1)
    connection.settimeout(deadline_ms / 1e3 + 1)
    head = "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
        method, path, request_id, deadline_ms)
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    try:
        connection.sendall(head.encode() + b"\r\n" + body)
        return read_answer(connection)
    except OSError:
        return None
    finally:
        if own:
            connection.close()


def read_answer(connection):
    text = b""
    while b"\r\n\r\n" not in text:
        part = connection.recv(65536)
        if not part:
            return None
        text += part
    head, body = text.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        name, value = name.strip().lower(), value.strip()
        headers[name] = headers[name] + ", " + value if name in headers else value
    length = int(headers["content-length"]) if "content-length" in headers else None
    while length is None or len(body) < length:
        part = connection.recv(65536)
        if not part:
            break
        body += part
    complete = length is None or len(body) == length
    return Answer(int(lines[0].split()[1]), headers, body, complete)


class Rig:
    """The processes of a case, and its record."""

    def __init__(self, case):
        self.case = case
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        self.hosts = []
        self.log = open(os.path.join(case, "record.txt"), "w")
        self.log_lock = threading.Lock()
        self.start = time.monotonic()
        self.store = Store()

    def record(self, text):
        with self.log_lock:
            self.log.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.log.flush()

    def add_hosts(self, zones, bootstrap=True):
        self.hosts = [Host(self, "front-%s-%d" % (zone, n + 1), zone) for n, zone in enumerate(zones)]
        for host in self.hosts:
            host.start(bootstrap)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
            process.wait()
        self.log.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, play):
    """Runs `play(rig)`, which returns what broke the rule, and exits as the issue asks."""
    if not os.path.exists(PROGRAM):
        print("build target/release/chervillink first")
        sys.exit(2)
    rig = Rig(os.path.abspath(case))
    code = 2
    try:
        broken = play(rig)
        rig.record("broken: " + "; ".join(broken) if broken else "the rule held")
        print("\n".join(broken) or "the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        rig.record("cannot run: %s" % error)
        print("cannot run: %s" % error)
    except Exception:
        traceback.print_exc()
    finally:
        rig.close()
    sys.exit(code)
