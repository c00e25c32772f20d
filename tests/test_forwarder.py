"""Guards retries, resumes and delivery of a caller's request (R3, R4, R5)."""

import asyncio
import random

import builders
import fakes
import pytest

from carobsail import (
    attempts,
    directory,
    dispatcher,
    errors,
    estimation,
    exchange,
    forwarder,
    grants,
    inventory,
    messages,
    ownedtargets,
    prefixes,
    reporting,
    routing,
    suspects,
    telemetry,
)

pytestmark = pytest.mark.looptime


class ScriptedTransport(forwarder.Transport):
    """Sends attempts to the fake target of each name."""

    def __init__(self, receivers, fake_targets):
        self.receivers = receivers
        self.fake_targets = fake_targets
        self.sent = []
        self.cancelled = []
        self.refuse = {}
        self._tasks = set()

    def send(self, request, destination, receiver):
        self.sent.append((destination, request.attempt))
        if self.refuse.get(destination, 0):
            self.refuse[destination] -= 1
            return errors.Failure(
                errors.Reason.CONNECT_FAILED, errors.Step.FORWARD, destination
            )
        runner = fakes.build_runner(self.fake_targets[destination])
        task = asyncio.create_task(runner.run(request, receiver))
        self._tasks.add(task)
        return None

    def cancel(self, destination, attempt):
        self.cancelled.append(attempt)


class Delivered(forwarder.Delivery):
    """Records what the caller received."""

    def __init__(self):
        self.status = None
        self.body = b""

    async def start(self, status, headers):
        self.status = status

    async def write(self, data):
        self.body += data


def build(fake_targets, request=None):
    """Returns a forwarder for the targets, its transport and an exchange."""
    platform_inventory = inventory.Inventory(
        version=1,
        regions={"dc-1": "region-1"},
        instances=[],
        targets=[fakes.build_target(name=name) for name in fake_targets]
        + [
            fakes.build_target(
                name=name, kind=inventory.Kind.SERVICE, pool="desk"
            )
            for name in fake_targets
        ],
        models=[],
        adapters=[],
        weight_store=inventory.WeightStore(region="region-1"),
    )
    is_service = request is not None and request.operation.service
    kind = inventory.Kind.SERVICE if is_service else inventory.Kind.ENGINE
    kept = [t for t in platform_inventory.targets if t.kind is kind]
    targets = directory.TargetDirectory(
        "dc-1",
        dispatcher.Dispatcher(),
        lambda target: [],
        estimation.Slowdowns(),
        prefixes.PrefixIndex(),
    )
    platform_inventory = inventory.Inventory(
        1,
        platform_inventory.regions,
        [],
        kept,
        [],
        [],
        platform_inventory.weight_store,
    )
    targets.update_inventory(platform_inventory, 1)
    loads = [
        messages.TargetLoad(name, 0, 0, ["draft"], [], True)
        for name in fake_targets
    ]
    targets.record_loads("entry-2", messages.Loads(1, True, loads), 0.0)
    receivers = attempts.Receivers()
    transport = ScriptedTransport(receivers, fake_targets)
    subject = forwarder.Forwarder(
        "entry-1",
        targets,
        routing.create("least_outstanding", random.Random(1)),
        transport,
        receivers,
        reporting.Reporter(
            ownedtargets.OwnedTargets(
                dispatcher.Dispatcher(), grants.GrantHolder(), None, None
            ),
            dispatcher.Dispatcher(),
            0.0,
        ),
        suspects.CrashSuspects("entry-1"),
        telemetry.Metrics(),
        random.Random(1),
    )
    caller_exchange = exchange.Exchange(
        request or builders.build_request(),
        asyncio.get_running_loop().time(),
    )
    return subject, transport, caller_exchange


def build_failure(outcome):
    """Returns a retriable failure."""
    return builders.build_failure(outcome)


async def test_stream_is_delivered_whole():
    """R3: the caller receives each event once and in order."""
    subject, _, caller_exchange = build({"engine-1": fakes.FakeTarget()})
    delivered = Delivered()
    result = await subject.run(caller_exchange, delivered)
    assert isinstance(result, forwarder.Streamed)
    assert delivered.body == fakes.STREAM
    assert len(subject.receivers) == 0


