"""Tests the coordination of instances that are connected in memory."""

import asyncio
import dataclasses
import random

import msgspec
import pytest
from builders_serving import (
    LOCATION,
    engine_entry,
    engine_pool,
    model,
    request_path,
    route_table,
    stream_route,
)

from carobsail import (
    coordination,
    crashes,
    crashguard,
    datagrams,
    engineorders,
    errors,
    keyvalue,
    latencymodel,
    modeldemand,
    orderlease,
    storecopy,
    storeera,
    storemirror,
    summaries,
    telemetry,
    wirerevisions,
)

pytestmark = pytest.mark.memory_network

HANDOVER_DELAY_S = 3.0
MODELS = engine_pool(model("m1", adapters=4), model("m2"))


class InstanceStore(keyvalue.MemoryKeyValue):
    """One instance's connection to a shared store, which can be cut."""

    def __init__(self, shared):
        super().__init__()
        self.shared = shared
        self.unreachable = False
        self.compact = False
        self.asked = 0
        self.ranges = 0

    async def keep_lease(self, lease):
        """See base class."""
        if self.unreachable:
            await asyncio.sleep(3600)
        return await self.shared.keep_lease(lease)

    async def grant_lease(self, ttl_s):
        """See base class."""
        if self.unreachable:
            await asyncio.sleep(3600)
        return await self.shared.grant_lease(ttl_s)

    async def transact(self, compares, writes):
        """See base class."""
        if self.unreachable:
            await asyncio.sleep(3600)
        return await self.shared.transact(compares, writes)

    async def range(self, prefix):
        """See base class."""
        if self.unreachable:
            await asyncio.sleep(3600)
        self.ranges += 1
        return await self.shared.range(prefix)

    async def changes(self, prefix, after, wait_s):
        """See base class."""
        self.asked += 1
        if self.unreachable:
            await asyncio.sleep(wait_s + 1.0)
            return errors.Failure(
                errors.Reason.TIMEOUT, errors.Step.KEY_VALUE, "store"
            )
        if self.compact:
            self.compact = False
            return errors.Failure(
                errors.Reason.STALE_REVISION, errors.Step.KEY_VALUE, "store"
            )
        return await self.shared.changes(prefix, after, wait_s)

    async def revoke_lease(self, lease):
        """See base class."""
        return await self.shared.revoke_lease(lease)


class Engines(engineorders.EngineOrderClient):
    """Engines in memory that accept orders and record them.

    Attributes:
      given: Time, holder and order of each order.
    """

    def __init__(self):
        self.given = []
        self.held = {"e1": {"m1": set()}}
        self.orders = {"e1": 0}

    async def order(
        self, identity, address, order, orders_before, holder, fence
    ):
        """See base class."""
        now = asyncio.get_running_loop().time()
        self.given.append((now, holder, fence, order))
        if orders_before != self.orders[identity]:
            return engineorders.Verdict.CONFLICT
        self.orders[identity] += 1
        if order.adapter:
            self.held[identity][order.model].add(order.adapter)
        elif order.verb is engineorders.Verb.LOAD:
            self.held[identity][order.model] = set()
        else:
            self.held[identity].pop(order.model)
        return engineorders.Verdict.ACCEPTED

    async def report(self, identity, address):
        """See base class."""
        return engineorders.EngineReport(
            {m: frozenset(a) for m, a in self.held[identity].items()},
            False,
            self.orders[identity],
            {},
            frozenset(),
            frozenset(),
            0,
        )


