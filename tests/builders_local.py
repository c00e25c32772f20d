"""Builders of a small deployment on loopback and of raw requests to it."""

import asyncio
import contextlib
import dataclasses
import json

from carobsail import demo, deployments, localdeployment

SIZE = dataclasses.replace(
    deployments.VALTELLINA,
    regions={"sondrio-a": "sondrio", "sondrio-b": "sondrio"},
    pools={"scrivano": 1, "sportello": 1},
    models=2,
    adapters=2,
    instances=2,
)
ACCESS_KEY = demo.access_key("clerks")
CHAT_HEAD = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
BODY = json.dumps({"model": "scrivano-1", "messages": [], "max_tokens": 2})


@contextlib.asynccontextmanager
async def local_deployment(layout=None):
    """Runs a deployment in which the only model that is used is resident."""
    layout = layout or {"scrivano-engine-1": ["scrivano-1"]}
    async with localdeployment.LocalDeployment(SIZE, layout) as deployment:
        run = demo.Demo(deployment, 1)
        await run.configure()
        await deployment.wait_until_ready()
        running = deployment.instances["entry-1"]
        lookup = "GET /services/registrations/registrations/A HTTP/1.1\r\n"
        lookup += f"host: x\r\nauthorization: Bearer {ACCESS_KEY}\r\n\r\n"
        async with asyncio.timeout(10):
            # No single event signals that grants and targets have arrived.
            while (await send_raw(running.caller_address, lookup))[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        yield deployment
        run.close()


def count_executions(deployment):
    """Returns the number of requests that the targets have executed."""
    booked = deployment.service("registrations-1").executions
    return sum(e.executions.total() for e in deployment.engines()) + len(booked)


async def send_raw(address, raw):
    """Sends raw bytes; returns status and body, or 0 without an answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw.encode() if isinstance(raw, str) else raw)
    async with asyncio.timeout(10):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, ""
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
    writer.close()
    return int(head.split()[1]), body.decode()


def chat_request(body=BODY, key=ACCESS_KEY, *headers):
    """Returns the raw bytes of a chat request."""
    lines = [*headers, f"content-length: {len(body)}"]
    if key:
        lines.append(f"authorization: Bearer {key}")
    return CHAT_HEAD + "".join(f"{line}\r\n" for line in lines) + "\r\n" + body
