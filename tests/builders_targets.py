"""Scripted targets, and callers of one instance."""

import asyncio

import builders_io
from builders_serving import engine_entry, entry

from carobsail import httpserver

SEAL = b"Carobsail-Server-Seal: s\r\n"
OK = (
    b"HTTP/1.1 200 OK\r\nCarobsail-Request-Id: q1\r\n"
    + SEAL
    + b"Content-Length: 2\r\n\r\nok"
)
REFUSED = (
    b"HTTP/1.1 503 x\r\nCarobsail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nCarobsail-Request-Id: q1\r\n"
    + SEAL
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Target:
    """A target that responds to successive requests with given bytes.

    Attributes:
      answers: Responses still to be sent: bytes, "hang" for none, or None to
        close the connection.
      requests: Heads of the requests received.
      closed: Number of connections that were closed while "hang" waited.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.closed = 0
        self.port = 0

    async def start(self):
        listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = builders_io.port_of(listener)
        return self

    async def _accept(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests.append(head)
            answer = self.answers.pop(0) if self.answers else OK
            if answer == "hang":
                await reader.read()
                self.closed += 1
                break
            if answer is None:
                break
            writer.write(answer)
            if answer.endswith(b"CUT"):
                break
        writer.close()

    def entry(self, identity="t1", **changes):
        address = f"127.0.0.1:{self.port}"
        return entry(identity, address=address, **changes)

    def engine(self, identity="e1", **changes):
        address = f"127.0.0.1:{self.port}"
        return engine_entry(identity, address=address, **changes)


async def ask(handler, path="/a/x", method="GET", **headers):
    """Sends one request and returns all bytes that its caller receives."""
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    lines = {
        "Host": "host.example",
        "Carobsail-Request-Id": "q1",
        "Carobsail-Deadline-Ms": "3000",
        "Connection": "close",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    data = f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode()
    received = await builders_io.send_raw(server.port, data)
    await server.close()
    return received


def status(received):
    return int(received.split(b" ", 2)[1])


async def generate(handler, **headers):
    headers = {
        "Carobsail_Model": "m1",
        "Carobsail_Token_Count": "100,20",
        "Carobsail_Deadline_Ms": "5000",
        **headers,
    }
    return await ask(handler, method="POST", Content_Length="0", **headers)
