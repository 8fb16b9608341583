"""Runs requests for 11 ms each, and pauses for 120 ms each 3 s at a time of its own."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))
import http_backend as backend

WORK_S = 0.011
PAUSE_S, PERIOD_S = 0.12, 3.0

start = time.monotonic() - random.uniform(0, PERIOD_S)


def handle(request):
    request.read_body()
    backend.say("ran %s" % request.id)
    pause_left = PAUSE_S - (time.monotonic() - start) % PERIOD_S
    time.sleep(WORK_S + max(pause_left, 0))
    request.answer("200 OK", b"status of %s\n" % request.id.encode(), backend.stamp(request))
    return True


backend.serve(handle)
