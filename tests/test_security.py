"""Tests the trust boundaries of docs/security.md.

See also docs/design.md, section 12.
"""

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


def authorized(head, key=build.ACCESS_KEY):
    return f"{head}authorization: Bearer {key}\r\n\r\n"


def test_access_keys_are_compared_as_hashes_in_constant_time(monkeypatch):
    """Guards against stored plain keys and against timing attacks."""
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
    """Peers at adjacent steps must connect; a removed secret is refused."""
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
    """Each port must refuse the clients of the other ports."""
    async with build.local_deployment() as deployment:
        running = deployment.instances["entry-1"]
        inventory_entry = running.inventory_entry
        chat_request = build.chat_request()
        assert (await build.send_raw(running.operator_address, chat_request))[
            0
        ] == 404
        for address in (
            inventory_entry.entry_peer,
            inventory_entry.control_peer,
        ):
            assert (await build.send_raw(address, chat_request))[0] in (0, 400)
            for path in ("/dump", "/v1/models"):
                head = f"GET {path} HTTP/1.1\r\nhost: x\r\n"
                assert (await build.send_raw(address, authorized(head)))[
                    0
                ] == 426
        for path in ("/dump", "/healthz", "/readyz"):
            head = f"GET {path} HTTP/1.1\r\nhost: x\r\n"
            assert (
                await build.send_raw(running.caller_address, authorized(head))
            )[0] == 404
        for address in (running.caller_address, running.operator_address):
            assert (await build.send_raw(address, UPGRADE))[0] in (401, 404)
        assert build.count_executions(deployment) == 0


async def test_credentials_stay_at_the_callers_port(
    caplog, monkeypatch, capsys
):
    """Credentials must not reach targets, logs, dumps or the store."""
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
    async with build.local_deployment() as deployment:
        running = deployment.instances["entry-1"]
        cookie = "cookie: session=hidden-1"
        raw = build.chat_request(build.BODY, build.ACCESS_KEY, cookie)
        assert (await build.send_raw(running.caller_address, raw))[0] == 200
        lookup = LOOKUP.format("AA1") + cookie + "\r\n"
        found = await build.send_raw(running.caller_address, authorized(lookup))
        assert found[0] == 200, found
        wrong = build.chat_request('{"model": "a\\nb=1 hidden"}')
        assert (await build.send_raw(running.caller_address, wrong))[0] == 404
        head = "GET /dump HTTP/1.1\r\nhost: x\r\n\r\n"
        _, dump = await build.send_raw(running.operator_address, head)
        stored = await deployment.keyvalue().store.range("/")
    paths = {request.path for request in seen}
    assert {"/v1/chat/completions", "/registrations/AA1"} <= paths
    kept = [*map(str, seen), dump, caplog.text, str(stored.values)]
    for text in kept:
        for secret in (build.ACCESS_KEY, "hidden-1", "demo-peer-secret"):
            assert secret not in text
    assert demo.access_key("clerks") == build.ACCESS_KEY
    assert "event=request_answered" in caplog.text
    assert "\nb=1" not in caplog.text


async def test_wildcard_operations_cannot_be_left():
    """`..` must not reach operations that the account may not call."""
    async with build.local_deployment() as deployment:
        address = deployment.instances["entry-1"].caller_address
        for suffix in ("../bookings", "%2e%2E/bookings", "..%2fbookings", "."):
            raw = authorized(LOOKUP.format(suffix))
            status, body = await build.send_raw(address, raw)
            assert (status, "segment" in body) == (400, True)
        raw = authorized(LOOKUP.format("AA..1"))
        assert (await build.send_raw(address, raw))[0] == 200


async def test_slow_clients_do_not_stop_others():
    """Clients that send headers slowly must not block other clients."""
    async with build.local_deployment() as deployment:
        address = deployment.instances["entry-1"].caller_address
        host, _, port = address.rpartition(":")
        writers = []
        for _ in range(200):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nx: ")
            writers.append(writer)
        assert (await build.send_raw(address, build.chat_request()))[0] == 200
        for writer in writers:
            writer.close()
