"""Steps of the scenarios on guarantees under failure (R1 to R8)."""

import itertools
import json

import cluster
import cluster_targets
import pytest
from cluster_world import World
from pytest_bdd import given, parsers, scenarios, then, when

from carobsail import inventory

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
    world.copies = len(world.cluster.engines_with("m1"))


@given(parsers.parse("{dc} has no {kind}s"))
def unlist_targets(world, dc, kind):
    for fake in world.cluster.targets.values():
        if (fake.target.data_centre, fake.target.kind) == (dc, kind):
            fake.listed = False
            world.cluster.engines.remove(fake)
    world.run(world.cluster.publish)
    wait(world, 30)


@given(parsers.parse("a cluster of small engines, seed {seed:d}"))
def start_small(world, seed):
    world.cluster = cluster.Cluster(seed, engine_mb=2400)
    world.run(world.cluster.start, settle_s=40)


@given(
    parsers.parse("a cluster with {n:d} copies of each model, seed {seed:d}")
)
def start_with_copies(world, n, seed):
    world.cluster = cluster.Cluster(seed, policy="static")
    world.run(world.cluster.start, n, 60)
    for model in cluster_targets.MODELS:
        assert len(world.cluster.engines_with(model)) == n, model


@given("links that duplicate messages")
def duplicate_messages(world):
    world.cluster.duplicating = True


@given(
    parsers.parse(
        "every engine breaks off its next {n:d} responses after 2 events"
    )
)
def break_off_responses(world, n):
    for fake in world.cluster.engines:
        fake.break_streams_after = [2] * n


@given("orders are lost, late, duplicated and unanswered")
def disturb_orders(world):
    kinds = ["lost", "late", "doubled", "unanswered"]
    for fake in world.cluster.engines:
        fake.order_faults = [
            (world.cluster.rng.choice(kinds), 7.0) for _ in range(4)
        ]


@when(parsers.parse("{duration:g} s pass"))
def wait(world, duration):
    world.run(world.cluster.run, duration)


@when(
    parsers.parse(
        'a streamed request "{name}" for another model is sent to {instance}'
    )
)
def send_request_for_other_model(world, name, instance):
    held = {m for f in world.cluster.engines if f.alive for m in f.models}
    world.model_call(name, min(held), instance, True)


@when(
    parsers.re(
        r'a (?P<kind>streamed request|request) "(?P<name>\w+)" for '
        r"(?P<model>m\d) is sent to (?P<instance>.+)"
    )
)
def send_request(world, kind, name, model, instance):
    world.model_call(
        name,
        model,
        choose_instance(world, instance),
        kind == "streamed request",
    )


def choose_instance(world, instance):
    if instance in world.cluster.entries:
        return instance
    assert instance in ("a new instance", "a surviving instance"), instance
    return sorted(world.cluster.entries)[0]


@when(
    parsers.parse(
        'booking "{name}" is sent through {instance} with key "{key}"'
    )
)
def send_booking(world, name, instance, key):
    key = world.keys.get(key, key)
    world.named[name] = world.run(
        world.cluster.call,
        choose_instance(world, instance),
        {"booking": name},
        key,
    )


@when(
    parsers.parse(
        "{n:d} streamed requests for all models are sent to all instances"
    )
)
def send_streamed_requests(world, n):
    names = itertools.cycle(sorted(world.cluster.entries))
    for number in range(n):
        model = cluster_targets.MODELS[number % 4]
        world.model_call(f"s{number}", model, next(names), True)


@when(parsers.parse("{n:d} bookings are sent through {where}"))
def send_bookings(world, n, where):
    everywhere = sorted(world.cluster.entries)
    names = everywhere if where == "all instances" else where.split(", ")
    for number in range(n):
        send_booking(
            world, f"b{number}", names[number % len(names)], f"k{number}"
        )


@when(
    parsers.parse("requests for all models arrive at all instances for {t:d} s")
)
def send_steady_requests(world, t):
    names = itertools.cycle(sorted(world.cluster.entries))
    for number in range(4 * t):
        key = f"r{len(world.cluster.calls)}"
        world.model_call(
            key, cluster_targets.MODELS[number % 4], next(names), False
        )
        wait(world, 0.25)


@when(parsers.parse("m1 gets {rate:d} requests/s for {t:d} s"))
def send_requests_for_m1(world, rate, t):
    names = itertools.cycle(["a0", "a1", "a2"])
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
def freeze_target(world, name):
    world.frozen = world.target_of(name)
    world.run(world.frozen.freeze)


@when("the frozen target resumes")
def resume_target(world):
    world.run(world.frozen.thaw)


@when(parsers.parse('an idempotency key "{name}" is issued at {instance}'))
def issue_key(world, name, instance):
    world.keys[name] = world.run(world.issue_key, instance)


@when(parsers.re("the key-value service (?P<change>goes down|recovers)"))
def change_key_value_state(world, change):
    world.cluster.service.available = change == "recovers"


@when(
    parsers.parse("each instance loses the responses to its next {n:d} claims")
)
def lose_claim_responses(world, n):
    for key_value_link in world.cluster.key_value_links.values():
        key_value_link.lose_claims = n


@when(parsers.parse("data centre {dc} is cut off"))
def cut_off(world, dc, from_service=True):
    world.run(world.cluster.cut_off, dc, from_service)


@when(parsers.parse("data centre {dc} is cut off from the other only"))
def cut_links(world, dc):
    cut_off(world, dc, False)


@when(parsers.parse("data centre {dc} is healed"))
def heal(world, dc):
    world.cluster.heal(dc)