async def test_failed_attempt_is_retried_at_another_target():
    """R2: one dead engine must not fail an idempotent request."""
    failed = build_failure(errors.Outcome.FAILED)
    fake_targets = {
        "engine-1": fakes.FakeTarget([failed] * 3),
        "engine-2": fakes.FakeTarget([failed] * 3),
    }
    subject, transport, caller_exchange = build(fake_targets)
    result = await subject.run(caller_exchange, Delivered())
    assert isinstance(result, errors.Failure)
    assert result.outcome is errors.Outcome.FAILED
    assert len({destination for destination, _ in transport.sent[:2]}) == 2


async def test_booking_with_an_unknown_outcome_is_not_sent_again():
    """R5: a lost response must not cause a second booking."""
    fake_target = fakes.FakeTarget([build_failure(errors.Outcome.UNKNOWN)])
    request = builders.build_booking()
    subject, transport, caller_exchange = build(
        {"desk-1": fake_target}, request
    )
    result = await subject.run(caller_exchange, Delivered())
    assert result.outcome is errors.Outcome.UNKNOWN
    assert len(transport.sent) == 1


async def test_booking_that_was_not_sent_is_retried():
    """R4: an attempt that was provably not sent may be retried."""
    fake_target = fakes.FakeTarget([fakes.FakeStream([b"{}"], 201, [])])
    request = builders.build_booking()
    subject, transport, caller_exchange = build(
        {"desk-1": fake_target}, request
    )
    transport.refuse = {"desk-1": 1}
    result = await subject.run(caller_exchange, Delivered())
    assert result.status == 201
    assert len(transport.sent) == 2
    assert len(fake_target.executions) == 1


async def test_stream_resumes_after_loss_of_its_owner():
    """R3: losing the owner must not lose or duplicate tokens of a stream."""
    half = fakes.FakeStream(
        [*fakes.EVENTS[:5], build_failure(errors.Outcome.UNKNOWN)]
    )
    rest = fakes.FakeStream(fakes.EVENTS[5:])
    unsent = build_failure(errors.Outcome.NOT_RUN)
    fake_target = fakes.FakeTarget([half], [unsent, unsent, unsent, rest])
    subject, transport, caller_exchange = build({"engine-1": fake_target})
    transport.refuse = {}
    delivered = Delivered()
    result = await subject.run(caller_exchange, delivered)
    assert isinstance(result, forwarder.Streamed)
    assert delivered.body == fakes.STREAM
    first = transport.sent[0][1]
    assert {attempt for attempt, _ in fake_target.resumed_after} == {first}
    assert len(fake_target.executions) == 1


async def test_response_without_streaming_is_buffered_until_complete():
    """R3: a truncated response without streaming is retried, not delivered."""
    body = b'{"usage": {"completion_tokens": 3}}'
    short = fakes.FakeStream(
        [body[:5], build_failure(errors.Outcome.FAILED)], headers=[]
    )
    whole = fakes.FakeStream([body], headers=[])
    request = builders.build_request(body=b'{"model": "draft"}')
    subject, _, caller_exchange = build(
        {"engine-1": fakes.FakeTarget([short, whole])}, request
    )
    result = await subject.run(caller_exchange, Delivered())
    assert result.body == body


async def test_abandoned_request_is_cancelled_at_its_owner():
    """A caller that disconnected must not keep an engine busy."""
    fake_target = fakes.FakeTarget([fakes.FakeStream([3600.0])])
    subject, transport, caller_exchange = build({"engine-1": fake_target})
    task = asyncio.create_task(subject.run(caller_exchange, Delivered()))
    await asyncio.sleep(1.0)
    task.cancel()
    await asyncio.wait((task,))
    assert transport.cancelled == [transport.sent[0][1]]
    assert len(subject.receivers) == 0


async def test_slow_caller_cancels_the_attempt_at_its_owner(monkeypatch):
    """A caller that reads too slowly must not keep an engine busy."""
    monkeypatch.setattr(attempts, "MAX_BUFFERED_BYTES", 20)
    fake_target = fakes.FakeTarget(
        resumes=[build_failure(errors.Outcome.FAILED)] * 50
    )
    subject, transport, caller_exchange = build({"engine-1": fake_target})

    class Slow(Delivered):
        async def write(self, data):
            await asyncio.sleep(60.0)

    result = await subject.run(caller_exchange, Slow())
    assert isinstance(result, errors.Failure)
    assert transport.sent[0][1] in transport.cancelled
