"""Steps of changes by operators: races, lost responses, partitions (R8, R13).

Numbers such as R8 refer to the requirements in docs/design.md.
"""

import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from carobsail import acceptance, configuration, errors, keyvalue, operations
from tests import builders_config as build
from tests.builders_claims import run_on_virtual_time

scenarios("configuration.feature")
KEY = configuration.ACCOUNTS_PREFIX + "valtellina"
DATA_CENTRES = ["sondrio-a", "lecco-a"]


class Service(keyvalue.MemoryKeyValue):
    """Calls `before` and `after` once, around the next write transaction."""

    before = after = None

    async def transact(self, compares, writes):
        before, after = self.before, self.after
        if writes:
            self.before = self.after = None
            if before:
                await before()
        result = await super().transact(compares, writes)
        if writes and after:
            await after()
        return result


class World:
    """The key-value service, and what each operator read and was told."""

    def __init__(self):
        self.service = Service()
        self.seen, self.results = {}, {}

    async def change(self, name, *plain, seen=None):
        parsed = {
            key: configuration.parse_document(data)
            for key, data in build.encode_documents(*plain).items()
        }
        metadata = configuration.Metadata(f"change-of-{name}", name)
        return await operations.apply(
            self.service,
            parsed,
            metadata,
            seen,
            build.platform_inventory(DATA_CENTRES),
        )

    def apply(self, name, *plain):
        seen = self.seen.get(name)
        self.results[name] = run_on_virtual_time(
            self.change(name, *plain, seen=seen)
        )


def _account(due_ms):
    parameters = {"models": ["scrivano-1"], "due_ms": due_ms}
    return build.account_document(parameters=parameters)


@pytest.fixture
def world():
    return World()


@given("a stored template and an account with due_ms 2000")
def _(world):
    world.apply("setup", build.template_document(), _account(2000))
    assert world.results["setup"].status is operations.Status.DONE


@given("the next response of the key-value service is lost")
def _(world):
    world.service.lose_answers = 1


async def _stop_service(world):
    world.service.available = False


@given("the key-value service goes down between reading and writing")
def _(world):
    world.service.before = lambda: _stop_service(world)


@given("the key-value service loses a response and goes down")
def _(world):
    world.service.lose_answers = 1
    world.service.after = lambda: _stop_service(world)


@when("ada and ben plan")
def _(world):
    parsed = configuration.parse_document(json.dumps(_account(2500)).encode())
    for name in ("ada", "ben"):
        shown = run_on_virtual_time(
            operations.plan(world.service, {KEY: parsed})
        )
        assert shown.status is operations.Status.DONE
        assert '+  "due_ms": 2500,' in shown.lines
        world.seen[name] = shown.revision


@when(parsers.parse("{name} applies due_ms {due_ms:d}"))
def _(world, name, due_ms):
    world.apply(name, _account(due_ms))


@when("ben applies a template change")
def _(world):
    template = build.template_document()
    template["parameters"][0]["maximum"] = 50_000
    world.apply("ben", template)


@when("ada lowers the maximum to 2500 while ben commits due_ms 4000")
def _(world):
    template = build.template_document()
    template["parameters"][0]["maximum"] = 2500
    world.service.before = lambda: world.change("ben", _account(4000))
    world.apply("ada", template)


@when("ada applies due_ms 3000 while ben commits due_ms 4000")
def _(world):
    world.service.before = lambda: world.change("ben", _account(4000))
    world.apply("ada", _account(3000))


@when("ada applies due_ms 3000 and ben replaces it by due_ms 4000")
def _(world):
    world.service.after = lambda: world.change("ben", _account(4000))
    world.apply("ada", _account(3000))


@when(parsers.parse("{centre} has confirmed the change"))
def _(world, centre):
    revision = world.results["ada"].revision
    value = json.dumps({"revision": revision}).encode()
    put = keyvalue.Put(f"/carobsail/dc/{centre}/applied", value)
    run_on_virtual_time(world.service.transact([], [put]))


@when("ada waits for acceptance")
def _(world):
    revision = world.results["ada"].revision
    world.results["ada"] = run_on_virtual_time(
        acceptance.wait_until_accepted(world.service, revision, DATA_CENTRES)
    )


@then(parsers.parse("{name} ends with {status:w}"))
def _(world, name, status):
    assert world.results[name].status is operations.Status[status]


@then(parsers.parse("{name} ends with CONFLICT naming {other}"))
def _(world, name, other):
    result = world.results[name]
    assert result.status is operations.Status.CONFLICT
    assert f"change change-of-{other} by {other}" in "\n".join(result.lines)


@then(parsers.parse('the result of {name} contains "{text}"'))
def _(world, name, text):
    assert text in "\n".join(world.results[name].lines)


@then(parsers.parse("the stored due_ms is {due_ms:d}"))
def _(world, due_ms):
    stored = run_on_virtual_time(
        operations.read_stored_documents(world.service)
    )
    account = configuration.parse_document(stored.values[KEY].value)
    assert not isinstance(account, errors.Failure)
    assert account.parameters["due_ms"] == due_ms


@then("the change was written once")
def _(world):
    stored = run_on_virtual_time(
        operations.read_stored_documents(world.service)
    )
    assert stored.values[KEY].mod_revision == world.results["ada"].revision
    assert stored.revision == world.results["ada"].revision


@then(parsers.parse("the status reports only {centre} as lagging"))
def _(world, centre):
    shown = run_on_virtual_time(
        acceptance.report_status(world.service, DATA_CENTRES)
    )
    assert shown.status is operations.Status.NOT_ACCEPTED
    lagging = [line for line in shown.lines if "lagging" in line]
    assert len(lagging) == 1 and centre in lagging[0]
