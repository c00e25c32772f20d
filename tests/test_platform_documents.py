"""Guards the decoding of documents in the platform's store."""

import json

import msgspec
import pytest

from carobsail import errors
from carobsail.clientaccounts import ClientAccount
from carobsail.keyvalue import WatchEvent
from carobsail.platform import documents
from carobsail.platform.documents import (
    PlatformDocuments,
    read_configuration,
    read_report,
    read_target,
)
from carobsail.routetable import RetrySafety
from carobsail.targetregistry import TargetEntry

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Ficu95.example",
            "prefix": "/pufi791/",
            "routeType": "streaming",
            "timeoutMs": 20000,
            "targetLatencyMs": 10000,
            "priority": 1,
            "trafficSplit": [
                {"service": "llm", "weight": 90},
                {"service": "plain", "weight": 10},
            ],
            "maxAttempts": 2,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 400,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "prefix": "/pufi791/deep/",
            "routeType": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 200,
            "priority": 2,
            "service": "plain",
            "maxAttempts": 1,
        },
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/health",
            "maxConns": 360,
            "engine": {
                "slots": 64,
                "kvCapacity": 144784,
                "models": [
                    {
                        "name": "m1",
                        "weightsMb": 72700.0,
                        "loadTimeS": 9.0,
                        "adapters": 28,
                        "warmS": 1.2,
                        "diskS": 2.4,
                    }
                ],
                "weightsMb": 230000.0,
                "adapterSlots": 8,
                "loadsPerS": 1.1,
            },
        },
        {"name": "plain", "healthPath": "/health", "maxConns": 100},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
SERVER = {
    "service": "llm",
    "addr": "10.128.0.9:8080",
    "zone": "dc-a",
    "version": "v1",
    "slots": 64,
    "state": "in_service",
    "coldLeftMs": 0,
    "models": [{"name": "m1", "version": 1, "adapters": ["a1"]}],
    "seqNo": 4,
    "born": 1700,
    "atHand": {"inMemory": ["m1"], "onDisk": ["m1", "m2"]},
}


def encode(plain):
    return msgspec.json.encode(plain)


def test_configuration():
    """Decodes a configuration in the form of the platform's protocol."""
    table = read_configuration(encode(CONFIGURATION), 12)
    assert (table.version, table.revision) == (7, 12)
    stream = table.match("ficu95.example", "/pufi791/2f")
    assert stream.retry_safety is RetrySafety.STREAM and stream.resumable
    assert stream.services == (("llm", 90.0), ("plain", 10.0))
    assert (stream.timeout_s, stream.latency_objective_s) == (20.0, 10.0)
    assert table.match("FICU95.example", "/pufi791/deep/x").name == "r-2"
    assert table.match("other.example", "/pufi791/") is None
    pool = table.services["llm"].pool
    assert pool.models["m1"].disk_load_s == 2.4
    assert table.services["plain"].pool is None


@pytest.mark.parametrize("data", [b"", b"{}", b"\xff", b'{"version":"x"}'])
def test_malformed_configuration_is_a_failure(data):
    """A malformed configuration must not replace the current one."""
    table = read_configuration(data, 1)
    assert isinstance(table, errors.Failure)


def test_target():
    """The `seqNo` of an entry numbers its renewals, not the orders."""
    entry = read_target("servers/i-1", encode(SERVER), 9)
    assert (entry.identity, entry.address) == ("i-1", "10.128.0.9:8080")
    assert entry.models[0].adapters == {"a1"}
    assert entry.on_disk == {"m1", "m2"} and entry.in_memory == {"m1"}
    leaving = SERVER | {"state": "draining"}
    assert read_target("servers/i-1", encode(leaving), 9).leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"addr": "nowhere"},
        {"addr": ":80"},
        {"slots": "many"},
        {"service": 7},
        {"models": 5},
    ],
)
def test_malformed_entry_is_not_a_target(change):
    """Entries with missing or mistyped fields are not used as targets."""
    found = read_target("servers/i-1", encode(SERVER | change), 9)
    assert isinstance(found, errors.Failure)


def nested(plain, depth):
    """Returns a document with one more field that is nested this deep."""
    return encode(plain)[:-1] + b',"odd":' + b"[" * depth + b"]" * depth + b"}"


HUGE = 10**400


@pytest.mark.parametrize(
    "change",
    [
        *({"born": number} for number in (2**63, 10**29, HUGE, -1, 1.5)),
        *({"slots": number} for number in (2**31, 10**29, HUGE, -1)),
        {"models": [{"name": "m1", "version": HUGE}]},
        *(
            {"addr": f"10.0.0.9:{port}"}
            for port in ("0", "65536", "-1", "9" * 20, "9" * 5000)
        ),
        *(
            {"addr": f"10.0.0.9:{port}"}
            for port in ("+80", "8_0", " 80", "80 ", "\uff18\uff10", "8\u0660")
        ),
        *(
            {"addr": f"{host}:80"}
            for host in (
                "a\0b",
                " ",
                "::1",
                "host.example",
                "\u00e9",
                "h" * 300,
            )
        ),
    ],
    ids=lambda change: str(change)[:40],
)
def test_odd_entry_is_ignored(change):
    """Another writer left an entry, and processes ended on reading it.

    Numbers beyond 64 bits or the range of floats, ports that only look like
    one, and hosts that are no addresses failed only when they were used.
    """
    data = json.dumps(SERVER | change).encode()
    found = read_target("servers/i-1", data, 9)
    assert isinstance(found, errors.Failure)


