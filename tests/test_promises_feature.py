"""Steps of the promises that must hold under failure (R1 to R8)."""

import itertools
import json

import cluster
import cluster_targets
import pytest
from cluster_world import World
from pytest_bdd import given, parsers, scenarios, then, when

from carobsail import httpserver, inventory

scenarios("promises.feature")


@pytest.fixture
def world():
    world = World()
    yield world
    world.run(world.cluster.close)
    world.runner.close()


@given(parsers.parse("a cluster with seed {seed:d}"))
def start(world, seed):
    world.cluster = cluster.Cluster(seed)
    world.run(world.cluster.start)
    world.copies = len(world.cluster.holders("m1"))


@given(parsers.parse("{dc} has no {kind}s"))
def unlist(world, dc, kind):
    for fake in world.cluster.targets.values():
        if (fake.target.data_centre, fake.target.kind) == (dc, kind):
            fake.listed = False
            world.cluster.engines.remove(fake)
    world.run(world.cluster.publish)
    wait(world, 30)


@given(
    parsers.parse("a cluster with {n:d} copies of each model, seed {seed:d}")
)
def start_with_copies(world, n, seed):
    world.cluster = cluster.Cluster(seed, policy="static")
    world.run(world.cluster.start, n, 60)
    for model in cluster_targets.MODELS:
        assert len(world.cluster.holders(model)) == n, model


@given("links that repeat messages")
def doubling(world):
    world.cluster.doubling = True


@given(parsers.parse("every engine cuts its next {n:d} answers after 2 events"))
def cuts(world, n):
    for fake in world.cluster.engines:
        fake.cuts = [2] * n


@given("orders are lost, late, doubled and unanswered")
def fates(world):
    kinds = ["lost", "late", "doubled", "unanswered"]
    for fake in world.cluster.engines:
        fake.fates = [(world.cluster.rng.choice(kinds), 7.0) for _ in range(4)]


@when(parsers.parse("{duration:g} s pass"))
def wait(world, duration):
    world.run(world.cluster.run, duration)


@when(
    parsers.parse('a stream "{name}" of another model is asked at {instance}')
)
def ask_other(world, name, instance):
    held = {m for f in world.cluster.engines if f.alive for m in f.models}
    world.model_call(name, min(held), instance, True)


@when(parsers.parse('a stream "{name}" of {model:w} is asked at {instance}'))
def ask_stream(world, name, model, instance):
    world.model_call(name, model, pick(world, instance), True)


@when(parsers.parse('an answer "{name}" of {model} is asked at {instance}'))
def ask_whole(world, name, model, instance):
    world.model_call(name, model, pick(world, instance), False)


def pick(world, instance):
    if instance in world.cluster.entries:
        return instance
    assert instance in ("a new instance", "a surviving instance"), instance
    return sorted(world.cluster.entries)[0]


@when(
    parsers.parse(
        'booking "{name}" is sent through {instance} with key "{key}"'
    )
)
def book(world, name, instance, key):
    key = world.keys.get(key, key)
    world.named[name] = world.run(
        world.cluster.call, pick(world, instance), {"booking": name}, key
    )


@when(parsers.parse("{n:d} streams of all models are asked at all instances"))
def ask_many(world, n):
    names = itertools.cycle(sorted(world.cluster.entries))
    for number in range(n):
        model = cluster_targets.MODELS[number % 4]
        world.model_call(f"s{number}", model, next(names), True)


@when(parsers.parse("{n:d} bookings are sent through all instances"))
def book_many(world, n):
    names = itertools.cycle(sorted(world.cluster.entries))
    for number in range(n):
        book(world, f"b{number}", next(names), f"k{number}")


@when(
    parsers.parse("requests for all models arrive at all instances for {t:d} s")
)
def arrive(world, t):
    names = itertools.cycle(sorted(world.cluster.entries))
    for number in range(4 * t):
        key = f"r{len(world.cluster.calls)}"
        world.model_call(
            key, cluster_targets.MODELS[number % 4], next(names), False
        )
        wait(world, 0.25)


