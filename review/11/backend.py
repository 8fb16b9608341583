"""Answers an upload before it has read it, without a length, and reads on later."""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))
import http_backend as backend

# Segments of an Ethernet link and a small window, as between machines.
SEGMENT = 1460
WINDOW = 8192


def handle(request):
    body = request.id.encode() * 64
    if request.method != "POST":
        request.read_body()
        backend.say("ran %s" % request.id)
        request.answer("200 OK", body, backend.stamp(request))
        return True
    half = len(body) // 2
    backend.say("ran %s: answers after %d of %d bytes of it" % (request.id, len(request.rest), request.length))
    request.connection.sendall(request.head("200 OK", None, backend.stamp(request) + "Connection: close\r\n"))
    request.connection.sendall(body[:half])
    backend.say("half %s" % request.id)
    time.sleep(0.2)
    request.read_body()
    request.connection.sendall(body[half:])
    request.connection.shutdown(socket.SHUT_WR)
    backend.say("whole %s" % request.id)
    return False


def prepare(listener):
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)


backend.serve(handle, prepare)