@pytest.mark.parametrize("depth", [900, 1100, 100_000])
def test_deeply_nested_documents_are_ignored(depth):
    """A deeply nested entry ended the process that read it.

    Where the parser still reads it, fields that are not known change nothing.
    """
    expected = (TargetEntry, errors.Failure)
    assert isinstance(
        read_target("servers/i-1", nested(SERVER, depth), 9), expected
    )
    report = {"models": [], "busy": False, "seqNo": 1}
    for found in (
        read_report("i-1", nested(report, depth)),
        read_configuration(nested(CONFIGURATION, depth), 1),
    ):
        assert depth == 900 or isinstance(found, errors.Failure)


@pytest.mark.parametrize("identity", ["", "i 1", "i\r\nx: y", "\u00e9", "a\0b"])
def test_identity_that_no_header_can_name_is_ignored(identity):
    """Each request to such a target failed with an exception."""
    found = read_target("servers/" + identity, encode(SERVER), 9)
    assert isinstance(found, errors.Failure)


def test_odd_entries_leave_the_others_in_force():
    """Instances stopped following the list of targets at an odd entry."""
    reader = PlatformDocuments()
    values = [
        nested(SERVER, 5000),
        json.dumps(SERVER | {"slots": HUGE}).encode(),
        encode(SERVER | {"addr": "10.0.0.9:65536"}),
        b"\xff",
        encode(SERVER),
    ]
    entries = [
        reader.target(WatchEvent(f"servers/i-{number}", value, 5))
        for number, value in enumerate(values)
    ]
    assert entries[:-1] == [None] * 4
    assert entries[-1].identity == "i-4"


@pytest.mark.parametrize(
    "change",
    [
        {"seqNo": 2**63},
        {"seqNo": HUGE},
        {"born": HUGE},
        {"waiting": HUGE},
        {"running": -1},
        {"models": [{"name": "m1", "version": HUGE}]},
    ],
    ids=lambda change: str(change)[:40],
)
def test_odd_report_is_a_failure(change):
    """An engine's number beyond 64 bits failed when orders were encoded."""
    report = {"models": [], "busy": False, "seqNo": 1}
    data = json.dumps(report | change).encode()
    assert isinstance(read_report("i-1", data), errors.Failure)


def test_report():
    """Adapters that are being loaded come as `MODEL/ADAPTER@VERSION`."""
    found = read_report(
        "i-1",
        encode(
            {
                "stage": "both",
                "models": [{"name": "m1", "version": 1, "adapters": []}],
                "busy": True,
                "seqNo": 2,
                "coming": ["m1/a3@1"],
            }
        ),
    )
    assert found.accepted_orders == 2 and found.busy
    assert found.loading_adapters == {"m1": {"a3"}}
    assert isinstance(read_report("i-1", b"[]"), errors.Failure)


def test_events_of_other_keys_are_not_documents():
    """The store also holds carobsail's own keys and keys of others."""
    reader = PlatformDocuments()
    event = WatchEvent("carobsail/order-giver", b"{}", 5)
    assert reader.configuration(event) is None
    assert reader.target(event) is None
    removal = WatchEvent(documents.TARGETS_PREFIX + "i-1", None, 6)
    assert reader.target(removal) == "i-1"


@pytest.mark.parametrize(
    "kind, objective_ms, event_gap_ms, caller_idle_timeout_s",
    [
        ("streaming", 500, 300, 2.4),
        ("streaming", 100, 100, 2.0),
        ("streaming", 4000, 300, 16.0),
        ("safe", 4000, 300, float("inf")),
    ],
)
def test_silence_after_which_callers_leave(
    kind, objective_ms, event_gap_ms, caller_idle_timeout_s
):
    """Requests ran until their deadline after their callers had left."""
    plain = documents._Route(
        "r", "h", "/", kind, 15_000, 2, objective_ms, gapAimMs=event_gap_ms
    )
    assert (
        documents._route(plain).caller_idle_timeout_s == caller_idle_timeout_s
    )


def test_client_accounts():
    """Callers of a deployment with accounts are identified by their keys."""
    assert read({}).accounts is None
    tenants = [
        {
            "name": "hule930",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "perS": 201534,
            "burst": 403068,
        },
        {"name": "wuno96b", "apiKeys": [], "unit": None, "perS": 1.5},
    ]
    accounts = read({"tenants": tenants}).accounts
    assert accounts.accounts == {
        "hule930": ClientAccount("hule930", 1, 201534, 403068, True, 200),
        "wuno96b": ClientAccount("wuno96b", None, 1.5),
    }
    assert accounts.authenticate("Bearer k2").name == "hule930"
    routes = [dict(CONFIGURATION["routes"][0], anonymous=True)]
    assert read({"routes": routes}).routes()[0].anonymous


def test_account_that_no_header_can_name_is_malformed():
    """The name of an account is sent to targets as the value of a header."""
    for name in ("", "a b", "a\r\nx: 1", "\u20ac"):
        found = read({"tenants": [{"name": name, "apiKeys": ["k"]}]})
        assert isinstance(found, errors.Failure)


def read(changes):
    """Decodes the configuration with some fields replaced."""
    data = json.dumps({**CONFIGURATION, **changes}).encode()
    return read_configuration(data, 5)