class Group:
    """Instances connected by datagrams in memory."""

    def __init__(self, count):
        self.shared = keyvalue.MemoryKeyValue()
        self.engines = Engines()
        self.instances = []
        self.stores = []
        self.handlers = []
        self.seen = []
        self.mirrors = []
        self.peer_reads = 0
        self.dead = set()
        # Instances that are cut off from the others.
        self.cut = set()
        self.tasks = []
        loop = asyncio.get_running_loop()
        for number in range(count):
            store = InstanceStore(self.shared)
            handler = request_path(
                route_table(stream_route(), engines=MODELS), engine_entry()
            )
            self.seen.append([])
            mirror = storemirror.StoreMirror(
                store,
                "",
                lambda events, before, after, n=number: self._changed(
                    n, events, before, after
                ),
                lambda reachable: None,
                random.Random(number),
                GroupPeerReader(self),
            )
            self.mirrors.append(mirror)
            instance = coordination.Coordination(
                orderlease.Holder(f"i{number}", f"10.0.0.{number}"),
                number != 0,
                dataclasses.replace(
                    LOCATION, data_centre="dc-a" if number < 2 else "dc-b"
                ),
                7000,
                7001,
                HANDOVER_DELAY_S,
                5.0,
                store,
                handler.registry,
                handler,
                mirror,
                self.engines,
                loop.time,
                telemetry.Metrics(),
                random.Random(number),
            )
            instance._known_peers.datagrams = MemoryDatagrams(self, number)
            handler.model_demand.on_waiting = instance.report_waiting
            handler.on_unreachable = instance.schedule_urgent_summary
            handler.crash_guard.on_crash = instance.report_crash
            self.instances.append(instance)
            self.stores.append(store)
            self.handlers.append(handler)
            self.tasks.append(
                [
                    asyncio.create_task(instance.keeper.run()),
                    asyncio.create_task(instance.run_rounds()),
                    asyncio.create_task(instance.run_summaries()),
                    asyncio.create_task(mirror.run()),
                ]
            )

    def _changed(self, number, events, before, after):
        for event in events:
            self.instances[number].observe(event)
        self.seen[number] += [(e.key, e.value) for e in events]
        self.instances[number].relay(events, before, after)

    def deliver(self, sender, data, address):
        receiver = int(address[0].rsplit(".", 1)[1])
        unreachable = self.dead | self.cut
        if receiver not in unreachable and sender not in unreachable:
            self.instances[receiver]._handle_datagram(
                data, (f"10.0.0.{sender}", 7000)
            )

    def kill(self, number):
        self.dead.add(number)
        for task in self.tasks[number]:
            task.cancel()

    def holders(self):
        now = asyncio.get_running_loop().time()
        return [
            number
            for number, instance in enumerate(self.instances)
            if number not in self.dead and instance.lease.may_send_orders(now)
        ]

    async def wait_for_holder(self):
        for _ in range(1000):
            if self.holders():
                return
            await asyncio.sleep(0.05)

    def stop(self):
        for tasks in self.tasks:
            for task in tasks:
                task.cancel()


class GroupPeerReader(storecopy.PeerReader):
    """Reads the copies of the instances of a group."""

    def __init__(self, group):
        self._group = group

    def _mirror(self, address):
        self._group.peer_reads += 1
        number = int(address.rpartition(":")[0].rsplit(".", 1)[1])
        return self._group.mirrors[number]

    async def read_value(self, address, key, revision):
        """See base class."""
        return await self._mirror(address).value_from(key, revision, 0.0)

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return await self._mirror(address).changes_after(after, wait_s)


class MemoryDatagrams(datagrams.Datagrams):
    """Delivers datagrams inside a group."""

    def __init__(self, group, number):
        super().__init__(lambda data, address: None)
        self._group = group
        self._number = number

    def send(self, data, address):
        """See base class."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._group.deliver, self._number, data, address)


@pytest.fixture
async def group():
    made = Group(4)
    await asyncio.sleep(6.0)
    yield made
    made.stop()


async def test_one_instance_gives_orders(group):
    """Two instances must not give orders at once (soak check `one`)."""
    assert len(group.holders()) == 1
    assert len({p.lease.holder.instance for p in group.instances}) == 1


async def test_instance_with_a_slow_link_acquires_the_lease_last(group):
    """The coordinator's messages saturated a link of 5 Mbit/s."""
    assert group.holders() != [0]


async def test_successor_waits_for_the_turn(group):
    """After a holder is lost, the next one waits for the handover delay."""
    (first,) = group.holders()
    killed_at = asyncio.get_running_loop().time()
    group.kill(first)
    await group.wait_for_holder()
    waited_s = asyncio.get_running_loop().time() - killed_at
    assert waited_s >= HANDOVER_DELAY_S
    assert waited_s <= orderlease.LEASE_S + HANDOVER_DELAY_S + 2.0
    assert first not in group.holders()


async def test_peers_renew_for_a_holder_without_the_store(group):
    """No engine got an order for 7 s when only the holder lost the store."""
    (first,) = group.holders()
    group.stores[first].unreachable = True
    for _ in range(40):
        await asyncio.sleep(0.25)
        assert group.holders() == [first]


async def test_holder_without_store_and_peers_stops(group):
    """A holder whose lease is not renewed stops before the lease expires."""
    (first,) = group.holders()
    for store in group.stores:
        store.unreachable = True
    await asyncio.sleep(orderlease.LEASE_S)
    assert group.holders() == []


