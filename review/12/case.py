"""A backend runs requests that must not run twice, and fails with a 503 of its own."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
import rig as lib

BACKENDS = 7
CONSUMERS = 12
BILLS = 40
# Statuses that promise that the request has not run.
PROMISES = (408, 421, 429, 503)


class Consumers:
    def __init__(self, rig):
        self.rig, self.lock = rig, threading.Lock()
        self.runs, self.broken, self.served, self.twice = {}, [], 0, []
        self.write, rig.record = rig.record, self.follow

    def follow(self, text):
        self.write(text)
        words = text.split()
        if len(words) == 4 and words[2] == "ran":
            with self.lock:
                self.runs.setdefault(words[3], []).append(words[1])

    def run_of(self, request):
        time.sleep(0.05)
        with self.lock:
            return list(self.runs.get(request, []))

    def consume(self, number):
        for bill in range(BILLS):
            runs = 0
            for attempt in range(2):
                request = "bill-%d-%d.%d" % (number, bill, attempt)
                host = self.rig.hosts[(number + attempt) % len(self.rig.hosts)]
                answer = lib.exchange(host, "POST", "/quote/bill", request, b"one splice")
                ran = self.run_of(request)
                runs += len(ran)
                status = answer.status if answer else None
                stamp = answer.headers.get("response-stamp") if answer else None
                self.rig.record("answered %s at %s: %s, stamp %s" % (request, host.name, status, stamp))
                with self.lock:
                    self.served += status == 200
                    if status in PROMISES and ran:
                        self.broken.append("%s: answered %d and run by %s" % (request, status, ran[0]))
                # A consumer repeats a request that must not run twice only after a promise.
                if status not in PROMISES:
                    break
                time.sleep(min(float(answer.headers.get("retry-after", "0.05")), 1))
            if runs > 1:
                with self.lock:
                    self.twice.append("bill-%d-%d" % (number, bill))


def play(rig):
    script = os.path.join(HERE, "backend.py")
    # One of seven backends is grey: a share of 0.14.
    for n in range(BACKENDS):
        lib.Backend(rig, "quote-desk", script, "grey" if lib.TROUBLE and n == 0 else "sound")
    routes = [lib.route("quote", "/quote/", "non_idempotent", {"service": "quote-desk"})]
    rig.store.put("op/config", lib.config(7, routes, ["quote-desk"]))
    rig.add_hosts(["rio-grande", "itajai"])
    for host in rig.hosts:
        host.wait_ready()
    time.sleep(1)
    consumers = Consumers(rig)
    threads = [threading.Thread(target=consumers.consume, args=(n,)) for n in range(CONSUMERS)]
    for thread in threads:
        thread.start()
        time.sleep(0.01)
    for thread in threads:
        thread.join()
    rig.record("served %d of %d bills; run twice, as the consumer trusted the promise: %s" % (
        consumers.served, CONSUMERS * BILLS, " ".join(consumers.twice) or "none"))
    if consumers.served < CONSUMERS * BILLS * 0.7:
        raise lib.CannotRun("too few bills are served")
    return consumers.broken


lib.run_case(HERE, play)
