"""Guards the operators' command line: exit codes and printed lines.

Numbers such as R8 refer to the requirements in docs/design.md.
"""

import json
import pathlib

import pytest

from carobsail import configuration, ctl, keyvalue
from tests import builders_claims, builders_io
from tests import builders_config as build

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


class Commands(ctl.Commands):
    """Commands that use an in-memory key-value service."""

    service: keyvalue.MemoryKeyValue

    def __init__(self, settings=ctl.SETTINGS_FILE):
        super().__init__(settings)
        self._connect = lambda address: self.service


@pytest.fixture
def work(tmp_path, monkeypatch):
    """A directory with settings, inventory, a template and an account."""
    monkeypatch.chdir(tmp_path)
    Commands.service = keyvalue.MemoryKeyValue()
    inventory = ctl.msgspec.json.encode(build.platform_inventory())
    (tmp_path / "inventory.json").write_bytes(inventory)
    for name, plain in {
        ctl.SETTINGS_FILE: {
            "key_value_url": "http://127.0.0.1:1",
            "inventory": "inventory.json",
        },
        "t.json": build.template_document(),
        "a.json": build.account_document(),
        "bad.json": build.account_document(parameters={"models": []}),
    }.items():
        (tmp_path / name).write_text(json.dumps(plain))
    return tmp_path


def _run(capsys, *arguments):
    code = ctl.run(list(arguments), Commands)
    return code, capsys.readouterr().out


@pytest.mark.parametrize("user", ["valtellina", "kagsa"])
def test_examples_are_valid(user, capsys):
    """R14, R15: the shipped examples must pass as they are."""
    files = sorted(map(str, (EXAMPLES / user).glob("*.json")))
    code, shown = _run(capsys, "validate", *files)
    assert (code, shown) == (0, f"{len(files)} documents are valid\n")
    assert len(files) == 3


def test_validate_reports_every_file(work, capsys):
    """R8: an operator must see all errors at once, each with its file."""
    (work / "c.json").write_text("{")
    code, shown = _run(capsys, "validate", "c.json", "gone.json")
    assert code == 1
    assert shown.splitlines()[0].startswith("c.json: malformed JSON ")
    assert shown.splitlines()[1] == "gone.json: No such file or directory"
    code, shown = _run(capsys, "validate", "t.json", "bad.json")
    assert code == 1
    assert '"parameters.models": expected list length >= 1, got 0' in shown


def test_plan_then_apply(work, capsys):
    """R8: a change must be committed once; a repetition has no effect."""
    code, shown = _run(capsys, "plan", "t.json", "a.json")
    assert code == 0
    assert "2 of 2 documents change; apply with --seen 1" in shown
    code, shown = _run(capsys, "apply", "t.json", "a.json", "--seen", "1")
    assert (code, shown) == (0, "revision 2 is committed\n")
    code, shown = _run(capsys, "apply", "t.json", "a.json")
    assert (code, shown.splitlines()[0]) == (0, "nothing changes")
    (work / "t.json").write_text(
        json.dumps(build.template_document(parameters=[]))
    )
    assert _run(capsys, "apply", "t.json")[0] == 1


def test_exit_codes_tell_failures_apart(work, capsys):
    """R13: scripts must distinguish conflict, outage and missing acceptance."""
    assert _run(capsys, "apply", "bad.json")[0] == 1
    assert _run(capsys, "apply", "t.json", "a.json")[0] == 0
    (work / "a.json").write_text(
        json.dumps(build.account_document(key_hashes=[]))
    )
    code, shown = _run(capsys, "apply", "a.json", "--seen", "1")
    assert code == 2 and "nothing was changed" in shown
    Commands.service.available = False
    assert _run(capsys, "plan", "a.json")[0] == 3
    assert _run(capsys, "status")[0] == 3


def test_status_names_lagging_data_centres(work, capsys):
    """R8: a lagging data centre or a malformed document must be named."""
    _run(capsys, "apply", "t.json", "a.json")
    code, shown = _run(capsys, "status")
    assert code == 4
    assert "data centre lecco-a: leader none, applied 0 lagging by 2" in shown


def test_change_that_breaks_an_account_is_rejected(work, capsys):
    """R2: a template must not take a model from an account that uses it."""
    _run(capsys, "apply", "t.json", "a.json")
    template = build.template_document()
    template["account"]["models"] = ["lost"]
    (work / "t.json").write_text(json.dumps(template))
    for command in ("plan", "apply"):
        code, shown = _run(capsys, command, "t.json")
        lost = 'accounts/valtellina: "models": no model "lost"\n'
        assert (code, shown) == (1, lost)


def test_delete_rejects_documents_in_use_or_changed(work, capsys):
    """R2, R8: a template in use or changed since must not be deleted."""
    _run(capsys, "apply", "t.json", "a.json")
    code, shown = _run(capsys, "delete", "templates/counter")
    assert code == 1 and "counter" in shown
    code, shown = _run(capsys, "delete", "accounts/none")
    assert (code, shown) == (1, "no document accounts/none\n")
    assert _run(capsys, "delete", "accounts/valtellina", "--seen", "1")[0] == 2
    names = ("accounts/valtellina", "templates/counter")
    code, shown = _run(capsys, "delete", *names, "--seen", "2")
    assert (code, shown) == (0, "revision 3 is committed\n")
    assert not list(filter(lambda k: "config" in k, Commands.service._values))


def test_delete_is_certain_after_a_lost_response(work, capsys):
    """R13: a deletion that took effect must not be reported as a conflict."""
    _run(capsys, "apply", "t.json")
    Commands.service.lose_answers = 1
    code, shown = _run(capsys, "delete", "templates/counter")
    assert (code, shown) == (0, "revision 3 is committed\n")
    assert Commands.service.lose_answers == 0


def test_inventory_by_url(work, capsys):
    """R8: an unreachable inventory must not be reported as invalid."""
    arguments = ("validate", "t.json", "--inventory", "http://127.0.0.1:9/i")
    code, shown = _run(capsys, *arguments)
    assert code == 3 and "connect_failed" in shown and shown.count("\n") == 1
    assert _run(capsys, *arguments[:3], "http://x/i")[0] == 1


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["apply", "t.json", "--sen", "5"], ctl.USAGE_EXIT),
        (["apply", "t.json", "--wait", "a.json"], 1),
        (["apply", "t.json", "--seen", "now"], 1),
        (["bogus"], ctl.USAGE_EXIT),
        ([], ctl.USAGE_EXIT),
    ],
)
def test_wrong_usage_changes_nothing(work, arguments, code, capsys):
    """R8: a misspelt option must not commit the change without the option."""
    assert ctl.run(arguments, Commands) == code
    assert "transact" not in Commands.service.calls


def test_stored_documents_carry_their_change(work, capsys):
    """R8: resolving a lost response needs the stored change identifier."""
    _run(capsys, "apply", "t.json")
    (stored,) = Commands.service._values.values()
    document = configuration.parse_document(stored.value)
    assert len(document.metadata.change) == 32
    assert document.metadata.operator


def test_dump_shows_the_state_of_a_process(capsys):
    """An operator must see a process's state, or why it is unreachable."""

    async def scenario():
        async def answer(request, responder):
            found = request.path == "/dump"
            await responder.send(200 if found else 404, [], b'{"x": 1}')

        listener = await builders_io.start_server(answer)
        shown = await ctl.fetch_dump(f"127.0.0.1:{listener.port}")
        assert (shown.status, shown.lines) == (0, ('{"x": 1}',))
        assert (await ctl.fetch_dump("127.0.0.1:9")).status == 3

    builders_claims.run_on_virtual_time(scenario())