async def test_adapter_that_a_request_waits_for_is_loaded_and_announced(group):
    """An adapter must be loaded and announced within 0.4 s of a request."""
    (first,) = group.holders()
    waiting_instance = (first + 1) % 4
    handler = group.handlers[waiting_instance]
    handler.model_demand.waiting_counts["llm", "m1", "a2"] = 1
    handler.model_demand.on_waiting("llm", "m1", "a2")
    await asyncio.sleep(0.4)
    order = engineorders.Order(engineorders.Verb.LOAD, "m1", "a2")
    assert [o for _, _, _, o in group.engines.given] == [order]
    for path in group.handlers:
        assert path.registry.get("e1").held == {"m1": frozenset({"a2"})}


async def test_engine_gets_its_adapters_one_after_the_other(group):
    """The only engine that accepted orders got one adapter per round."""
    (first,) = group.holders()
    handler = group.handlers[(first + 1) % 4]
    for adapter in ("a1", "a2"):
        handler.model_demand.waiting_counts["llm", "m1", adapter] = 1
    handler.model_demand.on_waiting("llm", "m1", "a1")
    await asyncio.sleep(0.4)
    times = [at for at, _, _, _ in group.engines.given]
    assert len(times) == 2
    assert times[1] - times[0] < 0.02


async def test_engine_takes_orders_while_an_adapter_leaves(group):
    """A request of 5 s that used the adapter blocked the engine's orders."""
    (first,) = group.holders()
    record = group.instances[first]._coordinator._records["e1"]
    group.engines.held["e1"]["m1"].add("a9")
    record.unloading_adapters.add(("m1", "a9"))
    record.holdings["m1"].add("a9")
    accepting = 0
    for _ in range(50):
        await asyncio.sleep(0.02)
        now = asyncio.get_running_loop().time()
        accepting += record.accepts_orders(now)
    assert record.unloading_adapters
    assert accepting > 40


async def test_instances_see_the_load_of_the_others(group):
    """Each instance saw only its own requests at an engine."""
    target = group.handlers[0].registry.get("e1")
    target.in_flight, target.prompt_tokens = 5, 1000.0
    await asyncio.sleep(2.0)
    for number, path in enumerate(group.handlers):
        seen = path.registry.get("e1")
        assert seen.others_in_flight == (0 if number == 0 else 5)
    assert {path.instance_count for path in group.handlers} == {4}


async def test_speed_of_engines_is_estimated_from_all_instances(group):
    """One instance alone sees only a few responses of each kind a minute."""
    (holder,) = group.holders()
    for number, path in enumerate(group.handlers):
        if number != holder:
            sample = latencymodel.LatencySample("llm", 4000.0, 2000.0, 2, 1.0)
            path.latency_models.record(sample)
        path.model_demand.counters["llm", "m1"] = modeldemand.ArrivalCounter(
            count=1
        )
    for _ in range(20):
        await asyncio.sleep(0.5)
        for path in group.handlers:
            path.model_demand.counters["llm", "m1"].count += 5
    learned = [
        tuple(p.latency_models.of_service("llm").parameters())
        for p in group.handlers
    ]
    assert len(set(learned)) == 1
    assert learned[0] != tuple(latencymodel.INITIAL_MODEL.parameters())


async def test_target_that_two_cannot_reach_is_avoided_by_all(group):
    """Each of 88 instances had to detect by itself that an engine crashed."""
    now = asyncio.get_running_loop().time()
    for path in group.handlers[1:3]:
        path.registry.get("e1").record_failure(now, unreachable=True)
        path.on_unreachable()
    await asyncio.sleep(0.1)
    avoided = [p.registry.get("e1").avoided_until > now for p in group.handlers]
    assert all(avoided)


def record_crashes(group, parts, *numbers):
    """Lets instances observe one crash each, 0.2 s apart.

    Returns:
      The traits of the requests that crashed the targets.
    """
    traits = crashes.Traits(parts)
    now = asyncio.get_running_loop().time()
    for order, number in enumerate(numbers):
        guard = group.handlers[number].crash_guard
        at = now - 0.2 * (len(numbers) - 1 - order)
        guard._observations.record_crash(traits.all(), number, True, at)
        guard._apply_changes()
        guard.on_crash()
    return traits


def forget_crashes(handler):
    """Replaces what an instance knows of crashes, as a restart does."""
    handler.crash_guard = crashguard.CrashGuard(
        telemetry.Metrics(), handler.wake_waiting
    )


