"""Tests the request path from the caller's connection to the targets."""

import asyncio
import gc
import logging

import builders_io
import pytest
from builders_engines import start_engines
from builders_serving import (
    engine_entry,
    entry,
    request_path,
    route,
    route_table,
    stream_route,
)
from builders_targets import (
    HEAD,
    OK,
    REFUSED,
    SEAL,
    Target,
    ask,
    chunk,
    event,
    generate,
    status,
)

from carobsail import httpserver
from carobsail.modeldemand import CALLER_RETRY_WINDOW_S, REFUSED_DEMAND_S
from carobsail.routetable import RetrySafety

pytestmark = pytest.mark.memory_network


async def test_answer_is_passed_on_with_its_signature():
    """The target receives path, target identity and remaining time."""
    target = await Target(OK).start()
    handler = request_path(route_table(route()), target.entry())
    received = await ask(handler, "/a/x?q=1&r")
    assert status(received) == 200 and received.endswith(b"ok")
    assert b"carobsail-server-seal: s" in received.lower()
    sent = target.requests[0].lower()
    assert sent.startswith(b"get /a/x?q=1&r http/1.1")
    assert b"carobsail-target-instance: t1" in sent
    left = int(sent.split(b"carobsail-deadline-ms: ")[1].split(b"\r\n")[0])
    assert 2900 <= left <= 3000


async def test_absolute_target_finds_its_route():
    """A valid request with an absolute URL was refused with 404.

    An allowed request must not be denied (soak check `denied`).
    """
    target = await Target(OK).start()
    handler = request_path(route_table(route()), target.entry())
    path = "http://HOST.example:8080/a/x?q=1"
    received = await ask(handler, path, Host="other.example")
    assert status(received) == 200
    assert target.requests[0].startswith(b"GET /a/x?q=1 HTTP/1.1\r\n")
    assert b"\r\nhost: host.example:8080\r\n" in target.requests[0].lower()


async def test_header_bytes_beyond_ascii_are_passed_on():
    """A valid request or response with such bytes ended with status 500."""
    name = b"X-Name: caf\xe9 \xc3\xa9"
    answer = OK.replace(SEAL, SEAL + name + b"\r\n")
    target = await Target(answer).start()
    handler = request_path(route_table(route()), target.entry())
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    received = await builders_io.send_raw(
        server.port,
        b"GET /a/x HTTP/1.1\r\nHost: host.example\r\n"
        b"Carobsail-Request-Id: q1\r\nConnection: close\r\n"
        + name
        + b"\r\n\r\n",
    )
    await server.close()
    assert status(received) == 200
    assert name.lower() in target.requests[0].lower()
    assert name.lower() in received.lower()


async def test_stream_is_resumed_after_a_non_ascii_identifier():
    """The stream was cut off by an exception instead of being resumed."""
    head = HEAD + chunk(b"id: \xc3\xa9\xff\ndata: x\n\n")
    rest = HEAD + chunk(event(2)) + b"0\r\n\r\n"
    first, second = (
        await Target(head + b"CUT").start(),
        await Target(rest).start(),
    )
    handler = request_path(
        route_table(stream_route()),
        first.engine("e1"),
        second.engine("e2", data_centre="dc-c"),
    )
    received = await generate(handler)
    assert b"last-event-id: \xc3\xa9\xff\r\n" in second.requests[0].lower()
    assert received.endswith(chunk(event(2)) + b"0\r\n\r\n")


async def test_without_a_configuration_no_request_gets_404():
    """Until an instance has its routes, a request gets 503 instead of 404."""
    handler = request_path(route_table(route()))
    handler.route_table = None
    received = await ask(handler)
    assert status(received) == 503
    assert b"retry-after" in received.lower()


async def test_unknown_route():
    """A path without a route gets status 404."""
    assert status(await ask(request_path(route_table(route())), "/b/")) == 404


async def test_denied_request_is_logged_with_what_decided(caplog):
    """Without host and path in the log, a wrong 404 looked like a right one."""
    caplog.set_level(logging.INFO, "carobsail")
    await ask(request_path(route_table(route(), version=7)), "/b/x")
    await ask(request_path(route_table(route())), Carobsail_Token_Count="many")
    unknown, malformed = [
        r.msg for r in caplog.records if r.msg["event"] == "request_refused"
    ]
    assert unknown["request"] == "q1" and unknown["status"] == 404
    assert (unknown["host"], unknown["path"]) == ("host.example", "/b/x")
    assert (unknown["table_version"], unknown["table_revision"]) == (7, "7")
    assert unknown["table_age_s"] >= 0.0
    assert malformed["status"] == 400 and "many" in malformed["detail"]
    assert malformed["path"] == "/a/x"


