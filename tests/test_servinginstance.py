"""Tests the planned stop of an instance, with real ports in memory."""

import asyncio
import json
import logging
import random

import pytest
from builders_departures import Follower
from builders_engines import CrashingEngine, start_plain_engines

from carobsail import servinginstance, storeera
from carobsail.instancesettings import InstanceSettings
from carobsail.keyvalue import Put, WatchEvent
from carobsail.platform import documents, engines, headers
from carobsail.platform.store import PlatformStore
from soak.storestandin import StoreStandin, serve

pytestmark = pytest.mark.memory_network

CALLERS_PORT = 8149
HANGS = b"/hangs"
# Time before the end of the grace period at which no request is taken.
RESERVED_S = servinginstance.STOP_MARGIN_S + servinginstance.FINAL_RESPONSES_S


def configuration():
    """Returns a version with plain routes of both kinds and a stream route."""
    base = {"host": "h", "timeoutMs": 20_000, "targetLatencyMs": 200}
    routes = [
        base | {"name": "r1", "prefix": "/safe/", "routeType": "safe"},
        base | {"name": "r2", "prefix": "/unsafe/", "routeType": "unsafe"},
        base | {"name": "r3", "prefix": "/stream/", "routeType": "streaming"},
    ]
    for route in routes:
        route["service"] = "llm" if route["name"] == "r3" else "plain"
        route["maxAttempts"] = 2
        route["resumable"] = route["name"] == "r3"
    model = {"name": "m1", "weightsMb": 70_000.0, "loadTimeS": 9.0}
    engine = {"slots": 64, "kvCapacity": 140_000, "models": [model]}
    engine |= {"weightsMb": 230_000.0, "adapterSlots": 2, "loadsPerS": 1.1}
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": "plain", "maxConns": 100},
            {"name": "llm", "maxConns": 100, "engine": engine},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
    }


