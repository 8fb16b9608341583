"""A backend crashes while it sends an answer without a length to a long upload."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import rig as lib

UPLOAD = b"m" * 240000
ROUNDS = 5
# As at the installation; one of them is 0.14.
BACKENDS = 7


def play(rig):
    script = os.path.join(HERE, "backend.py")
    backends = [lib.Backend(rig, "quote-desk", script) for _ in range(BACKENDS)]
    routes = [lib.route("quote", "/quote/", "idempotent", {"service": "quote-desk"})]
    rig.store.put("op/config", lib.config(7, routes, ["quote-desk"]))
    rig.add_hosts(["rio-grande", "itajai"])
    for host in rig.hosts:
        host.wait_ready()
    time.sleep(1)
    for n in range(6):
        answer = lib.exchange(rig.hosts[n % 2], "GET", "/quote/warm", "warm-%d" % n)
        if answer is None or answer.status != 200:
            raise lib.CannotRun("a plain request is not served")

    halves = {}
    record = rig.record

    def watch(text):
        record(text)
        words = text.split()
        if len(words) == 4 and words[2] == "half":
            halves.setdefault(words[3], words[1])

    rig.record = watch
    broken, crashes = [], 0
    for n in range(ROUNDS):
        request = "upload-%d" % n
        result = []
        host = rig.hosts[n % 2]
        client = threading.Thread(target=lambda: result.append(
            lib.exchange(host, "POST", "/quote/upload", request, UPLOAD)))
        record("sent %s to %s, %d bytes" % (request, host.name, len(UPLOAD)))
        client.start()
        end = time.monotonic() + 3
        while request not in halves and time.monotonic() < end:
            time.sleep(0.01)
        if lib.TROUBLE and request in halves:
            victim = next(b for b in backends if b.id == halves[request])
            time.sleep(0.05)
            victim.process.kill()
            crashes += 1
            record("killed backend %s" % victim.id)
            backends[backends.index(victim)] = lib.Backend(rig, "quote-desk", script)
        client.join()
        answer = result[0]
        whole = request.encode() * 64
        if answer is None:
            record("answered %s: the connection ended" % request)
        else:
            record("answered %s: %d, %d of %d bytes, complete by its length: %s, stamp %s" % (
                request, answer.status, len(answer.body), len(whole), answer.complete,
                answer.headers.get("response-stamp")))
        if answer is not None and 200 <= answer.status < 300 and answer.body != whole:
            broken.append("%s: success %d with %d of the %d bytes of the backend's body"
                          % (request, answer.status, len(answer.body), len(whole)))
        if not lib.TROUBLE and (answer is None or answer.status != 200):
            raise lib.CannotRun("%s is not served without the disruption" % request)
        time.sleep(2.5 if lib.TROUBLE else 0.2)
    if lib.TROUBLE and not crashes:
        raise lib.CannotRun("no backend was at work on an upload")
    return broken


lib.run_case(HERE, play)