async def test_unsafe_request_is_not_repeated_after_a_reset():
    """The target may have executed it; a booking was made twice."""
    first, second = await Target(None).start(), await Target().start()
    unsafe = route(retry_safety=RetrySafety.UNSAFE)
    handler = request_path(
        route_table(unsafe),
        first.entry("t1"),
        second.entry("t2", data_centre="dc-c"),
    )
    assert status(await ask(handler, method="POST", Content_Length="0")) == 502
    assert not second.requests


async def test_unsafe_request_is_retried_if_not_executed():
    """The target stated that it did not execute the request."""
    first, second = await Target(REFUSED).start(), await Target().start()
    unsafe = route(retry_safety=RetrySafety.UNSAFE, max_targets=1)
    handler = request_path(
        route_table(unsafe),
        first.entry("t1"),
        second.entry("t2", data_centre="dc-c"),
    )
    assert status(await ask(handler, method="POST", Content_Length="0")) == 200


async def test_unsafe_request_takes_a_new_connection():
    """A reused connection may be reset just as the request is written."""
    target = await Target(OK, OK).start()
    unsafe = route(retry_safety=RetrySafety.UNSAFE)
    handler = request_path(route_table(unsafe), target.entry())
    await ask(handler, method="POST", Content_Length="0")
    await ask(handler, method="POST", Content_Length="0")
    assert handler._pools.connections_opened() == 2


async def test_safe_request_is_repeated_elsewhere():
    """A target that resets connections fails a share of its requests."""
    first, second = await Target(None).start(), await Target().start()
    handler = request_path(
        route_table(route()),
        first.entry("t1"),
        second.entry("t2", data_centre="dc-c"),
    )
    assert status(await ask(handler)) == 200
    assert len(second.requests) == 1


async def test_refusal_is_true_only_without_a_run():
    """A target that resets may have executed it: the status is not 503."""
    target = await Target(None).start()
    handler = request_path(route_table(route(max_targets=1)), target.entry())
    assert status(await ask(handler)) == 502
    full = await Target(REFUSED).start()
    handler = request_path(route_table(route(max_targets=1)), full.entry())
    assert status(await ask(handler)) == 503


async def test_success_without_a_signature_is_not_passed_on():
    """Unsigned bytes may not be the engine's response (soak check `mixed`)."""
    target = await Target(OK.replace(SEAL, b"")).start()
    handler = request_path(route_table(route(max_targets=1)), target.entry())
    assert status(await ask(handler)) == 502


async def test_response_to_another_request_is_skipped():
    """A response to another request arrived before the expected one.

    The caller must not receive it (soak check `mixed`).
    """
    extra = OK.replace(b"q1", b"q0").replace(b"ok", b"no")
    target = await Target(extra + OK).start()
    handler = request_path(route_table(route()), target.entry())
    received = await ask(handler)
    assert received.endswith(b"ok") and b"q0" not in received


async def test_target_signed_failure_keeps_its_status():
    """A signed error response keeps the engine's status."""
    failed = OK.replace(b"200 OK", b"500 x")
    target = await Target(failed).start()
    handler = request_path(route_table(route(max_targets=1)), target.entry())
    received = await ask(handler)
    assert status(received) == 500 and b"seal" in received.lower()


async def test_answer_without_a_length_ends_with_its_connection():
    """A response without a length was discarded."""
    unframed = OK.replace(b"Content-Length: 2\r\n", b"") + b"CUT"
    target = await Target(unframed).start()
    handler = request_path(route_table(route()), target.entry())
    assert (await ask(handler)).endswith(b"okCUT")


async def test_short_answer_is_repeated():
    """A response that ends early must not look complete."""
    short = OK.replace(b"Content-Length: 2", b"Content-Length: 9")
    first, second = await Target(short + b"CUT").start(), await Target().start()
    handler = request_path(
        route_table(route()),
        first.entry("t1"),
        second.entry("t2", data_centre="dc-c"),
    )
    assert (await ask(handler)).endswith(b"ok")


async def test_route_timeout_gets_a_final_answer():
    """Requests got no response when their route's timeout expired."""
    target = await Target("hang").start()
    handler = request_path(
        route_table(route(timeout_s=0.5, max_targets=1)), target.entry()
    )
    loop = asyncio.get_running_loop()
    start = loop.time()
    assert status(await ask(handler)) == 504
    assert loop.time() - start < 0.6


