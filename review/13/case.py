"""The four hosts of a zone are stopped and started again in turn, one each second, several times."""

import os
import random
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import rig as lib

BACKENDS = 7
# Requests a second, as many as the installation has in all of its zones; they all come to this one.
RATE = 225.0
LENGTH_S = 85.0
GRACE_S = 6.0
HOSTS = 4
# roll_term: share 1, x 1 at a time, a step each second; seconds from one such entry to the next.
GAP_S = 1.0
ROUND_S = 9.0
DEADLINE_MS = 1000


class Balancer:
    """The platform's ingress: probes each host once a second, and leaves it out after two misses."""

    def __init__(self, hosts):
        self.hosts, self.misses = hosts, {host: 0 for host in hosts}
        for host in hosts:
            threading.Thread(target=self.probe, args=(host,), daemon=True).start()

    def probe(self, host):
        while True:
            start = time.monotonic()
            self.misses[host] = 0 if host.is_ready() else self.misses[host] + 1
            time.sleep(max(0, 1 - (time.monotonic() - start)))

    def choose(self):
        """A host for a new connection; all of the zone if fewer than half are in rotation."""
        ready = [host for host in self.hosts if self.misses[host] < 2]
        return random.choice(ready if 2 * len(ready) >= len(self.hosts) else self.hosts)


class Consumers:
    def __init__(self, rig, balancer):
        self.rig, self.balancer, self.lock = rig, balancer, threading.Lock()
        self.ran, self.results, self.broken = {}, {}, []
        self.stopped_at = {}
        self.write, rig.record = rig.record, self.follow

    def follow(self, text):
        """Keeps what was run; `ask` records it with the request."""
        words = text.split()
        if len(words) == 4 and words[2] == "ran":
            with self.lock:
                self.ran[words[3]] = (time.monotonic(), words[1])
        elif "connection ended" not in text:
            self.write(text)

    def ask(self, number):
        host, request = self.balancer.choose(), "r-%d" % number
        try:
            connection = socket.create_connection((host.ip, host.front), timeout=1)
        except OSError:
            self.write("%s not sent: no connection to %s" % (request, host.name))
            return self.count("no connection")
        sent = time.monotonic()
        answer = lib.exchange(host, "GET", "/quote/status", request, deadline_ms=DEADLINE_MS, connection=connection)
        connection.close()
        ended = time.monotonic()
        self.count(answer.status if answer else "closed without an answer")
        if answer is not None:
            with self.lock:
                ran = self.ran.get(request)
            self.write("%s sent to %s, run by %s, answered %d" % (
                request, host.name, ran[1] if ran else "none", answer.status))
            return
        time.sleep(0.2)
        with self.lock:
            ran = self.ran.get(request)
            stop = self.stopped_at.get(host)
        self.write("%s sent to %s %.3f s after its SIGTERM; the connection ended after %.3f s; %s" % (
            request, host.name, sent - stop if stop else -1, ended - sent,
            "begun by backend %s after %.3f s" % (ran[1], ran[0] - sent) if ran else "not passed on"))
        if ran and stop and 0 <= ended - stop <= GRACE_S + 1 and ended - sent < DEADLINE_MS / 1e3:
            with self.lock:
                self.broken.append("%s: passed on to a backend, and its connection ended without an answer "
                                   "%.2f s after SIGTERM" % (request, ended - stop))

    def count(self, result):
        with self.lock:
            self.results[result] = self.results.get(result, 0) + 1

    def send(self, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            threading.Thread(target=self.ask, args=(number,), daemon=True).start()
            time.sleep(random.expovariate(RATE))


def stop(rig, consumers, host):
    """Stops a host and starts it again."""
    with consumers.lock:
        consumers.stopped_at[host] = time.monotonic()
    host.signal(signal.SIGTERM)
    start = time.monotonic()
    try:
        host.process.wait(GRACE_S)
    except Exception:
        host.process.kill()
        host.process.wait()
    rig.record("%s ended %.2f s after SIGTERM" % (host.name, time.monotonic() - start))
    time.sleep(0.3)
    host.start()
    host.wait_ready()


def roll(rig, consumers, end):
    """Stops the hosts in turn, one each GAP_S, and begins again after ROUND_S."""
    time.sleep(3)
    while time.monotonic() < end - ROUND_S:
        start = time.monotonic()
        stops = []
        for host in rig.hosts:
            stops.append(threading.Thread(target=stop, args=(rig, consumers, host), daemon=True))
            stops[-1].start()
            time.sleep(GAP_S)
        for one in stops:
            one.join()
        time.sleep(max(0, ROUND_S - (time.monotonic() - start)))


def play(rig):
    script = os.path.join(HERE, "backend.py")
    for _ in range(BACKENDS):
        lib.Backend(rig, "quote-desk", script)
    routes = [lib.route("quote", "/quote/", "idempotent", {"service": "quote-desk"}, timeout_ms=1000, latency_ms=100)]
    rig.store.put("op/config", lib.config(7, routes, ["quote-desk"]))
    rig.add_hosts(["rio-grande"] * HOSTS)
    for host in rig.hosts:
        host.wait_ready()
    time.sleep(1)
    balancer = Balancer(rig.hosts)
    consumers = Consumers(rig, balancer)
    end = time.monotonic() + LENGTH_S
    sender = threading.Thread(target=consumers.send, args=(end,))
    sender.start()
    if lib.TROUBLE:
        threading.Thread(target=roll, args=(rig, consumers, end), daemon=True).start()
    sender.join()
    time.sleep(GRACE_S + 2)
    for host in rig.hosts:
        passed = 0
        with open(os.path.join(rig.folder, host.name + ".log")) as log:
            passed = sum("watches servers for this one" in line for line in log)
        rig.record("%s passed its watch over servers on %d times as it stopped" % (host.name, passed))
    rig.record("answers: %s" % consumers.results)
    if consumers.results.get(200, 0) < 0.8 * sum(consumers.results.values()):
        raise lib.CannotRun("too few requests are served")
    return consumers.broken


lib.run_case(HERE, play)
