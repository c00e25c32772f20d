"""Tests of the clients of plain services and of the inventory."""

import asyncio

import pytest

from carobsail import errors, inventorysource, services
from carobsail.standin_platform import InventoryStandin
from carobsail.standin_service import ServiceCut, ServiceStandin
from tests import builders_io as build

pytestmark = pytest.mark.memory_network


async def start():
    """Returns a started service and a client of it."""
    standin = ServiceStandin(0.01)
    await standin.start("127.0.0.1")
    return standin, services.HttpService("s1", standin.address)


def booking(body: bytes = b"slot 9"):
    return build.dispatch_message(body, path="/bookings", idempotent=False)


async def test_booking_and_lookup():
    """Guards against truncating or changing the response of a service (R3)."""
    standin, client = await start()
    data, failure = await build.read_stream(await client.send(booking()))
    assert failure is None
    assert b'"booking":1' in data
    assert standin.executions[b"slot 9"] == 1
    lookup = build.dispatch_message(
        b"", path="/registrations/AB12", method="GET"
    )
    data, _ = await build.read_stream(await client.send(lookup))
    assert b"AB12" in data


@pytest.mark.parametrize(
    ("cut", "runs"),
    [(ServiceCut.BEFORE_EXECUTION, 0), (ServiceCut.AFTER_EXECUTION, 1)],
)
async def test_cut_booking_is_unknown(cut, runs):
    """Guards against running a booking twice (R5).

    A connection cut before the execution looks the same as one cut after it,
    so the outcome is unknown in both cases.
    """
    standin, client = await start()
    standin.cut_stage, standin.calls_to_cut = cut, 1
    failure = await client.send(booking())
    assert failure.outcome is errors.Outcome.UNKNOWN
    assert standin.executions[b"slot 9"] == runs


async def test_refused_booking_is_not_run():
    """Only the service's own mark proves that a booking has not started.

    Requirement R4.
    """
    standin, client = await start()
    standin.calls_to_refuse = 1
    failure = await client.send(booking())
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert failure.retry_after_s == 1.0
    assert not standin.bookings


async def test_plain_503_is_a_response():
    """A 503 without the mark doesn't prove that the request has not run.

    Requirement R4.
    """

    async def handler(request, responder):
        await responder.send(503, [], b"busy")

    server = await build.start_server(handler)
    client = services.HttpService("s1", f"127.0.0.1:{server.port}")
    response = await client.send(booking())
    assert response.status == 503
    assert await build.read_stream(response) == (b"busy", None)


async def test_inventory_lags_and_its_outage_is_a_failure_value():
    """Guards against exceptions during an outage of the inventory (R12).

    The inventory also lags behind the published one.
    """
    standin = InventoryStandin(b"1", lag_s=5.0)
    await standin.start("127.0.0.1")
    client = inventorysource.InventorySource(standin.url)
    standin.publish(b"2")
    assert await client.fetch() == b"1"
    await asyncio.sleep(6.0)
    assert await client.fetch() == b"2"
    standin.available = False
    failure = await client.fetch()
    assert failure.step is errors.Step.CONFIGURE
    assert failure.outcome is errors.Outcome.FAILED
    with pytest.raises(ValueError, match="expected a URL"):
        inventorysource.InventorySource("https://x/inventory")
