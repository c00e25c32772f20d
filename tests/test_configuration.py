"""Guards rendering, authentication and incremental changes (R2, R5, R8).

Numbers such as R2 refer to the requirements in docs/design.md.
"""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import configuration, errors
from tests import builders_config as build


def _parse(contents):
    return configuration.parse_document(json.dumps(contents).encode())


def _template_with_operation(**fields):
    body = {"models": [], "adapters": [], "operations": [fields]}
    return build.template_document(account=body)


def _failure_detail(template, account):
    """Returns the detail of the only failure of a template and an account."""
    config_set = build.configuration_set(template, account)
    (failure,) = config_set.failures.values()
    assert failure.step is errors.Step.CONFIGURE
    assert failure.detail.startswith(f"{failure.peer}: ")
    return failure.detail


def test_account_renders_with_defaults():
    """R8: defaults and values of placeholders must reach the policy."""
    config_set = build.configuration_set(
        build.template_document(), build.account_document()
    )
    policy = config_set.authenticate(build.ACCESS_KEY)
    assert policy.account == "valtellina"
    assert policy.models == ["scrivano-1"]
    assert policy.operation("POST", "/v1/completions").due_ms == 2000
    assert not policy.operation("POST", "/bookings/7").idempotent
    assert not config_set.failures and not config_set.check_references(
        build.platform_inventory()
    )


@pytest.mark.parametrize(
    ("parameters", "problem"),
    [
        (
            {"models": ["a"], "due_ms": 5},
            '"parameters.due_ms": expected integer >= 100 and <= 60000 ms,'
            " got 5",
        ),
        (
            {"models": ["a"], "due_ms": True},
            '"parameters.due_ms": expected integer >= 100 and <= 60000 ms',
        ),
        ({}, '"parameters.models": required, expected list length >= 1'),
        (
            {"models": []},
            '"parameters.models": expected list length >= 1, got 0',
        ),
        (
            {"models": ["a"], "duems": 5},
            '"parameters.duems": not a parameter of template "counter"',
        ),
    ],
)
def test_parameter_errors_name_key_and_bound(parameters, problem):
    """R8: the error of a wrong parameter must state the values allowed."""
    account = build.account_document(parameters=parameters)
    detail = _failure_detail(build.template_document(), account)
    assert detail == f"accounts/valtellina: {problem}"


@pytest.mark.parametrize(
    ("fields", "problem"),
    [
        (
            {"path": "/a", "method": "GET", "idempotent": False},
            '"operations[0].idempotent": GET is repeated by callers,'
            " expected true",
        ),
        (
            {"path": "/a", "key_required": True},
            '"operations[0].key_required": expected "idempotent": false',
        ),
        ({"path": "a"}, '"operations[0].path": expected /..., with * only'),
        (
            {"path": "/a", "due_ms": 0},
            '"operations[0].due_ms": expected int >= 1',
        ),
        (
            {"path": "/a", "due_ms": 9},
            '"operations[0].first_token_ms": expected <= due_ms 9 ms',
        ),
        ({"path": "/a", "method": "get"}, '"operations[0].method": expected'),
    ],
)
def test_operation_rules(fields, problem):
    """R5: a non-idempotent operation must not become repeatable."""
    template = _template_with_operation(**fields)
    template["parameters"] = []
    detail = _failure_detail(template, build.account_document(parameters={}))
    assert detail.startswith(f"accounts/valtellina: {problem}")


def test_hidden_operation_is_rejected():
    """R5: an idempotent pattern must not hide a non-idempotent operation."""
    template = _template_with_operation(path="/*")
    template["parameters"] = []
    template["account"]["operations"].append(
        {"path": "/bookings", "idempotent": False}
    )
    detail = _failure_detail(template, build.account_document(parameters={}))
    assert '"operations[1].path": hidden by operations[0]' in detail