@when(
    parsers.parse(
        "a request that crashes its target is sent {n:d} times, {gap:g} s apart"
    )
)
def send_crashing_requests(world, n, gap):
    names = itertools.cycle(sorted(world.cluster.entries))
    for _ in range(n):
        body = {"id": "poison", "model": "m1"}
        world.run(world.cluster.call, next(names), body)
        wait(world, gap)


@when("a target that serves m1 is listed as leaving")
def target_leaves(world):
    served = [f for f in world.cluster.engines if f.received and f.models]
    fake = world.left = served[0]
    fake.target = cluster.msgspec.structs.replace(
        fake.target, state=inventory.State.LEAVING
    )
    world.run(world.cluster.publish)
    world.left_at = (
        world.runner.get_loop().time() + world.cluster.inventory_lag_s
    )


@when(parsers.re("(?P<name>[ab][0-9]) is stopped gracefully"))
def instance_leaves(world, name):
    async def leave():
        left = cluster.asyncio.create_task(world.cluster.stop_gracefully(name))
        await world.cluster.run(3)
        for target in world.cluster.targets:
            assert world.cluster.owner(target) != name
        await world.cluster.run(9)
        assert left.done()

    world.run(leave)


@when(parsers.re("(?P<name>[ab][0-9]) (?P<how>dies|restarts)"))
def kill_instance(world, name, how):
    world.run(world.cluster.kill, name)
    if how == "restarts":
        world.run(world.cluster.add, name)


@when(parsers.parse("the entry process of {name} {how}"))
def pause_or_resume(world, name, how):
    process = world.cluster.pausable_processes[f"{name}/entry"]
    world.run({"pauses": process.pause, "resumes": process.resume}[how])


@when("the operator replaces all models")
def replace_all_models(world):
    world.cluster.models_in_use.clear()
    world.cluster.models_in_use.update(cluster_targets.OTHER_MODELS)
    world.run(world.cluster.configure, models=cluster_targets.OTHER_MODELS)


@when("every instance is replaced")
def replace_all_instances(world):
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
def set_due_ms(world, value):
    world.due_ms = value
    result = world.run(world.cluster.configure, due_ms=value)
    assert result.status == 0, result
    world.revision = result.revision


@when(parsers.parse("two operators set due_ms to {one:d} and {two:d} at once"))
def change_concurrently(world, one, two):
    async def both():
        configure = world.cluster.configure
        return await cluster.asyncio.gather(
            configure(due_ms=one), configure(due_ms=two)
        )

    world.results = dict(zip((one, two), world.run(both), strict=True))


@then("one of them has won and its change is in force at every process")
def one_change_won(world):
    won = [v for v, result in world.results.items() if result.status == 0]
    assert len(won) == 1, world.results
    world.due_ms = won[0]
    world.revision = world.results[won[0]].revision
    in_force_everywhere(world)


@then("the change is in force at every process")
def in_force_everywhere(world):
    for name, entry in world.cluster.entries.items():
        assert not entry.gateway.ready or world.in_force(name), name
    assert any(e.gateway.ready for e in world.cluster.entries.values())
    for process in world.cluster.controls.values():
        assert not process.ready or process.state.revision >= world.revision


@then("the change is in force in a only")
def in_force_in_a(world):
    for name in world.cluster.entries:
        assert world.in_force(name) == name.startswith("a")


@then(parsers.re("the change is (?P<how>not accepted|accepted within 9 s)"))
def check_acceptance(world, how):
    assert world.accepted(9.0 if how.startswith("a") else 0.0) == (
        how != "not accepted"
    )


@then(parsers.parse('"{name}" is answered'))
def is_answered(world, name):
    call = world.call(name)
    assert call.outcome == "answered", call.response_body[-300:]


@then("all requests are answered")
def all_answered(world):
    bad = [c for c in world.cluster.calls if c.outcome != "answered"]
    assert not bad, [(c.body, c.response_body[-300:]) for c in bad]


@then(parsers.parse('"{name}" is refused as {outcome}'))
def is_refused(world, name, outcome):
    call = world.call(name)
    assert call.outcome == outcome, (call.outcome, call.response_body)


@then(parsers.parse('booking "{name}" {how}'))
def check_booking_runs(world, name, how):
    counts = {"ran once": (1,), "did not run": (0,), "ran at most once": (0, 1)}
    assert world.runs(name) in counts[how]


@then("every booking ran once")
def all_ran_once(world):
    for call in world.cluster.calls:
        if call.key:
            assert world.cluster.executions[call.body] == 1, call.body


@then("every target has an owner")
def all_owned(world):
    for target in world.cluster.targets:
        world.run(world.cluster.owner, target)


@then("b offers no model to a")
def no_model_offered(world):
    # Requests sent to b for a model of a removed engine would fail there.
    stored = world.run(world.cluster.service.range, "/carobsail/dc/b/residency")
    assert set(json.loads(stored.values[0].value)) == {"desk"}


@then("all models are resident")
def all_resident(world):
    for model in world.cluster.models_in_use:
        assert world.cluster.engines_with(model), model


@then("m1 has more copies than at the start")
def more_copies(world):
    assert len(world.cluster.engines_with("m1")) > world.copies


@then(parsers.parse("it crashed at most {limit:d} engines"))
def crashed_at_most(world, limit):
    crashes = sum(len(fake.crashes) for fake in world.cluster.engines)
    assert 0 < crashes <= limit, crashes


@then(
    parsers.parse(
        "the leaving target got no request later than {limit:d} s after that"
    )
)
def no_late_requests(world, limit):
    received = world.left.received
    assert [t for t in received if t < world.left_at]
    assert not [t for t in received if t > world.left_at + limit]


@then("all responses are correct")
def all_correct(world):
    world.cluster.check_responses()