def refusals(group, traits):
    """Returns whether each instance that lives refuses such a request."""
    return [
        handler.crash_guard.refusal(traits) is not None
        for number, handler in enumerate(group.handlers)
        if number not in group.dead
    ]


async def test_request_that_crashes_targets_is_refused_by_all(group):
    """Three instances each lost an engine to the same request."""
    traits = record_crashes(group, (7,), 0, 1, 2)
    await asyncio.sleep(0.1)
    assert all(refusals(group, traits))


async def test_observed_crashes_survive_the_coordinator(group):
    """A crash was reported for 2 s, while no coordinator was there for 3.4 s.

    Two instances each lost an engine just when the coordinator was killed, and
    an instance that starts later learns of it too.
    """
    (first,) = group.holders()
    group.kill(first)
    others = [n for n in range(len(group.handlers)) if n != first]
    traits = record_crashes(group, (7, 8), *others[:2])
    await asyncio.sleep(4.0)  # contactMs of the smallest deployments
    assert all(refusals(group, traits))


@pytest.mark.parametrize("cut", [{1}, {2, 3}, {0, 1}])
async def test_crashes_are_known_everywhere_after_a_cut(group, cut):
    """Instances that were cut off sent what the others refused."""
    group.cut = cut
    traits = record_crashes(group, (7, 8), 0, 2)
    await asyncio.sleep(5.0)
    group.cut = set()
    await asyncio.sleep(4.0)  # contactMs of the smallest deployments
    assert all(refusals(group, traits))


async def test_late_and_repeated_reports_change_nothing(group):
    """Datagrams of the past are delivered again, in another order."""
    delivered = []
    deliver = group.deliver

    def record(*datagram):
        delivered.append(datagram)
        deliver(*datagram)

    group.deliver = record
    traits = record_crashes(group, (7, 8), 0, 1)
    await asyncio.sleep(1.0)
    assert all(refusals(group, traits))
    left_s = [
        h.crash_guard.refusal(traits).retry_after_s for h in group.handlers
    ]
    random.Random(1).shuffle(delivered)
    for datagram in list(delivered):
        deliver(*datagram)
    assert left_s == [
        h.crash_guard.refusal(traits).retry_after_s for h in group.handlers
    ]
    sound = [crashes.Traits((7,)), crashes.Traits((8,))]
    assert not any(any(refusals(group, s)) for s in sound)


