"""Tests of the control program over TCP, with stand-ins of the platform."""

import asyncio
import os
import signal
import socket

import builders_coordination as build
import msgspec
import pytest

from carobsail import (
    control,
    httpserver,
    messages,
    peers,
    program,
    settings,
    standin_keyvalue,
)

SECRET = "0123456789abcdef"


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def control_settings(key_value, inventory_port):
    return control.ControlSettings(
        instance="i0",
        data_centre="dc",
        peer_listen=f"127.0.0.1:{free_port()}",
        operator_listen=f"127.0.0.1:{free_port()}",
        key_value_url=f"http://{key_value}",
        inventory_url=f"http://127.0.0.1:{inventory_port}/inventory",
        peer_secrets=[SECRET],
    )


def platform(entry_port):
    """Returns a handler that serves an inventory with one entry process."""
    centre = build.SimulatedDataCentre(None, targets=3)
    centre.states["i0"] = "live"
    document = centre.document().replace(b"i0:1", b"127.0.0.1:%d" % entry_port)

    async def handle(request, responder):
        await responder.send(200, [], document)

    return handle


async def test_process_leads_grants_and_stops_on_sigterm():
    """An entry process must get a grant; SIGTERM must stop cleanly (R7).

    A clean stop releases the lease, announces the stop and exits with 0.
    """
    standin = standin_keyvalue.KeyValueStandin()
    await standin.start("127.0.0.1")
    hello = messages.Hello(1, 1, "i0", "dc", 1, "entry")
    entry = build.FakeEntryProcess(hello)
    granted, leaving = asyncio.Event(), asyncio.Event()

    async def on_link(link):
        heartbeats = asyncio.create_task(entry.send_heartbeats())
        entry.links.add(link)
        async for message in link:
            if isinstance(message, messages.Snapshot | messages.Delta):
                await link.send(entry.state.receive(message))
            elif isinstance(message, messages.Grant) and message.targets:
                entry.holder.receive(message)
                granted.set()
            elif isinstance(message, messages.Heartbeat) and message.leaving:
                leaving.set()
        heartbeats.cancel()

    server = await peers.serve_peers(
        "127.0.0.1", 0, hello, [SECRET.encode()], on_link
    )
    entry_port = server.sockets[0].getsockname()[1]
    inventory = await httpserver.serve(
        "127.0.0.1",
        0,
        platform(entry_port),
        httpserver.ServerLimits(),
        "platform",
    )
    values = control_settings(standin.address, inventory.port)
    process = asyncio.create_task(program.serve(values, control.start))
    async with asyncio.timeout(20):
        await granted.wait()
        now = asyncio.get_running_loop().time()
        assert entry.holder.may_send_orders(now)
        os.kill(os.getpid(), signal.SIGTERM)
        assert await process == 0
        await leaving.wait()
    stored = await standin.store.range("/carobsail/dc/dc/leader")
    assert stored.values == ()
    server.close()
    await inventory.close()
    await standin.stop()


def test_settings_error_names_the_setting():
    """An invalid setting must be named before the process starts (R20)."""
    values = msgspec.to_builtins(control_settings("127.0.0.1:1", 1))
    good = settings.convert("file", values, control.ControlSettings)
    assert good.calls_per_s > 0
    for name, value in (("peer_secrets", []), ("calls_per_s", 0)):
        with pytest.raises(settings.SettingsError, match=name):
            settings.convert(
                "file", {**values, name: value}, control.ControlSettings
            )