async def test_silent_target_is_avoided():
    """A target that never responds kept its share of the requests."""
    silent, healthy = (
        await Target(*["hang"] * 9).start(),
        await Target().start(),
    )
    handler = request_path(
        route_table(route(timeout_s=0.2, max_targets=1)),
        silent.entry("t1"),
        healthy.entry("t2", data_centre="dc-b"),
    )
    answers = [status(await ask(handler)) for _ in range(4)]
    assert answers[0] == 504
    assert answers[-1] == 200


async def test_caller_that_left_frees_its_target():
    """An engine kept working for a disconnected caller (soak check `gone`)."""
    target = await Target("hang").start()
    handler = request_path(route_table(route()), target.entry())
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    _, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(
        b"GET /a/x HTTP/1.1\r\nHost: host.example\r\n"
        b"Carobsail-Request-Id: q1\r\n\r\n"
    )
    await asyncio.sleep(0.1)
    assert target.requests and not target.closed
    writer.close()
    await asyncio.sleep(0.1)
    assert target.closed == 1
    assert handler.in_flight == 0
    await server.close()


async def test_stream_is_resumed_after_the_last_complete_event():
    """A stream that broke within an event is resumed exactly.

    No event is omitted or repeated (soak check `order`).
    """
    broken = HEAD + chunk(event(1)) + chunk(event(2) + b"id: 3\nda") + b"CUT"
    rest = HEAD + chunk(event(3)) + chunk(event(4)) + b"0\r\n\r\n"
    first, second = await Target(broken).start(), await Target(rest).start()
    handler = request_path(
        route_table(stream_route()),
        first.engine("e1"),
        second.engine("e2", data_centre="dc-c"),
    )
    received = await generate(handler)
    assert b"last-event-id: 2" in second.requests[0].lower()
    ids = [
        int(line[3:])
        for line in received.replace(b"\r\n", b"\n").split(b"\n")
        if line.startswith(b"id:")
    ]
    assert ids == [1, 2, 3, 4]
    assert received.endswith(b"0\r\n\r\n")


async def test_stream_goes_on_elsewhere_after_a_silence():
    """Streams whose engine sent no more events waited until the deadline."""
    silent = HEAD + chunk(event(1))
    rest = HEAD + chunk(event(2)) + b"0\r\n\r\n"
    first, second = await Target(silent).start(), await Target(rest).start()
    handler = request_path(
        route_table(stream_route(timeout_s=15.0, caller_idle_timeout_s=2.4)),
        first.engine("e1"),
        second.engine("e2", data_centre="dc-c"),
    )
    loop = asyncio.get_running_loop()
    start = loop.time()
    received = await generate(handler, Carobsail_Deadline_Ms="15000")
    assert event(2) in received
    assert loop.time() - start < 2.4


async def test_broken_stream_does_not_look_complete():
    """A stream that cannot be resumed ends without its last chunk."""
    broken = HEAD + chunk(event(1)) + b"CUT"
    target = await Target(broken).start()
    plain = stream_route(resumable=False, max_targets=1)
    handler = request_path(route_table(plain), target.engine())
    received = await generate(handler)
    assert event(1) in received
    assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("piece", [b"d" * 16_384, b": c\n" * 4096])
async def test_stream_without_a_whole_event_is_given_up(piece):
    """The bytes were buffered in memory until the caller's deadline."""
    endless = builders_io.EndlessServer(HEAD + chunk(event(1)), chunk(piece))
    await endless.start()
    rest = await Target(HEAD + chunk(event(2)) + b"0\r\n\r\n").start()
    handler = request_path(
        route_table(stream_route()),
        engine_entry("e1", address=f"127.0.0.1:{endless.port}"),
        rest.engine("e2", data_centre="dc-c"),
    )
    loop = asyncio.get_running_loop()
    start = loop.time()
    received = await generate(handler)
    assert received.endswith(chunk(event(2)) + b"0\r\n\r\n")
    assert b"last-event-id: 1" in rest.requests[0].lower()
    assert loop.time() - start < 1.0
    await asyncio.sleep(0.1)
    assert endless.sent < 1_000_000
    assert endless.closed == 1


async def test_stream_without_a_whole_event_does_not_run_twice():
    """The first target may have executed the request.

    The request must neither run again (soak check `twice`) nor be answered as
    not executed (soak check `refused`).
    """
    endless = builders_io.EndlessServer(HEAD, chunk(b"d" * 16_384))
    await endless.start()
    other = await Target().start()
    handler = request_path(
        route_table(stream_route(resumable=False)),
        engine_entry("e1", address=f"127.0.0.1:{endless.port}"),
        other.engine("e2", data_centre="dc-c"),
    )
    assert status(await generate(handler)) == 502
    assert not other.requests
    await asyncio.sleep(0.1)
    assert endless.closed == 1