@when(parsers.parse("m1 is asked for {rate:d} times a second for {t:d} s"))
def demand(world, rate, t):
    names = itertools.cycle(
        n for n in sorted(world.cluster.entries) if "a" in n
    )
    for _ in range(rate * t):
        key = f"d{len(world.cluster.calls)}"
        world.model_call(key, "m1", next(names), False)
        wait(world, 1 / rate)


@when(parsers.parse('the owner that runs "{name}" dies'))
def owner_dies(world, name):
    wait(world, 0.1)
    target = world.target_of(name).target.name
    owner = world.run(world.cluster.owner, target)
    assert owner != world.named[name].instance, "choose another seed"
    world.run(world.cluster.kill, owner)


@when(parsers.parse('the target that runs "{name}" dies for good'))
def target_dies(world, name):
    world.run(world.target_of(name).die)


@when(parsers.parse('the target that runs "{name}" freezes'))
def freezes(world, name):
    world.frozen = world.target_of(name)
    world.run(world.frozen.freeze)


@when("it wakes")
def wakes(world):
    world.run(world.frozen.thaw)


@when(parsers.parse('an idempotency key "{name}" is issued at {instance}'))
def issue(world, name, instance):
    async def ask():
        call = cluster_targets.Call(instance, b"", "")
        auth = [("authorization", "Bearer v-counter-1")]
        request = httpserver.Request(
            "POST", "/v1/idempotency-keys", "", auth, b"", "caller"
        )
        await world.cluster.entries[instance].gateway.handle(request, call)
        return json.loads(call.body_back)["idempotency_key"]

    world.keys[name] = world.run(ask)


@when(parsers.re("the key-value service (?P<change>goes down|returns)"))
def service(world, change):
    world.cluster.service.available = change == "returns"


@when(parsers.parse("each instance loses the answers of its next {n:d} claims"))
def lose(world, n):
    for wire in world.cluster.wires.values():
        wire.lose_claims = n


@when(parsers.parse("data centre {dc} is cut off"))
def cut_off(world, dc, from_service=True):
    world.run(world.cluster.cut_off, dc, from_service)


@when(parsers.parse("data centre {dc} is cut off from the other only"))
def cut_links(world, dc):
    cut_off(world, dc, False)


@when(parsers.parse("data centre {dc} is healed"))
def heal(world, dc):
    world.cluster.heal(dc)


@when(parsers.parse("a poisonous request is sent {n:d} times, {gap:g} s apart"))
def poison(world, n, gap):
    names = itertools.cycle(sorted(world.cluster.entries))
    for _ in range(n):
        body = {"id": "poison", "model": "m1"}
        world.run(world.cluster.call, next(names), body)
        wait(world, gap)


@when("a target that serves m1 leaves")
def target_leaves(world):
    served = [f for f in world.cluster.engines if f.received and f.models]
    fake = world.left = served[0]
    fake.target = cluster.msgspec.structs.replace(
        fake.target, state=inventory.State.LEAVING
    )
    world.run(world.cluster.publish)
    world.left_at = world.runner.get_loop().time() + world.cluster.lag_s


@when(parsers.re("(?P<name>[ab][0-9]) leaves"))
def instance_leaves(world, name):
    async def leave():
        left = cluster.asyncio.create_task(world.cluster.leave(name))
        await world.cluster.run(12)
        assert left.done()

    world.run(leave)


@when(parsers.re("(?P<name>[ab][0-9]) (?P<how>dies|restarts)"))
def dies(world, name, how):
    world.run(world.cluster.kill, name)
    if how == "restarts":
        wait(world, 1)
        world.run(world.cluster.add, name)


@when("every instance is replaced")
def replace_all(world):
    def replace():
        for name in list(world.cluster.entries):
            world.cluster.kill(name)
            del world.cluster.states[name]
            world.cluster.states[f"n{name}"] = inventory.State.LIVE
        world.cluster.publish()
        for name in world.cluster.states:
            world.cluster.add(name)

    world.run(replace)