@pytest.mark.parametrize(
    ("plain", "problem"),
    [
        ([], '"kind": expected template or account'),
        ({"kind": ["x"]}, '"kind": expected template or account'),
        (
            build.account_document(name="A b"),
            '"name": expected str matching regex',
        ),
        (
            build.account_document(key_hashes=["x"]),
            '"key_hashes[0]": expected str',
        ),
        (
            build.account_document(key_hashes=["0" * 64] * 2),
            '"key_hashes": a hash',
        ),
        (
            build.template_document(parameters=[]),
            '"account": placeholder "due_ms"',
        ),
        (
            build.template_document(account={"account": "x"}),
            '"account.account"',
        ),
        (
            build.template_document(
                account={"models": {"$param": "models", "x": 1}}
            ),
            '"account": placeholder "{',
        ),
        (
            build.template_document(
                parameters=[{"name": "x", "type": "string"}]
            ),
            '"parameters[0].default": expected a default or required',
        ),
        (
            build.template_document(
                parameters=[
                    {"name": "x", "type": "number", "minimum": 2, "maximum": 1}
                ]
            ),
            '"parameters[0].maximum": expected >= minimum 2',
        ),
    ],
)
def test_malformed_documents(plain, problem):
    """R8: a malformed document must give a failure that names it."""
    failure = _parse(plain)
    assert failure.reason is errors.Reason.INVALID
    assert failure.detail.startswith(f"document: {problem}")


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_parse_or_fail(data):
    """Bytes written by another program must not end a process."""
    result = configuration.parse_document(b'{"kind": "account",' + data)
    assert isinstance(result, errors.Failure)


def test_bad_change_keeps_the_last_good_policy():
    """R2: an account must be served while its new document is invalid."""
    good = build.configuration_set(
        build.template_document(), build.account_document()
    )
    for bad in (
        {configuration.ACCOUNTS_PREFIX + "valtellina": b"{"},
        build.encode_documents(build.account_document(parameters={})),
        build.encode_documents(build.account_document(template="gone")),
        {configuration.TEMPLATES_PREFIX + "counter": None},
        {configuration.ACCOUNTS_PREFIX + "valtellina": b'{"kind": "template"}'},
    ):
        changed = good.with_documents(6, bad)
        assert len(changed.failures) == 1
        assert changed.policies == good.policies
        assert changed.authenticate(build.ACCESS_KEY) == good.authenticate(
            build.ACCESS_KEY
        )
        corrected = changed.with_documents(
            7,
            build.encode_documents(
                build.template_document(), build.account_document()
            ),
        )
        assert not corrected.failures


def test_template_change_does_not_hide_a_malformed_account():
    """R8: rendering the last valid document must not clear the failure."""
    config_set = build.configuration_set(
        build.template_document(), build.account_document()
    )
    key = configuration.ACCOUNTS_PREFIX + "valtellina"
    bad = config_set.with_documents(6, {key: b"{"})
    updated = bad.with_documents(
        7, build.encode_documents(build.template_document())
    )
    assert updated.failures[key] == bad.failures[key]


def test_revision_never_goes_back():
    """R8: a configuration must not be replaced by an older one."""
    config_set = build.configuration_set(revision=5)
    assert (
        config_set.with_documents(4, {}).reason is errors.Reason.STALE_REVISION
    )


def test_snapshot_renders_only_what_differs(monkeypatch):
    """R17: a snapshot must not render thousands of unchanged accounts."""
    contents = [
        build.template_document(),
        build.account_document("a"),
        build.account_document("b"),
    ]
    config_set = build.configuration_set(*contents)
    rendered = []
    original_render_policy = configuration.render_policy
    monkeypatch.setattr(
        configuration,
        "render_policy",
        lambda account, template: (
            rendered.append(account.name)
            or original_render_policy(account, template)
        ),
    )
    contents[2] = build.account_document("b", key_hashes=[])
    updated = config_set.with_snapshot(6, build.encode_documents(*contents))
    assert rendered == ["b"]
    assert updated.policies["a"] is config_set.policies["a"]