async def test_crash_news_of_many_do_not_fill_the_links(group):
    """Each news was sent to all at once with all crashes known so far.

    The link between regions was full, and a whole region lost the store. 300
    requests with 60 new parts are lost at an instance in 3 s.
    """
    await group.wait_for_holder()
    (first,) = group.holders()
    sent_bytes = 0
    send = MemoryDatagrams.send

    def count(datagrams, data, address):
        nonlocal sent_bytes
        sent_bytes += len(data) if datagrams._number == first else 0
        send(datagrams, data, address)

    guard = group.handlers[(first + 1) % 4].crash_guard
    MemoryDatagrams.send = count
    try:
        for number in range(300):
            now = asyncio.get_running_loop().time()
            traits = crashes.Traits((1000 + number % 60,), 5000 + number // 2)
            guard._observations.record_crash(
                (traits.fingerprint,), number, False, now
            )
            guard._observations.record_lost_parts(traits, number, now, False)
            guard.on_crash()
            await asyncio.sleep(0.01)
    finally:
        MemoryDatagrams.send = send
    # A tenth of the 30 Mbit/s between regions, for 44 of 88 instances there.
    assert sent_bytes / len(group.instances) / 3.0 < 375_000 / 44


async def test_engine_that_says_it_is_leaving_gets_no_orders(group):
    """Models were placed on an engine that answered that it is leaving."""
    await group.wait_for_holder()
    (number,) = group.holders()
    coordinator = group.instances[number]._coordinator
    await asyncio.sleep(1.0)
    assert "e1" in coordinator._records
    coordinator._record_leaving("e1")
    await asyncio.sleep(1.0)
    assert "e1" not in coordinator._records
    assert group.handlers[number].registry.get("e1").leaving


async def test_new_instance_learns_of_observed_crashes(group):
    """An instance that started anew sent what the others refused."""
    traits = record_crashes(group, (7, 8), 0, 1)
    await asyncio.sleep(30.0)
    forget_crashes(group.handlers[2])
    assert not all(refusals(group, traits))
    await asyncio.sleep(4.0)  # contactMs of the smallest deployments
    assert all(refusals(group, traits))


def record_losses(group, *numbers):
    """Lets instances lose one request without a head, 0.2 s apart.

    Each loses it with a target of its own, and 80 other requests with it.

    Returns:
      The traits of the request.
    """
    now = asyncio.get_running_loop().time()
    for order, number in enumerate(numbers):
        guard = group.handlers[number].crash_guard
        at = now - 0.2 * (len(numbers) - 1 - order)
        for fingerprint in (*range(100 * order, 100 * order + 80), 9999):
            guard._observations.record_crash(
                (fingerprint,), 5000 + order, False, at
            )
        guard._apply_changes()
    return crashes.Traits(fingerprint=9999)


async def test_lost_request_is_refused_by_all(group):
    """Reports listed four of the requests that were lost with a target."""
    traits = record_losses(group, 0, 1, 2)
    await asyncio.sleep(1.2)
    assert all(refusals(group, traits))
    sound = crashes.Traits(fingerprint=1)
    assert not any(refusals(group, sound))


async def test_lost_requests_survive_the_coordinator(group):
    """Losses were reported to a coordinator that had just been killed."""
    (first,) = group.holders()
    group.kill(first)
    others = [n for n in range(len(group.handlers)) if n != first]
    traits = record_losses(group, *others[:2], others[0])
    await asyncio.sleep(4.0)  # contactMs of the smallest deployments
    assert all(refusals(group, traits))


async def test_new_instance_learns_of_lost_requests(group):
    """An instance that started anew sent what the others refused."""
    traits = record_losses(group, 0, 1, 2)
    await asyncio.sleep(30.0)
    forget_crashes(group.handlers[2])
    assert not all(refusals(group, traits))
    await asyncio.sleep(4.0)  # contactMs of the smallest deployments
    assert all(refusals(group, traits))


async def test_answer_anywhere_clears_a_lost_request(group):
    """A sound request was refused, which another instance saw answered."""
    traits = record_losses(group, 0, 1)
    await asyncio.sleep(1.2)
    now = asyncio.get_running_loop().time()
    guards = [handler.crash_guard for handler in group.handlers]
    assert all(g._observations.is_suspect(9999) for g in guards)
    assert guards[2]._observations.record_answer(traits, now)
    await asyncio.sleep(1.2)
    assert not any(g._observations.is_suspect(9999) for g in guards)


@pytest.mark.parametrize("answered_before", [True, False])
async def test_answers_at_other_instances_are_known(group, answered_before):
    """A sound request with a rare part was given up after a crash.

    Other instances had answers to requests with that part.
    """
    traits = crashes.Traits((7, 8))
    guards = [handler.crash_guard for handler in group.handlers]
    other = guards[1]._observations
    now = asyncio.get_running_loop().time()
    if answered_before:
        other.record_answer(crashes.Traits((7,)), now)
    record_crashes(group, traits.parts, 0)
    await asyncio.sleep(0.1)
    if not answered_before:
        other.record_answer(crashes.Traits((7,)), now + 0.1)
        await asyncio.sleep(1.2)
    assert [g._observations.unanswered_parts(traits) for g in guards] == [
        {8}
    ] * len(guards)


@pytest.mark.parametrize("instances", [88, 195, 330])
async def test_load_of_others_is_known_all_the_time_in_a_large_fleet(
    group, instances
):
    """Loads are sent every 15 ms per instance, and are valid for 2 s."""
    (first,) = group.holders()
    group.instances[first]._fast_link = False
    others = range(10, 6 + instances)
    group.dead.update(others)
    sender, receiver, _ = (n for n in range(4) if n != first)
    target = group.handlers[sender].registry.get("e1")
    target.in_flight, target.prompt_tokens = 5, 1000.0
    seen = group.handlers[receiver].registry.get("e1")
    loop = asyncio.get_running_loop()
    unknown = 0
    for step in range(300):
        for number in others:
            group.instances[first]._known_peers.summary_received(
                f"x{number}", f"10.0.0.{number}", "dc-b", loop.time()
            )
        await asyncio.sleep(0.1)
        unknown += step >= 100 and not seen.others_in_flight
    assert not unknown


async def test_load_of_others_expires(group):
    """Load reported by a holder that was lost must expire."""
    (first,) = group.holders()
    other = (first + 1) % 4
    target = group.handlers[first].registry.get("e1")
    target.in_flight = 5
    await asyncio.sleep(1.5)
    assert group.handlers[other].registry.get("e1").others_in_flight == 5
    group.kill(first)
    await asyncio.sleep(4.0)
    assert group.handlers[other].registry.get("e1").others_in_flight == 0


async def test_update_of_an_earlier_holder_is_ignored(group):
    """A delayed datagram of a former holder carries outdated state."""
    instance = group.instances[0]
    old = summaries.FleetUpdate(
        fence=1,
        number=10_000,
        holdings=[summaries.Holding("e1", {})],
        loads=[],
        incoming_models=[],
        members=1,
    )
    await asyncio.sleep(1.0)
    instance._handle_datagram(summaries.encode(old), ("10.0.0.3", 7000))
    assert group.handlers[0].registry.get("e1").held == {"m1": frozenset()}


async def test_malformed_datagram_is_ignored(group):
    """Malformed datagrams must not end the background tasks."""
    group.instances[0]._handle_datagram(b"\xc1", ("10.9.9.9", 1))
    group.instances[0]._handle_datagram(
        msgspec.msgpack.encode(["x"]), ("10.9.9.9", 1)
    )
    assert len(group.holders()) == 1


async def test_hand_over_frees_the_key(group):
    """After a planned stop, a successor need not wait for lease expiry."""
    (first,) = group.holders()
    stopped_at = asyncio.get_running_loop().time()
    await group.instances[first].release_lease()
    await group.wait_for_holder()
    assert (
        asyncio.get_running_loop().time() - stopped_at < HANDOVER_DELAY_S + 2.0
    )
    assert first not in group.holders()


async def test_stopping_holder_gives_orders_until_it_ends(group):
    """A rolling restart left engines without orders for 9 s."""
    (first,) = group.holders()
    for number in range(4):
        if number != (first + 1) % 4:
            group.instances[number].stop_acquiring_lease()
    await asyncio.sleep(8.0)
    assert group.holders() == [first]
    group.handlers[0].model_demand.waiting_counts["llm", "m1", "a2"] = 1
    group.handlers[0].model_demand.on_waiting("llm", "m1", "a2")
    await asyncio.sleep(1.0)
    assert group.engines.given[-1][1] == f"i{first}"
    assert not any(p._has_gap for p in group.mirrors)
    await group.instances[first].release_lease()
    await group.wait_for_holder()
    assert group.holders() == [(first + 1) % 4]


async def test_followers_hear_changes_without_asking_the_store(group):
    """Calls to the store, which are billed, grew with instances x changes."""
    (first,) = group.holders()
    followers = [n for n in range(4) if n != first]
    asked = [group.stores[n].asked for n in followers]
    for number in range(20):
        await group.shared.transact([], [keyvalue.Put(f"k{number}", b"v")])
        await asyncio.sleep(0.25)
    for n, before in zip(followers, asked, strict=True):
        assert group.stores[n].asked - before <= 2
        assert (f"k{19}", b"v") in group.seen[n]


async def test_followers_advance_over_irrelevant_revisions(group):
    """Each of 20 entries/s of 600 bytes was sent to all 88 instances."""
    (first,) = group.holders()
    sent = []
    endpoint = group.instances[first]._known_peers.datagrams
    endpoint.send = lambda data, address: (
        sent.append(data),
        MemoryDatagrams.send(endpoint, data, address),
    )
    asked = [store.asked for store in group.stores]
    for _ in range(5):
        mirror = group.mirrors[first]
        before = mirror.revision
        mirror.copy.revision += 20
        group.instances[first].relay([], before, mirror.revision)
        await asyncio.sleep(0.25)
    messages = [summaries.decode(data) for data in sent]
    changes = [m for m in messages if isinstance(m, summaries.StoreChanges)]
    assert len(changes) == 15 and not any(c.changes for c in changes)
    assert max(len(summaries.encode(c)) for c in changes) < 60
    assert {m.revision for m in group.mirrors} == {mirror.revision}
    others = [n for n in range(4) if n != first]
    assert all(group.stores[n].asked == asked[n] for n in others)


async def test_holdings_are_sent_together_and_once(group):
    """Each order was sent to all instances twice, in a separate message."""
    (first,) = group.holders()
    instance = group.instances[first]
    await asyncio.sleep(0.1)
    sent = []
    instance._broadcast_update = (
        lambda holdings, loads, numbered, incoming_models: sent.append(holdings)
    )
    rows = [summaries.Holding(f"e{n}", {"m1": ["a1"]}) for n in range(3)]
    for row in rows:
        instance._holdings_changed([row])
        instance._holdings_changed([row])
    await asyncio.sleep(2 * coordination.BROADCAST_DELAY_S)
    instance._holdings_changed(rows)
    await asyncio.sleep(2 * coordination.BROADCAST_DELAY_S)
    assert sent == [rows]


async def test_planned_load_is_announced_at_once(group):
    """Callers waited up to 1 s to learn of a load that had started."""
    (first,) = group.holders()
    coordinator = group.instances[first]._coordinator
    coordinator.incoming_models = lambda now: [
        summaries.IncomingModel("llm", "m2", 5.0)
    ]
    now = asyncio.get_running_loop().time()
    group.instances[first]._plan_changed()
    await asyncio.sleep(0.05)
    for path in group.handlers:
        usable_at = path.model_demand.ready_at["llm", "m2"]
        assert usable_at == pytest.approx(now + 5.0, abs=0.1)


async def test_urgent_summary_keeps_the_load(group):
    """Waiting requests are sent at once; the load sent before stays valid."""
    target = group.handlers[0].registry.get("e1")
    target.in_flight = 5
    await asyncio.sleep(2.0)
    group.instances[0]._send_summary(urgent=True)
    await asyncio.sleep(0.01)
    (first,) = group.holders()
    loads = group.instances[first]._coordinator.demand.load_by_target(
        asyncio.get_running_loop().time()
    )
    assert loads["e1"].in_flight == 5


async def test_large_fleet_gets_loads_of_its_own_region_only(group):
    """Updates for 12,000 engines would saturate the coordinator's link."""
    (first,) = group.holders()
    instance = group.instances[first]
    rows = [summaries.TargetUsage(f"e{n}", 1, 0, 0) for n in range(300)]
    for row in rows:
        place = "dc-a" if int(row.target[1:]) % 2 else "dc-c"
        instance._registry.put(engine_entry(row.target, data_centre=place), 0.0)
    instance._changed_loads = lambda now: rows
    instance._loads_sent_at = float("-inf")
    now = asyncio.get_running_loop().time()
    instance._known_peers.summary_received("far", "10.0.0.9", "dc-c", now)
    heard = {}
    instance._known_peers.datagrams.send = lambda data, address: (
        heard.setdefault(address[0], []).append(summaries.decode(data))
    )
    instance._send_update()
    sent = {
        address: {load.target for update in updates for load in update.loads}
        for address, updates in heard.items()
    }
    shared = {row.target for row in rows[: coordination.MAX_ROWS_PER_DATAGRAM]}
    north = {r.target for r in rows if int(r.target[1:]) % 2}
    south = {r.target for r in rows} - north
    assert sent.pop("10.0.0.9") - shared == south - shared
    assert all(t - shared == north - shared for t in sent.values())


async def test_long_value_crosses_to_each_data_centre_once(group):
    """All instances read a configuration at once and filled the link."""
    before = sum(store.ranges for store in group.stores)
    await group.shared.transact([], [keyvalue.Put("big", b"x" * 50_000)])
    await asyncio.sleep(0.5)
    for seen in group.seen:
        assert ("big", b"x" * 50_000) in seen
    assert sum(store.ranges for store in group.stores) - before == 1
    assert group.peer_reads >= 2


async def test_follower_asks_the_store_when_the_relay_is_cut_off(group):
    """A relay without the store must not hide changes from the others."""
    (first,) = group.holders()
    group.stores[first].unreachable = True
    # The call in flight is still answered; the time bound starts after that.
    await asyncio.sleep(storemirror.RELAY_WATCH_WAIT_S)
    await asyncio.sleep(storemirror.RELAY_VALID_S)
    await group.shared.transact([], [keyvalue.Put("k", b"v")])
    await asyncio.sleep(0.2)
    for number, seen in enumerate(group.seen):
        assert number == first or ("k", b"v") in seen


async def test_follower_that_missed_a_message_asks_the_store(group):
    """A lost datagram hid the removal of a target."""
    (first,) = group.holders()
    lost = (first + 1) % 4
    group.dead.add(lost)
    await group.shared.transact([], [keyvalue.Put("k", b"v")])
    await asyncio.sleep(0.1)
    group.dead.discard(lost)
    assert ("k", b"v") not in group.seen[lost]
    await asyncio.sleep(1.0)
    assert ("k", b"v") in group.seen[lost]


async def test_compaction_at_the_relay_causes_no_read_by_all(group):
    """After a compaction, all instances read the whole store at once."""
    (first,) = group.holders()
    asked = [store.ranges for store in group.stores]
    group.stores[first].compact = True
    await group.shared.transact([], [keyvalue.Put("k", b"v")])
    await asyncio.sleep(2.0)
    for number, seen in enumerate(group.seen):
        assert ("k", b"v") in seen
        read = group.stores[number].ranges - asked[number]
        assert read == (1 if number == first else 0)


async def test_holder_without_the_store_follows_the_others(group):
    """A holder cut off from the store gave orders to removed engines."""
    (first,) = group.holders()
    group.stores[first].unreachable = True
    await asyncio.sleep(2.0)
    await group.shared.transact([], [keyvalue.Put("k", b"v")])
    await asyncio.sleep(3.0)
    assert group.holders() == [first]
    assert ("k", b"v") in group.seen[first]


async def test_followers_learn_of_a_new_era_without_its_values(group):
    """Every key of the store was sent to each instance as a datagram."""
    (first,) = group.holders()
    others = [n for n in range(4) if n != first]
    mirror = group.mirrors[first]
    before, after = mirror.revision, storeera.combine(1, 5)
    changes = [keyvalue.WatchEvent(f"k{n}", b"v" * 900, after) for n in "abc"]
    mirror.copy.apply(changes, after)
    sent = []
    endpoint = group.instances[first]._known_peers.datagrams
    endpoint.send = lambda data, address: (
        sent.append(wirerevisions.decode(data, 0)),
        MemoryDatagrams.send(endpoint, data, address),
    )
    group.instances[first].relay(changes, before, after)
    assert [m.store_revision for m in sent] == [after] * 3
    await asyncio.sleep(0)
    assert all(group.mirrors[n]._has_gap for n in others)
    numbers = [group.instances[n]._update_number for n in others]
    await asyncio.sleep(coordination.SUMMARY_INTERVAL_S * 1.2)
    for n, number in zip(others, numbers, strict=True):
        assert group.instances[n]._update_number > number


async def test_messages_of_an_earlier_era_show_no_gap(group, caplog):
    """A late message made an instance read copies of other instances."""
    (first,) = group.holders()
    other = (first + 1) % 4
    instance, mirror = group.instances[other], group.mirrors[other]
    mirror.copy.revision = storeera.combine(1, 50)
    status = msgspec.structs.replace(
        group.instances[first]._make_update([], [], True, []),
        store_revision=1000,
    )
    answer = summaries.RenewalAnswer(number=-1, ttl_s=1.0, store_revision=1000)
    for encode, is_gap in (
        (wirerevisions.encode, False),  # States the era 0.
        (summaries.encode, True),  # Like the version before.
    ):
        reads = group.peer_reads
        status = msgspec.structs.replace(status, number=status.number + 1)
        for message in (status, answer):
            instance._handle_datagram(encode(message), ("10.0.0.1", 7000))
        await asyncio.sleep(0)
        assert mirror._has_gap == is_gap
        assert (group.peer_reads > reads) == is_gap
    malformed = msgspec.structs.replace(status, era=2**13)
    caplog.clear()
    instance._handle_datagram(summaries.encode(malformed), ("10.0.0.1", 7000))
    assert [r.msg["event"] for r in caplog.records] == ["datagram_malformed"]


async def test_lease_that_is_claimed_again_goes_on_with_the_same_plans():
    """A new fencing number alone made the coordinator forget all engines.

    Orders under way would then be followed by others to the same engine.
    """
    group = Group(1)
    await group.wait_for_holder()
    instance = group.instances[0]
    await asyncio.sleep(1.0)
    record = instance._coordinator._records["e1"]
    planned = engineorders.Order(engineorders.Verb.LOAD, "m2")
    record.pending = [planned]
    record.next_order_at = asyncio.get_running_loop().time() + 60.0
    lease = instance.lease
    now = asyncio.get_running_loop().time()
    lease.reclaimed(lease.lease_id, lease.fence + 1, now, acting=True)
    await asyncio.sleep(0.5)
    assert instance._coordinator._records["e1"] is record
    assert record.pending == [planned]
    # Taking it again after it was lost is another term.
    lease.lose()
    lease.acquired(10, lease.key_revision + 1, now)
    await asyncio.sleep(0.5)
    assert instance._coordinator._records.get("e1") is not record
    group.stop()
