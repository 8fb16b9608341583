"""Runs each request; one that is grey fails 0.4 of them with a 503 of its own, after they ran."""

import os
import sys
import time
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))
import http_backend as backend

GREY = sys.argv[2] == "grey"
WORK_S = 0.09
FAILING_SHARE = 0.4


def handle(request):
    request.read_body()
    backend.say("ran %s" % request.id)
    time.sleep(WORK_S)
    if GREY and zlib.crc32(request.id.encode()) % 100 < FAILING_SHARE * 100:
        text = b"the ledger did not confirm the bill in time\n"
        request.answer("503 Service Unavailable", text, backend.stamp(request))
    else:
        request.answer("200 OK", b"billed\n", backend.stamp(request))
    return True


backend.serve(handle)