def test_unknown_and_deleted_keys_are_rejected():
    """A revoked access key must stop working (docs/design.md, section 12)."""
    config_set = build.configuration_set(
        build.template_document(), build.account_document()
    )
    key_changed = config_set.with_documents(
        6, build.encode_documents(build.account_document(key_hashes=["0" * 64]))
    )
    deleted = config_set.with_snapshot(
        6, build.encode_documents(build.template_document())
    )
    for changed in (key_changed, deleted):
        failure = changed.authenticate(build.ACCESS_KEY)
        assert failure.reason is errors.Reason.UNAUTHENTICATED
        assert build.ACCESS_KEY not in str(failure)
    assert not deleted.policies


def test_shared_hash_does_not_depend_on_order():
    """R8: processes that received changes in different orders must agree."""
    shared = [build.key_hash("k")]
    first = build.account_document("a", key_hashes=shared)
    second = build.account_document("b", key_hashes=shared)
    only_b = build.configuration_set(build.template_document(), second)
    both = only_b.with_documents(6, build.encode_documents(first))
    assert both.authenticate("k").account == "a"
    (conflict,) = both.shared_key_failures()
    assert conflict.peer == "accounts/b"
    without_a = both.with_documents(
        7, {configuration.ACCOUNTS_PREFIX + "a": None}
    )
    assert without_a.authenticate("k").account == "b"


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.sampled_from("abt"), st.integers(-1, 3)), max_size=12)
)
def test_incremental_equals_full(steps):
    """R8: incremental changes must give the same result as a snapshot."""
    config_set = build.configuration_set(build.template_document())
    stored = build.encode_documents(build.template_document())
    for step, (name, value) in enumerate(steps):
        if name == "t":
            changes = build.encode_documents(
                _template_with_operation(path="/x", due_ms=1000 + value)
                | {"parameters": [build.template_document()["parameters"][1]]}
            )
        else:
            changes = build.encode_documents(
                build.account_document(name, key_hashes=[f"{value % 3}" * 64])
            )
            if value < 0:
                changes = dict.fromkeys(changes)
        stored.update(changes)
        config_set = config_set.with_documents(6 + step, changes)
    kept = {k: v for k, v in stored.items() if v is not None}
    full = configuration.ConfigurationSet().with_snapshot(99, kept)
    assert full.policies == config_set.policies
    assert full._accounts_by_key_digest == config_set._accounts_by_key_digest


def test_missing_models_are_named():
    """R2: each missing model, adapter or service must be reported."""
    template = build.template_document()
    template["account"]["adapters"] = ["gone", "clerk"]
    template["account"]["operations"][1]["service"] = "nowhere"
    account = build.account_document(parameters={"models": ["lost"]})
    found = build.configuration_set(template, account).check_references(
        build.platform_inventory()
    )
    assert [failure.detail.split(": ", 1)[1] for failure in found] == [
        '"models": no model "lost"',
        '"adapters": no adapter "gone"',
        '"adapters": "clerk" needs model "scrivano-1"',
        '"operations": no service "nowhere"',
    ]


async def test_a_template_change_yields_to_the_event_loop():
    """R17: rendering all accounts in one step delayed tokens by 1 s."""
    accounts = [
        build.account_document(
            f"a{number}", key_hashes=[build.key_hash(str(number))]
        )
        for number in range(200)
    ]
    documents = build.encode_documents(build.template_document(), *accounts)
    before = configuration.ConfigurationSet().with_snapshot(1, documents)
    iterations = 0

    async def count():
        nonlocal iterations
        while True:
            iterations += 1
            await asyncio.sleep(0)

    counter = asyncio.create_task(count())
    after = await configuration.ConfigurationSet().with_snapshot_in_slices(
        1, documents
    )
    counter.cancel()
    slices = 2 * 200 // configuration.DOCUMENTS_PER_SLICE
    assert iterations >= slices
    assert after.policies == before.policies
    assert after.revision == before.revision