class HangingEngine(CrashingEngine):
    """A target that never answers some requests."""

    async def _accept(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.received.append(head)
        if HANGS in head:
            await reader.read()
        else:
            writer.write(self.response)
        writer.close()


async def start_instance(monkeypatch, grace_s, *entries):
    """Starts an instance whose store lists targets of the plain service."""
    standin = StoreStandin(page_items=500)
    await standin.data.transact(
        [], [Put("op/config", json.dumps(configuration()).encode())]
    )
    for identity, address, service in entries:
        await standin.put_entry(
            identity,
            json.dumps(
                {
                    "service": service,
                    "addr": address,
                    "zone": "dc-a",
                    "state": "in_service",
                    "slots": 64,
                    "born": 1,
                }
            ).encode(),
        )
    store = await serve(standin)
    loaded = InstanceSettings(
        instance="n1",
        address="127.0.0.1",
        data_centre="dc-a",
        regions={"dc-a": "north"},
        callers_listen=f"127.0.0.1:{CALLERS_PORT}",
        readiness_listen="127.0.0.1:8141",
        peers_listen="127.0.0.1:8144",
        first_port=7380,
        store=f"127.0.0.1:{store.port}",
        grace_s=grace_s,
    )

    async def no_datagrams(self):
        pass

    monkeypatch.setattr(
        servinginstance.coordination.Coordination, "open", no_datagrams
    )
    instance = servinginstance.ServingInstance(
        loaded,
        PlatformStore(loaded.store),
        headers.PlatformHeaders(),
        documents.PlatformDocuments(),
        engines.HttpEngineOrderClient(),
        asyncio.get_running_loop().time,
        random.Random(1),
    )
    await instance.start()
    for _ in range(500):
        if instance.ready:
            break
        await asyncio.sleep(0.01)
    return instance, store


async def start_targets():
    """Returns the entries of two targets that hang on some requests."""
    entries = []
    for engine in await start_plain_engines(2, b"-"):
        engine.crash()
        hanging = HangingEngine(engine.identity, b"-", False)
        hanging.response = engine.response
        await hanging.start()
        entries.append((hanging.identity, hanging.plain_entry().address))
    return [(name, address, "plain") for name, address in entries]


def is_complete(received):
    """Returns whether these are a head and as many bytes as it announces."""
    head, found, body = received.partition(b"\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return bool(found) and lengths == [len(body)]


def request_bytes(path, body=b"", extra=b""):
    return (
        b"POST %b HTTP/1.1\r\nHost: h\r\nCarobsail-Request-Id: q1\r\n"
        b"Carobsail-Deadline-Ms: 20000\r\nConnection: close\r\n%b"
        b"Content-Length: %d\r\n\r\n%b" % (path, extra, len(body), body)
    )


async def ask(at_s, data, slow_s=0.0):
    """Sends a request after some time; its last byte comes `slow_s` later.

    Returns:
      What its caller received, or None if the connection was refused.
    """
    await asyncio.sleep(at_s)
    try:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", CALLERS_PORT
        )
    except OSError:
        return None
    writer.write(data[:-1])
    await asyncio.sleep(slow_s)
    writer.write(data[-1:])
    try:
        received = await reader.read()
    except OSError:
        received = b""
    writer.close()
    return received


GENERATION = (
    b"Carobsail-Model: m1\r\nCarobsail-Token-Count: 10,5\r\n"
    b"Carobsail-Prompt-Prefix: aa:5,bb:5\r\n"
)


@pytest.mark.parametrize("grace_s", [0.3, 1.0, 2.0, 3.0, 4.0, 8.0, 10.0])
async def test_requests_of_a_stop_get_an_answer(monkeypatch, grace_s):
    """Requests were cut without an answer at the end of a planned stop.

    They were taken late in the grace period, their bodies arrived slowly, they
    waited for a model, or their target did not answer until the end.
    """
    instance, store = await start_instance(
        monkeypatch, grace_s, *await start_targets()
    )
    shares = (0.0, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.9)
    hanging = [
        asyncio.create_task(ask(share * grace_s, request_bytes(path, b"x")))
        for share in shares
        for path in (b"/safe/hangs", b"/unsafe/hangs")
    ]
    slow = [
        asyncio.create_task(
            ask(
                0.05 * grace_s,
                request_bytes(b"/unsafe/hangs", b"xx"),
                share * grace_s,
            )
        )
        for share in shares[1:-1]
        # Later ones are not read whole before the instance ends.
        if (0.05 + share) * grace_s < grace_s - RESERVED_S
    ]
    waiting = asyncio.create_task(
        ask(0.0, request_bytes(b"/stream/x", b"x", GENERATION))
    )
    quick = asyncio.create_task(ask(0.0, request_bytes(b"/safe/x", b"x")))
    await asyncio.sleep(0.001)
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()
    async with asyncio.timeout(grace_s):
        await instance.stop()
    answers = await asyncio.gather(*hanging, *slow, waiting)
    assert loop.time() - stopped_at < grace_s
    taken = [answer for answer in answers if answer is not None]
    assert len(taken) >= 2
    assert all(is_complete(answer) for answer in taken)
    statuses = {int(answer.split(b" ", 2)[1]) for answer in taken}
    assert statuses <= {502, 503, 504}
    assert b" 200 " in await quick
    await store.close()


async def test_kept_connections_get_an_answer_until_the_end(monkeypatch):
    """Requests on kept connections came late and were cut."""
    instance, store = await start_instance(
        monkeypatch, 8.0, *await start_targets()
    )
    answers, refused = [], 0
    keep = request_bytes(b"/unsafe/x", b"x").replace(
        b"Connection: close\r\n", b""
    )
    connections = [
        await asyncio.open_connection("127.0.0.1", CALLERS_PORT)
        for _ in range(40)
    ]
    stop = asyncio.create_task(instance.stop())
    for reader, writer in connections:
        await asyncio.sleep(0.19)
        writer.write(keep)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            refused += 1  # Closed before the request was read.
            continue
        answers.append(head)
    await stop
    assert len(answers) >= 10
    assert all(b"connection: close" in head.lower() for head in answers)
    await store.close()


async def test_version_of_an_older_copy_of_the_store_is_ignored(caplog):
    """Instances went back to the version before a confirmed one.

    The operator writes its version again; until then this is no fault.
    """
    follower = Follower()

    def write(version, era, revision):
        value = json.dumps(configuration() | {"version": version}).encode()
        revision = storeera.combine(era, revision)
        follower.take(WatchEvent("op/config", value, revision))
        return follower.instance._request_handler.route_table.version

    with caplog.at_level(logging.INFO, "carobsail"):
        assert write(4, 1, 20) == 4
        assert write(3, 2, 15) == 4
        assert write(4, 2, 16) == 4
        assert write(5, 2, 17) == 5
    ignored = [r for r in caplog.records if "ignored" in str(r.msg)]
    assert [r.levelno for r in ignored] == [logging.INFO]
