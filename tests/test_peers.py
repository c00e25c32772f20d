"""Tests of links between processes."""

import asyncio
import random
import sys

import pytest
from builders_coordination import run_virtual

from carobsail import errors, messages, peers, telemetry


def hello(name, version=1, minimum=1):
    return messages.Hello(version, minimum, name, "dc", 1, "entry")


async def _serve_and_connect(server_secrets, client_secrets, client=None):
    received = []

    async def on_link(link):
        async for message in link:
            received.append(message)
            await link.send(message)

    server = await peers.serve_peers(
        "127.0.0.1", 0, hello("server", 2, 2), server_secrets, on_link
    )
    port = server.sockets[0].getsockname()[1]
    link = await peers.connect_peer(
        f"127.0.0.1:{port}", client or hello("client", 2, 2), client_secrets
    )
    return server, link, received


@pytest.mark.parametrize("accepted", [[b"a"], [b"b", b"a"]])
async def test_messages_arrive_in_order(accepted):
    """Messages must stay in order, also during a rotation of secrets.

    If they did not, parts of responses would be mixed up (R3).
    """
    server, link, _ = await _serve_and_connect(accepted, [b"a", b"b"])
    if len(accepted) == 1:
        assert link.peer.instance == "server"
    sent = [messages.Chunk(str(n), bytes(n)) for n in range(300)]
    sent.append(messages.Chunk("big", bytes(300_000)))
    for chunk in sent:
        assert await link.send(chunk) is None
    received = []
    async for message in link:
        received.append(message)
        if len(received) == len(sent):
            break
    assert received == sent
    await link.close()
    assert isinstance(await link.send(sent[0]), errors.Failure)
    server.close()


@pytest.mark.parametrize(
    ("secrets", "client", "step"),
    [
        ([b"wrong"], None, errors.Step.AUTHENTICATE),
        ([b"a"], hello("old"), errors.Step.CONNECT),
    ],
)
async def test_refusal_names_step_and_peer(secrets, client, step):
    """A peer with a wrong secret or an old version gets no link (R20)."""
    server, failure, received = await _serve_and_connect(
        [b"a"], secrets, client
    )
    assert isinstance(failure, errors.Failure)
    assert failure.step == step
    assert failure.peer in ("client", "old", "server")
    assert not received
    server.close()


async def test_close_sends_queued_messages():
    """A lost last heartbeat would delay takeover at a planned stop (R7)."""
    server, link, received = await _serve_and_connect([b"a"], [b"a"])
    chunks = [messages.Chunk(str(n), bytes(9000)) for n in range(100)]
    for chunk in chunks:
        await link.send(chunk)
    await link.close()
    server.close()
    await server.wait_closed()
    assert received == chunks


async def test_unknown_secret_of_server_is_refused():
    """The client must refuse a server that does not have its secret."""
    server, failure, _ = await _serve_and_connect([b"evil", b"a"], [b"a"])
    assert isinstance(failure, errors.Failure)
    assert failure.reason == errors.Reason.UNAUTHENTICATED
    server.close()


async def test_exception_in_link_handler_is_one_log_line(capsys):
    """A traceback of several lines would break the log's format."""
    telemetry.configure_logging("info", sys.stderr)

    async def on_link(link):
        raise RuntimeError("fault")

    server = await peers.serve_peers(
        "127.0.0.1", 0, hello("server"), [b"a"], on_link
    )
    port = server.sockets[0].getsockname()[1]
    link = await peers.connect_peer(
        f"127.0.0.1:{port}", hello("client"), [b"a"]
    )
    assert [message async for message in link] == []
    server.close()
    await server.wait_closed()
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("time=") and "RuntimeError: fault" in line


async def test_memory_link_backpressure_and_cut():
    """An unbounded queue to a blocked peer would exhaust memory (R17)."""
    left, right = peers.MemoryLink.pair(hello("a"), hello("b"), limit=2)
    heartbeat = messages.Heartbeat(1, True, False, 0)
    assert left.try_send(heartbeat)
    assert left.try_send(heartbeat)
    assert not left.try_send(heartbeat)
    waiting = asyncio.create_task(left.send(heartbeat))
    iterator = aiter(right)
    assert await anext(iterator) == heartbeat
    assert await waiting is None
    left.cut()
    assert not right.try_send(heartbeat)


def test_peer_set_reconnects_and_forgets():
    """A cut link must be opened again, but not to a removed peer (R13)."""

    async def scenario():
        network = peers.MemoryNetwork()
        links = []

        async def on_link(link):
            links.append(link)
            async for _ in link:
                pass

        network.serve("b:1", hello("b"), on_link)
        connect = network.connector(hello("a"))
        peer_set = peers.PeerSet(connect, on_link, random.Random(1))
        peer_set.set_addresses(["b:1", "nowhere:1"])
        await asyncio.sleep(1)
        network.cut("b")
        await asyncio.sleep(1)
        assert len(links) == 4
        assert peer_set.links["b:1"].peer == hello("b")
        assert peer_set.failures["nowhere:1"].step == errors.Step.CONNECT
        peer_set.set_addresses([])
        await asyncio.sleep(1)
        assert not peer_set.links
        await peer_set.close()

    run_virtual(scenario())
