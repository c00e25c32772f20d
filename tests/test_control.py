"""Tests of the controller in a simulated data centre."""

from builders_coordination import FakePlanner, run_virtual, start_centre
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import inventory, keyvalue, messages, residency


def test_ready_after_start():
    """Entry processes must get configuration and targets (R2, R8)."""

    async def scenario():
        centre = await start_centre()
        assert centre.leader()
        assert set(centre.instances_that_may_order()) == set(centre.targets)
        assert all(e.state.confirmed for e in centre.entries.values())
        assert all(c.ready for c in centre.controls.values())
        await centre.close()

    run_virtual(scenario())


def test_change_is_applied_and_recorded():
    """A change counts as applied once all processes have it (R8).

    That must take at most 9 s; a listed process that is silent prevents it.
    """

    async def scenario():
        centre = await start_centre()
        revision = await centre.change(1)
        await centre.run_for(3)
        assert centre.in_force(revision)
        assert await centre.stored("applied") == [{"revision": revision}]
        centre.states["silent"] = inventory.State.LIVE
        centre.version += 1
        await centre.run_for(2)
        await centre.change(2)
        await centre.run_for(5)
        assert await centre.stored("applied") == [{"revision": revision}]
        await centre.close()

    run_virtual(scenario())


def test_plans_reach_owners_only():
    """A plan sent to an instance other than the owner would repeat orders."""
    planner = FakePlanner(
        lambda planning_input: [
            messages.TargetPlan(t.name, ["m"], "any")
            for t in planning_input.platform_inventory.targets
        ]
    )

    async def scenario():
        centre = await start_centre(planner=planner)
        for name, entry in centre.entries.items():
            plans = [m for m in entry.received if isinstance(m, messages.Plan)]
            planned = {t.target for t in plans[-1].targets}
            owned = {
                t
                for t, n in centre.instances_that_may_order().items()
                if n == [name]
            }
            assert planned == owned
            assert plans[-1].epoch == entry.holder.epoch
            assert len(plans) <= 3
        await centre.close()

    run_virtual(scenario())


def test_planner_exception_does_not_end_leadership():
    """An exception in the planner must not affect grants (R13)."""

    def fail(planning_input):
        raise ValueError("fault")

    planner = FakePlanner(fail)

    async def scenario():
        centre = await start_centre(planner=planner)
        assert set(centre.instances_that_may_order()) == set(centre.targets)
        await centre.close()

    run_virtual(scenario())


def test_residency_is_written_and_relayed():
    """Spillover to other data centres needs their resident models (R2)."""

    async def scenario():
        centre = await start_centre()
        entry = centre.entries["i0"]
        progress = messages.Progress(
            entry.holder.epoch,
            [messages.TargetProgress(t, ["m"], []) for t in centre.targets[:2]],
        )
        for link in entry.links:
            link.try_send(progress)
        key = residency.residency_key("other")
        put = keyvalue.Put(key, b'{"n":3}')
        await centre.service.transact([], [put])
        await centre.run_for(4)
        assert await centre.stored("residency") == [{"m": 2}]
        assert messages.Residency("other", {"n": 3}) in entry.received
        await centre.close()

    run_virtual(scenario())


def test_frozen_leader_behind_its_members_catches_up():
    """A frozen leader must not send an old revision to a new process (R8)."""

    async def scenario():
        centre = await start_centre(count=4)
        old = centre.leader()
        centre.network.isolate(old)
        centre.key_value_clients[old].cut = True
        await centre.run_for(15)
        new = centre.leader()
        others = [n for n in centre.entries if n != old]
        revision = await centre.change(1)
        await centre.run_for(2)
        assert centre.entries[others[0]].state.revision == revision
        assert centre.controls[old].state.revision < revision
        centre.service.available = False
        for name in list(centre.controls):
            if name != old:
                await centre.kill_control(name)
        assert new not in centre.controls
        centre.network.heal(old)
        await centre.kill_entry(others[0])
        centre.pausable_processes[others[0]].run(centre._start_entry, others[0])
        await centre.run_for(10)
        assert centre.in_force(revision)
        await centre.close()

    run_virtual(scenario())


def test_second_link_of_a_process_may_close():
    """A process with one open link left must get configuration (R8)."""

    async def scenario():
        centre = await start_centre(count=2)
        leader, other = centre.leader(), centre.followers()[0]
        connect = centre.network.connector(centre.controls[other].hello)
        second = await connect(f"{leader}:2")
        await centre.run_for(1)
        second.cut()
        await centre.run_for(1)
        revision = await centre.change(1)
        await centre.run_for(2)
        assert centre.in_force(revision)
        await centre.close()

    run_virtual(scenario())


async def apply_fault(centre, fault, number):
    """Applies one fault to the instance with this number."""
    name = f"i{number}"
    if fault == "kill control":
        if name in centre.controls:
            await centre.kill_control(name)
    elif fault == "restart entry":
        if name in centre.entries:
            await centre.kill_entry(name)
        centre.pausable_processes[name].run(centre._start_entry, name)
    elif fault == "leave":
        centre.entries[name].leave()
    elif fault == "isolate":
        centre.network.isolate(name)
    elif fault == "cut wire":
        centre.key_value_clients[name].cut = True
    elif fault == "service down":
        centre.service.available = False
    elif fault == "lose answers":
        centre.service.lose_answers = number
    elif fault == "heal":
        heal(centre)


def heal(centre):
    centre.service.available, centre.service.lose_answers = True, 0
    for name in centre.states:
        centre.network.heal(name)
        centre.key_value_clients[name].cut = False


FAULTS = (
    "kill control",
    "restart entry",
    "leave",
    "isolate",
    "cut wire",
    "service down",
    "lose answers",
    "heal",
)
STEPS = st.tuples(
    st.sampled_from(FAULTS),
    st.integers(1, 3),
    st.sampled_from([0.3, 1.0, 3.0, 7.0]),
)


@settings(derandomize=True, max_examples=12, deadline=None)
@given(st.lists(STEPS, min_size=2, max_size=5))
def test_faults_in_any_order_keep_the_invariants(steps):
    """Invariants must hold when faults are combined or repeated (R13).

    No two instances may order at the same engine.
    """

    async def scenario():
        centre = await start_centre(count=4, targets=8, settle_s=8.0)
        for fault, number, wait_s in steps:
            await apply_fault(centre, fault, number)
            await centre.run_for(wait_s)
        heal(centre)
        await centre.run_for(20)
        assert centre.leader()
        assert set(centre.instances_that_may_order()) == set(centre.targets)
        revision = await centre.change(1)
        await centre.run_for(3)
        assert centre.in_force(revision)
        await centre.close()

    run_virtual(scenario())


def test_stop_hands_over():
    """Another process must lead soon after a planned stop (R7)."""

    async def scenario():
        centre = await start_centre()
        old = centre.leader()
        control = centre.controls.pop(old)
        centre.network.stop(f"{old}:2")
        await control.stop()
        elapsed = await centre.run_until(centre.leader, 3.0)
        assert elapsed < 2.0
        await centre.run_for(2)
        assert set(centre.instances_that_may_order()) == set(centre.targets)
        await centre.close()

    run_virtual(scenario())
