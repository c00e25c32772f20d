"""Steps of the coordination scenarios, on virtual time (R1, R6, R8, R13)."""

import asyncio

import builders_coordination as build
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

scenarios("coordination.feature")


class World:
    """An event loop and a data centre that are kept between steps."""

    def __init__(self):
        self.runner = asyncio.Runner(loop_factory=build.new_loop)
        self.centre = None
        self.chosen = None
        self.calls_at = (0.0, 0)
        self.revision = 0

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def now(self):
        return self.runner.get_loop().time()

    def calls(self):
        return sum(self.centre.service.calls.values())

    def an_entry(self):
        """Returns an owner whose control process does not lead."""
        owners = {
            names[0]
            for names in self.centre.instances_that_may_order().values()
        }
        leader = self.centre.leader()
        owners = owners or set(self.centre.entries)
        return sorted(owners - {leader})[0]


@pytest.fixture
def world():
    world = World()
    yield world
    world.run(world.centre.close())
    world.runner.close()


@given(parsers.parse("a data centre with {count:d} instances"))
def start(world, count):
    world.centre = world.run(build.start_centre(count))
    assert set(world.run(_owned(world))) == set(world.centre.targets)


async def _owned(world):
    return world.centre.instances_that_may_order()


@when(parsers.parse("{duration:d} s pass"))
def wait(world, duration):
    world.run(world.centre.run_for(duration))


async def _leader(world):
    return world.centre.leader()


@when(parsers.parse("the leader is paused for {duration:d} s"))
def pause_leader(world, duration):
    world.chosen = world.run(_leader(world))
    world.centre.pausable_processes[world.chosen].pause()
    wait(world, duration)


@when(parsers.parse("an entry instance is paused for {duration:d} s"))
def pause_entry(world, duration):
    async def choose():
        return world.an_entry()

    world.chosen = world.run(choose())
    world.centre.pausable_processes[world.chosen].pause()
    wait(world, duration)


@when("the paused instance resumes")
def resume(world):
    async def resume_now():
        world.centre.pausable_processes[world.chosen].resume()

    world.run(resume_now())


@then("the resumed instance may not send orders")
def resumed_may_not_order(world):
    now = world.now()
    control = world.centre.controls[world.chosen]
    entry = world.centre.entries[world.chosen]
    assert not control.leadership.may_send_orders(now)
    assert not entry.holder.may_send_orders(now)


@then("another process is the leader")
def another_leader(world):
    assert world.run(_leader(world)) not in (None, world.chosen)


@when("the leader is cut off from its peers and the key-value service")
def isolate_leader(world):
    world.chosen = world.run(_leader(world))
    world.centre.network.isolate(world.chosen)
    world.centre.key_value_clients[world.chosen].cut = True


@when("the data centre is cut off from the key-value service")
def cut_key_value_connections(world):
    for client in world.centre.key_value_clients.values():
        client.cut = True


@when("the connections are restored")
def restore_connections(world):
    if world.chosen:
        world.centre.network.heal(world.chosen)
    for client in world.centre.key_value_clients.values():
        client.cut = False


@then("at most one process may send orders")
def one_orders(world):
    world.run(_leader(world))  # Fails when there are two.


@then("no process may send orders")
def nobody_orders(world):
    async def check():
        assert world.centre.leader() is None
        assert not world.centre.instances_that_may_order()

    world.run(check())


@when("the key-value service goes down")
def service_down(world):
    world.centre.service.available = False
    world.calls_at = (world.now(), world.calls())


@when("the key-value service returns")
def service_back(world):
    world.centre.service.available = True


@when("the key-value service returns for 1 s and goes down")
def service_returns_briefly(world):
    service_back(world)
    wait(world, 1)
    service_down(world)


@then(
    parsers.parse(
        "the key-value service got fewer than {rate:d} calls a second"
    )
)
def few_calls(world, rate):
    since, calls = world.calls_at
    assert (world.calls() - calls) / (world.now() - since) < rate


@then("all targets are served")
def served(world):
    async def check():
        assert world.centre.served() == set(world.centre.targets)

    world.run(check())


@then(
    parsers.parse(
        "after {duration:d} s all targets have an owner that may send orders"
    )
)
def all_owned(world, duration):
    wait(world, duration)
    assert set(world.run(_owned(world))) == set(world.centre.targets)


@when("an entry process dies")
def entry_dies(world):
    async def kill():
        name = world.an_entry()
        now = world.now()
        world.lost = {
            t
            for t in world.centre.targets
            if world.centre.entries[name].holder.owns(t, now)
        }
        await world.centre.kill_entry(name)

    world.run(kill())
    assert world.lost


@then(parsers.parse("its targets have no owner for {duration:d} s"))
def no_owner(world, duration):
    for _ in range(duration * 5):
        world.run(world.centre.run_for(0.2))
        assert not world.lost & set(world.run(_owned(world)))


@when("an entry process leaves")
def entry_leaves(world):
    async def leave():
        world.centre.entries[world.an_entry()].leave()

    world.run(leave())


@when("an entry process restarts")
def entry_restarts(world):
    async def restart():
        name = world.an_entry()
        await world.centre.kill_entry(name)
        world.centre.pausable_processes[name].run(
            world.centre._start_entry, name
        )

    world.run(restart())


@when("the leader dies")
def leader_dies(world):
    async def kill():
        await world.centre.kill_control(world.centre.leader())

    world.run(kill())


@when(parsers.parse("the next {count:d} transaction responses are lost"))
def lose_responses(world, count):
    world.centre.service.lose_answers = count


@when(parsers.parse("{count:d} changes are written to the key-value service"))
@when(parsers.parse("{count:d} changes are made within a second"))
def change(world, count):
    for control in world.centre.controls.values():
        world.before = control.state.revision

    async def write():
        for n in range(count):
            world.revision = await world.centre.change(n)
            await asyncio.sleep(1 / count)

    async def counted():
        sent = {x: x.sent_messages for x in world.centre.network.links}
        await write()
        await world.centre.run_for(2)
        links = world.centre.network.links
        world.sent = max(
            x.sent_messages - sent.get(x, 0)
            for x in links
            if x.peer.role == "entry"
        )

    world.run(counted() if count > 100 else write())


@then(
    parsers.parse("each process got at most {count:d} configuration messages")
)
def few_messages(world, count):
    # In 3 s, the links also carry heartbeats (2/s) and grants (1/s).
    assert world.sent <= count + 10


@then(parsers.parse("the last change is in force within {limit:d} s"))
def in_force(world, limit):
    revision = world.revision
    world.run(
        world.centre.run_until(lambda: world.centre.in_force(revision), limit)
    )


@then(parsers.parse("a change is in force within {limit:d} s"))
def change_in_force(world, limit):
    async def write():
        world.revision = await world.centre.change(7)

    world.run(write())
    in_force(world, limit)


@then("the applied revision is older than the last change")
def applied_is_older(world):
    stored = world.run(world.centre.stored("applied"))
    assert stored[0]["revision"] < world.revision


@when("all control processes are replaced")
def replace_controls(world):
    async def replace():
        names = list(world.centre.controls)
        for name in names:
            await world.centre.kill_control(name)
        for name in names:
            world.centre.pausable_processes[name].run(
                world.centre._start_control, name
            )

    world.run(replace())


@when("all instances are replaced")
def replace_all(world):
    async def replace():
        names = list(world.centre.controls)
        for name in names:
            await world.centre.kill(name)
            world.centre.unlist(name)
        for name in names:
            world.centre.add(f"new-{name}")

    world.run(replace())
