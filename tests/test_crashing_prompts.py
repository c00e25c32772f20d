"""Tests the request path with prompts that crash the engines."""

import builders_io
import pytest
from builders_engines import start_engines
from builders_serving import request_path, route_table, stream_route

from carobsail import httpserver

pytestmark = pytest.mark.memory_network

DEADLY = "dead"


async def generate(handler, prefix, number=0, deadline_ms=3000):
    """Sends one generation; returns the status and what its caller receives."""
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    body = f"prompt {number}".encode()
    received = await builders_io.send_raw(
        server.port,
        b"POST /a/x HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n"
        b"Carobsail-Request-Id: q%d\r\nCarobsail-Model: m1\r\n"
        b"Carobsail-Token-Count: 100,20\r\nCarobsail-Deadline-Ms: %d\r\n"
        b"Carobsail-Prompt-Prefix: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (number, deadline_ms, prefix.encode(), len(body), body),
    )
    await server.close()
    return int(received.split(b" ", 2)[1]), received


async def test_prompts_with_a_deadly_part_do_not_crash_each_engine():
    """No two requests were alike, and each crashed an engine or two."""
    engines = await start_engines(6, DEADLY)
    handler = request_path(
        route_table(stream_route()), *(e.entry() for e in engines)
    )
    for number in range(8):
        prefix = f"aa:1,{DEADLY}:1,{number}:9"
        await generate(handler, prefix, number)
        status, _ = await generate(handler, f"aa:1,{number}:9", number)
        assert status == 200
    assert sum(engine.crashed for engine in engines) <= 3