@pytest.mark.parametrize(
    ("piece", "at_most"), [(b"y", 1000), (b"y" * 16_384, 200_000)]
)
async def test_endless_refusal_is_retried_elsewhere(piece, at_most):
    """A request that was not executed waited until the caller's deadline."""
    refused = REFUSED.replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    endless = builders_io.EndlessServer(refused, chunk(piece))
    await endless.start()
    other = await Target().start()
    handler = request_path(
        route_table(route(retry_safety=RetrySafety.UNSAFE)),
        entry("t1", address=f"127.0.0.1:{endless.port}"),
        other.entry("t2", data_centre="dc-c"),
    )
    loop = asyncio.get_running_loop()
    start = loop.time()
    received = await ask(handler, method="POST", Content_Length="0")
    assert status(received) == 200
    assert loop.time() - start < 0.5
    await asyncio.sleep(0.1)
    assert endless.requests == endless.closed == 1
    assert endless.sent < at_most


async def test_request_waits_for_its_model_to_be_loaded():
    """A request for an absent model waits while a load is expected."""
    target = await Target(HEAD + chunk(event(1)) + b"0\r\n\r\n").start()
    handler = request_path(
        route_table(stream_route()), target.engine(models=())
    )
    waits = []
    handler.model_demand.on_waiting = lambda *wait: waits.append(wait)
    loop = asyncio.get_running_loop()

    def loaded():
        handler.registry.set_held("e1", {"m1": frozenset()}, loop.time())
        handler.wake_waiting()

    handler.model_demand.ready_at["llm", "m1"] = loop.time() + 1.0
    loop.call_later(1.0, loaded)
    assert status(await generate(handler)) == 200
    assert waits[0] == ("llm", "m1", "")
    assert not handler.model_demand.waiting_counts


async def test_request_for_a_model_that_nobody_loads_is_refused_soon():
    """The request waited until shortly before the caller's deadline."""
    handler = request_path(route_table(stream_route()), engine_entry(models=()))
    loop = asyncio.get_running_loop()
    start = loop.time()
    received = await generate(handler)
    assert status(received) == 503 and b"model_absent" in received
    assert loop.time() - start < 0.2 * 5.0
    # The caller may retry; quick refusals must not keep the model from loading.
    assert handler.model_demand.waiting_counts == {("llm", "m1", ""): 1}
    await asyncio.sleep(REFUSED_DEMAND_S + 0.1)
    assert not handler.model_demand.waiting_counts


async def test_request_for_a_model_that_comes_too_late_is_refused_at_once():
    """The coordinator has reported that the load takes 9 s."""
    handler = request_path(route_table(stream_route()), engine_entry(models=()))
    loop = asyncio.get_running_loop()
    start = loop.time()
    handler.model_demand.ready_at["llm", "m1"] = start + 9.0
    received = await generate(handler)
    assert status(received) == 503 and b"model_loads_too_late" in received
    retry_s = float(received.lower().split(b"retry-after: ")[1].split()[0])
    assert retry_s >= 9.0
    assert loop.time() - start < 0.1


async def test_stream_that_is_resumed_has_as_long_as_its_caller_waits():
    """The stream was resumed at an engine too busy to send an event in time."""
    first = await Target(
        HEAD + chunk(event(1)) + chunk(b"id: 2\nda") + b"CUT"
    ).start()
    second = await Target().start()
    handler = request_path(
        route_table(stream_route(timeout_s=15.0, caller_idle_timeout_s=2.4)),
        first.engine("e1"),
        second.engine("e2"),
    )
    handler.registry.get("e2").others_prompt_tokens = 100_000
    received = await generate(handler, Carobsail_Deadline_Ms="15000")
    assert event(1) in received
    assert len(first.requests) == 1 and not second.requests


async def test_retry_of_a_refused_caller_is_no_demand():
    """Retries of refused callers doubled the copies that were loaded."""
    handler = request_path(route_table(stream_route()), engine_entry(models=()))
    handler.model_demand.ready_at["llm", "m1"] = (
        asyncio.get_running_loop().time() + 9.0
    )
    for _ in range(6):
        assert status(await generate(handler)) == 503
    assert handler.model_demand.counters["llm", "m1"].count == 3
    await asyncio.sleep(CALLER_RETRY_WINDOW_S + 0.1)
    await generate(handler)
    assert handler.model_demand.counters["llm", "m1"].count == 4


