"""Tests invalid input: one-line errors, correct status, nothing forwarded."""

import json
import logging
import re

import pytest

from carobsail import control, ctl, entry, standin, telemetry
from tests import builders_local as build
from tests import builders_processes

LOCAL = builders_processes.EXAMPLES / "local"
VALTELLINA = builders_processes.EXAMPLES / "valtellina"

REQUESTS = [
    (build.chat_request('{"model": "lost"}'), 404, "unknown_model", "read"),
    (build.chat_request(key=""), 401, "unauthenticated", "authenticate"),
    (build.chat_request(key="wrong"), 401, "unauthenticated", "authenticate"),
    (build.chat_request("{"), 400, "bad_request", "read"),
    (build.chat_request('{"model": 5}'), 400, "bad_request", "read"),
    (build.chat_request("x" * 5_000_000), 413, "body_too_large", "read"),
    (
        build.chat_request(
            build.BODY, build.ACCESS_KEY, "x-long: " + "a" * 40_000
        ),
        431,
        "bad_request",
        "read",
    ),
    (
        build.chat_request(build.BODY, build.ACCESS_KEY, "x-deadline-ms: -1"),
        400,
        "bad_request",
        "read",
    ),
    (
        build.chat_request(
            build.BODY, build.ACCESS_KEY, "idempotency-key: " + "k" * 300
        ),
        400,
        "bad_request",
        "read",
    ),
    ("nonsense\r\n\r\n", 400, "bad_request", "read"),
    (build.chat_request().replace("/v1", "/v9"), 404, "unknown_path", "read"),
]


async def test_wrong_requests_are_refused_in_one_line(caplog, monkeypatch):
    """R3, R4: invalid requests must reach no target and get a clear error."""
    logger = logging.getLogger(telemetry.LOGGER_NAME)
    monkeypatch.setattr(logger, "handlers", [caplog.handler])
    caplog.set_level(logging.INFO, telemetry.LOGGER_NAME)
    async with build.local_deployment() as deployment:
        address = deployment.instances["entry-1"].caller_address
        for raw, status, reason, step in REQUESTS:
            found, body = await build.send_raw(address, raw)
            assert found == status, (raw[:200], body)
            error = json.loads(body)["error"]
            assert error["message"].startswith(f"{reason} at {step} (peer ")
            assert "\n" not in error["message"]
            assert (error["code"], error["step"]) == (reason, step)
            assert (error["peer"], error["outcome"]) == ("caller", "not_run")
        assert build.count_executions(deployment) == 0
        assert (await build.send_raw(address, build.chat_request()))[0] == 200
        assert build.count_executions(deployment) == 1
    logged = [r.msg for r in caplog.records if isinstance(r.msg, dict)]
    refused = [m for m in logged if m["event"] == "request_refused"]
    expected = {(reason, step) for _, _, reason, step in REQUESTS}
    assert {(m["reason"], m["step"]) for m in refused} == expected
    assert all(m["peer"] and m["detail"] for m in refused)


def _start(program):
    if program == "carobsailctl":
        return lambda path: ctl.run(["status", "--settings", path])
    return {"entry": entry, "control": control, "standin": standin}[program].run


@pytest.mark.parametrize(
    ("program", "old", "new", "line"),
    [
        ("entry", '"caller_', '"port": 1, "caller_', '"port": unknown key'),
        (
            "entry",
            '"caller_',
            '"bounds": {"connections": 0}, "caller_',
            '"bounds.connections": expected int >= 1',
        ),
        (
            "entry",
            '"instance": "entry-1",',
            "",
            '"instance": required key is missing',
        ),
        (
            "entry",
            '"127.0.0.1:8080"',
            '"localhost:8080"',
            "\"caller_listen\": 'localhost:8080': expected an IP address and a"
            " port, as in 127.0.0.1:80, port >= 1 and <= 65535",
        ),
        (
            "entry",
            "example-peer-secret-1",
            "short",
            '"peer_secrets[0]": expected str of length >= 16',
        ),
        (
            "entry",
            '"caller_',
            '"routing_policy": "best", "caller_',
            '"routing_policy": expected one of due_time, least_outstanding,'
            " round_robin, got best",
        ),
        ("control", '"peer_l', '"port": 1, "peer_l', '"port": unknown key'),
        (
            "control",
            '"peer_l',
            '"copies": 9, "peer_l',
            '"copies": expected int <= 8',
        ),
        (
            "control",
            '"inventory_url"',
            '// "inventory_url"',
            '"inventory_url": required key is missing',
        ),
        (
            "control",
            "http://127.0.0.1:2379",
            "https://127.0.0.1:2379",
            "\"key_value_url\": 'https://127.0.0.1:2379': expected a URL such"
            " as http://127.0.0.1:80/",
        ),
        (
            "carobsailctl",
            '"inventory"',
            '"inventroy"',
            '"inventroy": unknown key',
        ),
        (
            "carobsailctl",
            '"key_value_url"',
            '// "key_value_url"',
            '"key_value_url": required key is missing',
        ),
        ("carobsailctl", ":2379", ":0", "port >= 1 and <= 65535"),
        ("standin", '"keyvalue_port"', '"port"', '"port": unknown key'),
        (
            "standin",
            '"kind": "service"',
            '"kind": "shop"',
            '"inventory.targets[2].kind": invalid enum value',
        ),
        ("standin", "127.0.0.1:7003", "bookings:80", "expected an IP address"),
        (
            "standin",
            "2380",
            "99999",
            '"inventory_port": expected int <= 65535',
        ),
    ],
)
def test_wrong_settings_are_one_line(tmp_path, capsys, program, old, new, line):
    """An operator must see the file, key and bound, and no traceback."""
    path = tmp_path / f"{program}.json"
    text = (LOCAL / path.name).read_text()
    assert old in text
    path.write_text(text.replace(old, new))
    try:
        code = _start(program)(str(path))
        shown = capsys.readouterr().out.rstrip("\n")
    except SystemExit as error:
        # For a string, Python prints it and exits with code 1.
        code, shown = 1, str(error.code)
    assert code == 1
    assert shown.startswith(f"{path.name}: ") and line in shown
    assert "\n" not in shown


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ('"name": "counter",', "", '"name": required key is missing'),
        ('"path": "/v1/completions",', "", "path"),
        ('"default": 50,', '"default": 5000,', "[5].default"),
        ('"kind": "template"', '"kind": "tmplate"', "kind"),
    ],
)
def test_wrong_template_is_one_line(tmp_path, capsys, old, new, line):
    """R8: the error for an invalid template must name the field."""
    path = tmp_path / "counter.json"
    text = (VALTELLINA / path.name).read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
    files = [str(path), str(VALTELLINA / "clerks.json")]
    assert ctl.run(["validate", *files]) == 1
    shown = capsys.readouterr().out.splitlines()
    assert len(shown) == 1 and line in shown[0], shown
    assert re.match(r"counter|templates/counter|accounts/clerks", shown[0])
