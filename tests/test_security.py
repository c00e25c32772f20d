"""Guards the trust boundaries of docs/security.md (section 12)."""

import asyncio
import hmac
import json
import logging

import pytest

from carobsail import (
    configuration,
    demo,
    errors,
    messages,
    peers,
    standin_engine,
    standin_service,
    telemetry,
)
from tests import builders_local as build
from tests.builders_config import (
    account_document,
    encode_documents,
    key_hash,
    template_document,
)

LOOKUP = "GET /services/registrations/registrations/{} HTTP/1.1\r\nhost: x\r\n"
UPGRADE = (
    "GET / HTTP/1.1\r\nhost: x\r\nconnection: Upgrade\r\nupgrade: websocket\r\n"
    "sec-websocket-version: 13\r\n"
    "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)


def authorized(head, key=build.KEY):
    return f"{head}authorization: Bearer {key}\r\n\r\n"


def test_access_keys_are_compared_as_hashes_in_constant_time(monkeypatch):
    """A stored key could be stolen; an early exit could be measured."""
    plain = account_document(key_hashes=["valtellina-counter-1"])
    refused = configuration.parse_document(json.dumps(plain).encode())
    assert isinstance(refused, errors.Failure)
    assert "key_hashes" in refused.detail
    assert "valtellina-counter-1" not in refused.detail
    compared = []

    def compare(first, second):
        compared.append((first, second))
        return first == second

    monkeypatch.setattr(hmac, "compare_digest", compare)
    current = configuration.ConfigurationSet().with_snapshot(
        1, encode_documents(template_document(), account_document())
    )
    assert current.authenticate("valtellina-counter-1").account == "valtellina"
    hashed = key_hash("valtellina-counter-1")
    for wrong in ("", "valtellina-counter-", hashed, "\udcff"):
        failure = current.authenticate(wrong)
        assert failure.reason is errors.Reason.UNAUTHENTICATED
    assert len(compared) == 5
    assert {len(part) for pair in compared for part in pair} == {32}


OLD, NEW = b"old-secret-000000", b"new-secret-000000"
STEPS = [[OLD], [OLD, NEW], [NEW, OLD], [NEW]]


@pytest.mark.parametrize("mine", range(4))
@pytest.mark.parametrize("theirs", range(4))
async def test_rotation_of_the_peer_secret(mine, theirs, caplog, monkeypatch):
    """Adjacent steps must link, and a removed secret must be refused."""
    logger = logging.getLogger(telemetry.LOGGER_NAME)
    monkeypatch.setattr(logger, "handlers", [caplog.handler])

    async def on_link(link):
        async for _ in link:
            pass

    def hello(name):
        return messages.Hello(1, 1, name, "dc", 1, "entry")

    server = await peers.serve_peers(
        "127.0.0.1", 0, hello("server"), STEPS[theirs], on_link
    )
    port = server.sockets[0].getsockname()[1]
    link = await peers.connect_peer(
        f"127.0.0.1:{port}", hello("client"), STEPS[mine]
    )
    if abs(mine - theirs) <= 1:
        assert not isinstance(link, errors.Failure)
        await link.close()
    elif STEPS[mine][0] not in STEPS[theirs]:
        assert link.reason is errors.Reason.UNAUTHENTICATED
        line, *_ = (r.msg for r in caplog.records if isinstance(r.msg, dict))
        assert (line["event"], line["peer"]) == ("peer_refused", "client")
        assert "secret-0" not in str(line)
    server.close()
    await server.wait_closed()


async def test_ports_answer_only_their_own_clients():
    """A caller at another port, or a peer at the callers', gets nothing."""
    async with build.local() as deployment:
        running = deployment.instances["entry-1"]
        listed = running.listed
        chat = build.chat()
        assert (await build.send(running.operator, chat))[0] == 404
        for address in (listed.entry_peer, listed.control_peer):
            assert (await build.send(address, chat))[0] in (0, 400)
            for path in ("/dump", "/v1/models"):
                head = f"GET {path} HTTP/1.1\r\nhost: x\r\n"
                assert (await build.send(address, authorized(head)))[0] == 426
        for path in ("/dump", "/healthz", "/readyz"):
            head = f"GET {path} HTTP/1.1\r\nhost: x\r\n"
            assert (await build.send(running.callers, authorized(head)))[
                0
            ] == 404
        for address in (running.callers, running.operator):
            assert (await build.send(address, UPGRADE))[0] in (401, 404)
        assert build.executions(deployment) == 0


async def test_credentials_stay_at_the_callers_port(
    caplog, monkeypatch, capsys
):
    """A target, log or dump that holds a key could give it away."""
    seen = []
    for standin in (
        standin_engine.EngineStandin,
        standin_service.ServiceStandin,
    ):
        handle = standin._handle

        async def record(self, request, responder, handle=handle):
            seen.append(request)
            await handle(self, request, responder)

        monkeypatch.setattr(standin, "_handle", record)
    logger = logging.getLogger(telemetry.LOGGER_NAME)
    monkeypatch.setattr(logger, "handlers", [caplog.handler])
    caplog.set_level(logging.DEBUG, telemetry.LOGGER_NAME)
    caplog.handler.setFormatter(telemetry.KeyValueFormatter([]))
    async with build.local() as deployment:
        running = deployment.instances["entry-1"]
        cookie = "cookie: session=hidden-1"
        raw = build.chat(build.BODY, build.KEY, cookie)
        assert (await build.send(running.callers, raw))[0] == 200
        lookup = LOOKUP.format("AA1") + cookie + "\r\n"
        found = await build.send(running.callers, authorized(lookup))
        assert found[0] == 200, found
        wrong = build.chat('{"model": "a\\nb=1 hidden"}')
        assert (await build.send(running.callers, wrong))[0] == 404
        head = "GET /dump HTTP/1.1\r\nhost: x\r\n\r\n"
        _, dump = await build.send(running.operator, head)
        stored = await deployment.keyvalue().store.range("/")
    paths = {request.path for request in seen}
    assert {"/v1/chat/completions", "/registrations/AA1"} <= paths
    kept = [*map(str, seen), dump, caplog.text, str(stored.values)]
    for text in kept:
        for secret in (build.KEY, "hidden-1", "demo-peer-secret"):
            assert secret not in text
    assert demo.access_key("clerks") == build.KEY
    assert "event=request_answered" in caplog.text
    assert "\nb=1" not in caplog.text


async def test_wildcard_operations_cannot_be_left():
    """`..` would reach calls of a service that the account may not make."""
    async with build.local() as deployment:
        address = deployment.instances["entry-1"].callers
        for suffix in ("../bookings", "%2e%2E/bookings", "..%2fbookings", "."):
            raw = authorized(LOOKUP.format(suffix))
            status, body = await build.send(address, raw)
            assert (status, "segment" in body) == (400, True)
        raw = authorized(LOOKUP.format("AA..1"))
        assert (await build.send(address, raw))[0] == 200


async def test_slow_clients_do_not_stop_others():
    """Clients that send headers slowly hold a connection, not the server."""
    async with build.local() as deployment:
        address = deployment.instances["entry-1"].callers
        host, _, port = address.rpartition(":")
        writers = []
        for _ in range(200):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nx: ")
            writers.append(writer)
        assert (await build.send(address, build.chat()))[0] == 200
        for writer in writers:
            writer.close()