async def test_request_that_waits_at_a_stop_is_refused():
    """A waiting request got no response when its instance ended."""
    handler = request_path(route_table(stream_route()), engine_entry(models=()))
    handler.stops_at = asyncio.get_running_loop().time() + 1.0
    assert status(await generate(handler)) == 503


async def test_long_request_is_refused_by_an_instance_that_stops():
    """A stream on a keep-alive connection was cut off 4 s later.

    A planned stop must not cut off requests (soak check `lost`).
    """
    target = await Target().start()
    routes = route_table(route(), stream_route(prefix="/s/", timeout_s=15.0))
    handler = request_path(routes, target.entry(), engine_entry())
    handler.stops_at = asyncio.get_running_loop().time() + 4.0
    handler.draining = True
    patient = {"Carobsail_Deadline_Ms": "15000", "Carobsail_Model": "m1"}
    received = await ask(handler, "/s/x", "POST", Content_Length="0", **patient)
    assert status(received) == 503 and b"stops" in received
    assert status(await ask(handler)) == 200


async def test_repeats_end_with_the_budget():
    """Retries multiplied the requests to a failing service."""
    first, second = await Target(*[None] * 9).start(), await Target().start()
    handler = request_path(
        route_table(route()),
        first.entry("t1"),
        second.entry("t2", data_centre="dc-c"),
    )
    handler.set_retry_budget(type(handler._budget_settings)(0.0, 0.0, 10.0))
    assert status(await ask(handler)) == 502
    assert not second.requests


async def test_target_that_takes_no_connection_uses_no_budget():
    """Requests were refused although a healthy target was known."""
    healthy = await Target().start()
    crashed = entry("t1", address="127.0.0.1:1")
    handler = request_path(
        route_table(route(retry_safety=RetrySafety.UNSAFE, max_targets=1)),
        crashed,
        healthy.entry("t2", data_centre="dc-c"),
    )
    handler.set_retry_budget(type(handler._budget_settings)(0.0, 0.0, 10.0))
    assert status(await ask(handler)) == 200


async def test_request_that_crashed_three_targets_is_refused():
    """The request would crash a fourth target.

    Status 503 says that it was not executed.
    """
    targets = await start_engines(4, b"/a/x", begins=False)
    handler = request_path(
        route_table(stream_route()), *(t.entry() for t in targets)
    )
    answers = []
    for _ in range(3):
        server = await httpserver.serve(
            "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
        )
        head = (
            b"POST /a/x HTTP/1.1\r\nHost: host.example\r\n"
            b"Carobsail-Request-Id: q1\r\nCarobsail-Model: m1\r\n"
            b"Carobsail-Token-Count: 10,5\r\nContent-Length: 6\r\n"
            b"Connection: close\r\n\r\nprompt"
        )
        answers.append(await builders_io.send_raw(server.port, head))
        await server.close()
    assert [status(a) for a in answers][-1] == 503
    assert sum(len(t.received) for t in targets) == 3


class BlockedResponder:
    """A caller's connection on which writes of events block."""

    started = finished = False

    def __init__(self):
        self.disconnected = asyncio.Event()

    async def start(self, status, headers):
        self.started = True

    async def write(self, data):
        await asyncio.Event().wait()

    def abort(self):
        self.disconnected.set()


@pytest.mark.parametrize("leaves", [True, False])
async def test_target_is_freed_while_a_write_to_its_caller_waits(leaves):
    """The response was closed only by the garbage collector.

    The target kept working until then (soak check `gone`).
    """
    ended = asyncio.Event()

    async def accept(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + chunk(event(1)))
        try:
            await reader.read()
        except ConnectionResetError:
            pass  # An abandoned response resets its connection.
        ended.set()
        writer.close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{builders_io.port_of(listener)}"
    handler = request_path(
        route_table(stream_route()), engine_entry(address=address)
    )
    headers = [
        ("host", "host.example"),
        ("carobsail-request-id", "q1"),
        ("carobsail-model", "m1"),
        ("carobsail-token-count", "100,20"),
        ("carobsail-deadline-ms", "200"),
    ]
    request = httpserver.Request(
        "POST", "/a/x", "", headers, b"", "127.0.0.1:1", "/a/x"
    )
    responder = BlockedResponder()
    work = asyncio.create_task(handler.handle(request, responder))
    gc.disable()
    try:
        await asyncio.sleep(0.1)
        assert responder.started
        if leaves:
            responder.disconnected.set()
        async with asyncio.timeout(0.3):
            await ended.wait()
    finally:
        gc.enable()
    await work
    listener.close()
