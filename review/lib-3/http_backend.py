"""Connections of a backend stand-in: reads requests, says on standard output what it does."""

import socket
import sys
import threading

ID = sys.argv[1]
lock = threading.Lock()


def say(text):
    with lock:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


class Request:
    def __init__(self, connection, head, rest):
        self.connection, self.rest = connection, rest
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.path, _ = lines[0].split(" ")
        self.headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            self.headers[name.strip().lower()] = value.strip()
        self.id = self.headers.get("request-id", "")
        self.length = int(self.headers.get("content-length", "0"))

    def read_body(self):
        while len(self.rest) < self.length:
            part = self.connection.recv(65536)
            if not part:
                raise OSError("the request ended early")
            self.rest += part
        body, self.rest = self.rest[: self.length], self.rest[self.length:]
        return body

    def head(self, status, length=None, extra=""):
        text = "HTTP/1.1 %s\r\nRequest-Id: %s\r\n" % (status, self.id)
        if length is not None:
            text += "Content-Length: %d\r\n" % length
        return (text + extra + "\r\n").encode()

    def answer(self, status, body, extra=""):
        self.connection.sendall(self.head(status, len(body), extra) + body)


def stamp(request):
    return "Response-Stamp: %s.%s\r\n" % (ID, request.id)


def serve(handle, prepare=lambda listener: None):
    """Serves connections; `handle(request)` returns whether the connection goes on."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    prepare(listener)
    listener.bind(("127.0.0.1", 0))
    listener.listen(128)
    say(str(listener.getsockname()[1]))
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve_connection, args=(connection, handle), daemon=True).start()


def serve_connection(connection, handle):
    text = b""
    try:
        while True:
            while b"\r\n\r\n" not in text:
                part = connection.recv(4096)
                if not part:
                    return
                text += part
            head, rest = text.split(b"\r\n\r\n", 1)
            request = Request(connection, head, rest)
            if request.headers.get("expect-instance", ID) != ID:
                request.read_body()
                request.answer("421 Misdirected Request", b"", "Instance-Id: %s\r\n" % ID)
            elif not handle(request):
                return
            text = request.rest
    except OSError as error:
        say("connection ended: %s" % error)
    finally:
        connection.close()
