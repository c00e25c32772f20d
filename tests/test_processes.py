"""Tests the programs as real processes, as an operator starts them."""

import json
import re
import signal

import httpx
import openai
import pytest

from carobsail.standin_generation import answer_text
from tests import builders_processes as build

CLERKS = [str(p) for p in sorted(build.EXAMPLES.glob("valtellina/*.json"))]
KEY = "example-clerks-1"
SECRETS = (KEY, "example-vets-1", "example-peer-secret-1")
LINE = re.compile(
    r'time=\S+ level=[a-z]+ event=\S+( [\w.]+=("([^"\\]|\\.)*"|[^\s"]*))*'
)
BODY = [{"role": "user", "content": "An order of two collar tags."}]


@pytest.fixture(scope="module")
def programs(tmp_path_factory):
    """Stand-ins, one control and one entry process, configured."""
    running = build.Programs(tmp_path_factory.mktemp("programs"))
    try:
        standin = running.start("standin")
        build.wait_until(
            lambda: build.http_get(
                running.address_by_port["2380"], "/inventory"
            )[0],
            standin,
        )
        running.start("control")
        start_entry(running)
        code, output = running.ctl("apply", *CLERKS, "--wait")
        assert code == 0 and "is accepted" in output, output
        yield running
    finally:
        running.close()


def start_entry(programs):
    entry = programs.start("entry")
    address = programs.address_by_port["7202"]
    build.wait_until(
        lambda: build.http_get(address, "/readyz")[0] == 200, entry
    )
    return entry


def connect(programs, key=KEY):
    """Returns a client and a list that receives the bodies it sends."""
    sent = []
    hooks = {"request": [lambda request: sent.append(request.read())]}
    client = openai.OpenAI(
        base_url=f"http://{programs.address_by_port['8080']}/v1",
        api_key=key,
        max_retries=0,
        http_client=httpx.Client(event_hooks=hooks),
    )
    return client, sent


def stream(client, tokens):
    return client.chat.completions.create(
        model="scrivano-1", messages=BODY, max_tokens=tokens, stream=True
    )


def join_content(events):
    return "".join(
        choice.delta.content for event in events for choice in event.choices
    )


def test_published_client_gets_its_answers(programs):
    """R3, R20: callers use the published OpenAI client, not our own."""
    client, sent = connect(programs)
    completion = client.chat.completions.create(
        model="engraving-style", messages=BODY, max_tokens=9
    )
    assert completion.choices[0].message.content == answer_text(sent[-1], 9)
    assert join_content(stream(client, 12)) == answer_text(sent[-1], 12)
    names = {model.id for model in client.models.list()}
    assert names == {"scrivano-1", "scrivano-2", "engraving-style"}
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="sportello-1", messages=BODY)
    assert caught.value.code == "unknown_model"
    with pytest.raises(openai.AuthenticationError) as caught:
        connect(programs, "wrong-key")[0].models.list()
    assert caught.value.code == "unauthenticated"


def test_model_without_a_copy_is_loaded(programs):
    """R2: a model that an account uses must become reachable."""
    client, sent = connect(programs)

    def answered():
        try:
            return client.completions.create(
                model="scrivano-2", prompt="tags", max_tokens=3
            )
        except openai.InternalServerError as error:
            assert error.code == "no_target"

    completion = build.wait_until(answered)
    assert completion.choices[0].text == answer_text(sent[-1], 3)


def test_booking_is_replayed(programs):
    """R5: a repeated booking must not run again."""
    url = (
        f"http://{programs.address_by_port['8080']}/services/bookings/bookings"
    )
    headers = {"authorization": f"Bearer {KEY}", "idempotency-key": "order-1"}
    first, second = (
        httpx.post(url, headers=headers, content=b"2 tags") for _ in range(2)
    )
    assert (first.status_code, second.status_code) == (201, 201)
    assert first.content == second.content
    assert second.headers["idempotent-replayed"] == "true"
    assert json.loads(second.content)["booking"] == 1
    del headers["idempotency-key"]
    assert httpx.post(url, headers=headers).status_code == 400


def test_operators_see_the_state(programs):
    """R8: status and dumps must show the state, and no secret."""
    code, output = programs.ctl("status")
    assert code == 0 and "leader entry-1" in output, output
    for port in ("7102", "7202"):
        code, dump = programs.ctl("dump", programs.address_by_port[port])
        assert code == 0 and json.loads(dump)["instance"] == "entry-1"
        assert not any(secret in dump for secret in SECRETS)
        status, body = build.http_get(programs.address_by_port[port], "/dump")
        assert (status, json.loads(body).keys()) == (
            200,
            json.loads(dump).keys(),
        )


def test_signals(programs):
    """R7: a planned stop cuts nothing; a forced one logs what it cut."""
    client, sent = connect(programs)
    events = stream(client, 600)
    first = next(events)
    entry = programs.running["entry"]
    entry.send_signal(signal.SIGTERM)
    assert join_content([first, *events]) == answer_text(sent[-1], 600)
    assert entry.wait(build.WAIT_TIMEOUT_S) == 0
    entry = start_entry(programs)
    events = build.wait_until(lambda: try_stream(client))
    next(events)
    entry.send_signal(signal.SIGTERM)
    build.wait_until(lambda: programs.log("entry").count("=stopping") == 2)
    entry.send_signal(signal.SIGTERM)
    with pytest.raises(httpx.RemoteProtocolError):
        list(events)
    entry.wait(build.WAIT_TIMEOUT_S)
    assert "event=stopped_at_once requests_cut=1" in programs.log("entry")
    for name in ("entry", "control"):
        log = programs.log(name)
        for line in log.splitlines():
            assert LINE.fullmatch(line), line
        assert not any(secret in log for secret in SECRETS)
    assert "event=request_answered account=clerks" in programs.log("entry")


def try_stream(client):
    try:
        return stream(client, 6000)
    except openai.APIStatusError:
        return None