@when(parsers.parse("the operator sets due_ms to {value:d}"))
def change(world, value):
    world.due_ms = value
    result = world.run(world.cluster.configure, due_ms=value)
    assert result.status == 0, result
    world.revision = result.revision


@when(parsers.parse("two operators set due_ms to {one:d} and {two:d} at once"))
def race(world, one, two):
    async def both():
        configure = world.cluster.configure
        return await cluster.asyncio.gather(
            configure(due_ms=one), configure(due_ms=two)
        )

    world.results = dict(zip((one, two), world.run(both), strict=True))


@then("one of them has won and its change is in force at every process")
def one_won(world):
    won = [v for v, result in world.results.items() if result.status == 0]
    assert len(won) == 1, world.results
    world.due_ms = won[0]
    world.revision = world.results[won[0]].revision
    everywhere(world)


@then("the change is in force at every process")
def everywhere(world):
    for name, entry in world.cluster.entries.items():
        assert not entry.gateway.ready or world.in_force(name), name
    assert any(e.gateway.ready for e in world.cluster.entries.values())
    for process in world.cluster.controls.values():
        assert not process.ready or process.state.revision >= world.revision


@then("the change is in force in a only")
def in_a(world):
    for name in world.cluster.entries:
        assert world.in_force(name) == name.startswith("a")


@then("the change is not accepted")
def not_accepted(world):
    assert not world.accepted(0.0)


@then(parsers.parse("the change is accepted within {limit:d} s"))
def is_accepted(world, limit):
    assert world.accepted(limit)


@then(parsers.parse('"{name}" is answered'))
def answered(world, name):
    call = world.call(name)
    assert call.outcome == "answered", call.body_back[-300:]


@then("all requests are answered")
def all_answered(world):
    bad = [c for c in world.cluster.calls if c.outcome != "answered"]
    assert not bad, [(c.instance, c.body, c.body_back[-300:]) for c in bad]


@then(parsers.parse('"{name}" is refused as {outcome}'))
def refused(world, name, outcome):
    call = world.call(name)
    assert call.outcome == outcome, (call.outcome, call.body_back)


@then(parsers.parse('booking "{name}" {how}'))
def ran(world, name, how):
    counts = {"ran once": (1,), "did not run": (0,), "ran at most once": (0, 1)}
    assert world.runs(name) in counts[how]


@then("every booking ran once")
def all_ran_once(world):
    for call in world.cluster.calls:
        if call.key:
            assert world.cluster.executions[call.body] == 1, call.body


@then("no call was cut")
def none_cut(world):
    assert not [c.body for c in world.cluster.calls if c.cut]


@then("every target has an owner")
def all_owned(world):
    for target in world.cluster.targets:
        world.run(world.cluster.owner, target)


@then("b offers no model to a")
def none_offered(world):
    # Requests sent for a model of an engine that is gone would fail there.
    stored = world.run(world.cluster.service.range, "/carobsail/dc/b/residency")
    assert set(json.loads(stored.values[0].value)) == {"desk"}


@then("all models are resident")
def all_resident(world):
    for model in cluster_targets.MODELS:
        assert world.cluster.holders(model), model


@then("m1 has more copies than at the start")
def more_copies(world):
    assert len(world.cluster.holders("m1")) > world.copies


@then(parsers.parse("it took down at most {limit:d} engines"))
def took_down(world, limit):
    crashes = sum(len(fake.crashes) for fake in world.cluster.engines)
    assert 0 < crashes <= limit, crashes


@then(parsers.parse("it got no request later than {limit:d} s after it left"))
def no_new_work(world, limit):
    received = world.left.received
    assert [t for t in received if t < world.left_at]
    assert not [t for t in received if t > world.left_at + limit]


@then("all answers are right")
def right(world):
    world.cluster.check_answers()
