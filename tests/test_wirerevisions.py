"""Guards messages about revisions between instances of two versions.

The version before is the last one that knew no eras.
"""

import zlib

import builders_io
import msgspec
import pytest
from builders_copies import mirror_of, serve_copy

from carobsail import (
    errors,
    keyvalue,
    operatorport,
    peersnapshot,
    storecopy,
    storeera,
    summaries,
    wirerevisions,
)
from carobsail.storeera import MAX_ERA, REVISIONS_PER_ERA, combine

pytestmark = pytest.mark.memory_network

# Messages that the version before has encoded.
OLD_CHANGES = bytes.fromhex(
    "009aa76368616e6765730764679294a16bc4017665c294a4676f6e65c067c2ad31302e30"
    "2e302e313a3831343491ad31302e302e302e323a38313434c30000"
)
OLD_STATUS = bytes.fromhex(
    "00dc0011a5626f61726407039090c00467cb3fe000000000000090909080cb000000000000"
    "0000909000"
)
OLD_ANSWER = bytes.fromhex("0094a772656e6577656402cb400400000000000067")
OLD_COPY = bytes.fromhex(
    "78019b9a7edafe0103181c9a387961f611c6b2d4899396a4e7e7a5a601009bd10b4f"
)


class OldKeyChange(msgspec.Struct, array_like=True):
    """`KeyChange` of the version before."""

    key: str
    value: bytes | None
    revision: int
    omitted: bool = False


class OldStoreChanges(msgspec.Struct, array_like=True, tag="changes"):
    """`StoreChanges` of the version before."""

    fence: int
    before: int
    after: int
    changes: list[OldKeyChange]
    source: str
    deputies: list[str] | None = None
    is_deputy: bool = False
    parts: int = 0
    part: int = 0


class OldFleetUpdate(msgspec.Struct, array_like=True, tag="board"):
    """`FleetUpdate` of the version before, up to the store's revision."""

    fence: int
    number: int
    holdings: list[msgspec.Raw]
    loads: list[msgspec.Raw]
    incoming_models: list[msgspec.Raw] | None
    members: int
    store_revision: int = 0


class OldRenewalAnswer(msgspec.Struct, array_like=True, tag="renewed"):
    """`RenewalAnswer` of the version before."""

    number: int
    ttl_s: float
    store_revision: int = 0


class OldItem(msgspec.Struct, array_like=True):
    """A value of a copy in the version before."""

    key: str
    value: bytes
    revision: int


class OldCopy(msgspec.Struct, array_like=True):
    """Changes of a copy in the version before."""

    revision: int
    age_s: float
    is_full: bool
    items: list[OldItem]
    removed: list[tuple[str, int]]


OldMessage = OldStoreChanges | OldFleetUpdate | OldRenewalAnswer


def changes_of(era):
    """Returns the message in `OLD_CHANGES` with revisions of an era."""
    return summaries.StoreChanges(
        fence=7,
        before=combine(era, 100),
        after=combine(era, 103),
        changes=[
            summaries.KeyChange("k", b"v", combine(era, 101)),
            summaries.KeyChange("gone", None, combine(era, 103)),
        ],
        source="10.0.0.1:8144",
        deputies=["10.0.0.2:8144"],
        is_deputy=True,
    )


def status_of(era):
    """Returns the message in `OLD_STATUS` with a revision of an era."""
    return summaries.FleetUpdate(
        fence=7,
        number=3,
        holdings=[],
        loads=[],
        incoming_models=None,
        members=4,
        store_revision=combine(era, 103),
        store_age_s=0.5,
    )


def answer_of(era, lease_era=None):
    """Returns the message in `OLD_ANSWER` with a revision of an era."""
    return summaries.RenewalAnswer(
        number=2, ttl_s=2.5, store_revision=combine(era, 103), era=lease_era
    )


def copy_of(era):
    """Returns the changes in `OLD_COPY` with revisions of an era."""
    return storecopy.CopyChanges(
        combine(era, 103),
        0.5,
        False,
        (keyvalue.KeyValue("k", b"v", combine(era, 101)),),
        (("gone", combine(era, 102)),),
    )


@pytest.mark.parametrize("era", [0, 2])
def test_messages_of_the_version_before_are_of_the_receivers_era(era):
    """During an update of the instances, half of them ignored the others."""
    assert wirerevisions.decode(OLD_CHANGES, era) == changes_of(era)
    assert wirerevisions.decode(OLD_STATUS, era) == status_of(era)
    assert wirerevisions.decode(OLD_ANSWER, era) == answer_of(era)
    assert peersnapshot.decode(OLD_COPY, era) == copy_of(era)


@pytest.mark.parametrize("era", [0, 2])
def test_the_version_before_reads_revisions_without_their_era(era):
    """It would refuse revisions that are not those of its own store."""
    decoder = msgspec.msgpack.Decoder(OldMessage)
    for message, old in (
        (changes_of(era), OLD_CHANGES),
        (status_of(era), OLD_STATUS),
        (answer_of(era), OLD_ANSWER),
        (answer_of(era, lease_era=era), OLD_ANSWER),
    ):
        sent = wirerevisions.encode(message)
        assert sent[:1] == b"\0"
        assert decoder.decode(sent[1:]) == decoder.decode(old[1:])
    decoder = msgspec.msgpack.Decoder(OldCopy)
    sent = zlib.decompress(peersnapshot.encode(copy_of(era)))
    assert decoder.decode(sent) == decoder.decode(zlib.decompress(OLD_COPY))


@pytest.mark.parametrize("own_era", [0, 1, 2])
def test_messages_keep_their_era(own_era):
    """A late message of an earlier era must not count as of the present one."""
    two_eras = msgspec.structs.replace(changes_of(1), before=100, changes=[])
    for message in (
        changes_of(0),
        changes_of(1),
        two_eras,
        status_of(0),
        status_of(1),
        answer_of(0, lease_era=0),
        answer_of(1, lease_era=1),
    ):
        sent = wirerevisions.encode(message)
        assert wirerevisions.decode(sent, own_era) == message
    for era in (0, 1):
        sent = peersnapshot.encode(copy_of(era))
        assert peersnapshot.decode(sent, own_era) == copy_of(era)


def test_message_has_no_changes_of_another_era():
    """A revision was combined with the era of the other changes."""
    rows = [summaries.KeyChange("k", b"v", combine(n, 101)) for n in range(3)]
    sent = msgspec.structs.replace(changes_of(1), changes=rows)
    received = wirerevisions.decode(wirerevisions.encode(sent), 1)
    assert received.changes == [rows[1]]


def test_copy_with_a_value_of_the_next_era_keeps_it():
    """A key that was left out of a full copy was removed by its receiver."""
    values = tuple(
        keyvalue.KeyValue(f"k{n}", b"v", combine(n, 101)) for n in range(3)
    )
    sent = storecopy.CopyChanges(combine(1, 103), 0.5, True, values)
    assert peersnapshot.decode(peersnapshot.encode(sent), 0) == sent


def test_renewal_in_a_later_era_states_no_revision():
    """The revision of an old copy counted as one of the new era."""
    sent = wirerevisions.encode(answer_of(0, lease_era=1))
    received = wirerevisions.decode(sent, 0)
    assert (received.store_revision, received.era) == (0, 1)


@pytest.mark.parametrize("era", [-1, MAX_ERA + 1, 2**63, "1", 1.5, True, [1]])
def test_message_with_an_invalid_era_is_malformed(era):
    """A number that is not an era would put all later revisions back."""
    for message in (changes_of(1), status_of(1), answer_of(1)):
        sent = summaries.encode(msgspec.structs.replace(message, era=era))
        assert wirerevisions.decode(sent, 0) is None
    sent = msgspec.structs.replace(changes_of(1), before_era=era)
    assert wirerevisions.decode(summaries.encode(sent), 0) is None
    for item_era, copy_era in ((era, 1), (None, era)):
        content = [9, 0.5, True, [["k", b"v", 1, item_era]], [], copy_era]
        sent = zlib.compress(msgspec.msgpack.encode(content))
        assert isinstance(peersnapshot.decode(sent), errors.Failure)


@pytest.mark.parametrize("revision", [-1, REVISIONS_PER_ERA])
def test_message_with_an_invalid_revision_is_malformed(revision):
    """A revision above those of one era raises the era itself."""
    for message in (status_of(0), answer_of(0)):
        sent = msgspec.structs.replace(message, store_revision=revision)
        assert wirerevisions.decode(summaries.encode(sent), 0) is None
    change = summaries.KeyChange("k", b"v", revision)
    for field in ({"before": revision}, {"after": revision},
                  {"changes": [change]}):  # fmt: skip
        sent = msgspec.structs.replace(changes_of(0), **field)
        assert wirerevisions.decode(summaries.encode(sent), 0) is None


def era_mirror(era):
    """Returns a mirror with two values of an era."""
    mirror = mirror_of()
    mirror.copy.apply(
        [
            keyvalue.WatchEvent("a", b"1", combine(era, 7)),
            keyvalue.WatchEvent("b", b"2", combine(era, 8)),
        ],
        combine(era, 9),
    )
    return mirror


async def test_copies_are_read_in_their_era():
    """An instance that had missed a new era got only its last changes."""
    server = await serve_copy(era_mirror(2))
    address = f"127.0.0.1:{server.port}"
    reader = peersnapshot.HttpPeerReader()
    for after, keys in (
        (0, ["a", "b"]),
        (combine(1, 5000), ["a", "b"]),
        (combine(2, 7), ["b"]),
        (combine(3, 1), []),
    ):
        changes = await reader.read_changes(address, after, 0.0)
        assert [v.key for v in changes.values] == keys
        assert changes.revision == combine(2, 9)
    known = keyvalue.KeyValue("b", b"2", combine(2, 8))
    assert await reader.read_value(address, "b", combine(2, 8)) == known
    assert await reader.read_value(address, "b", combine(1, 5000)) == known
    await server.close()


async def test_queries_of_the_version_before_are_of_the_own_era():
    """Its long poll would return the whole copy each time."""
    mirror = era_mirror(2)
    query = {"after": "7", "wait_ms": "0"}
    answer = await peersnapshot.answer_peer(mirror, "/changes", query)
    assert [v.key for v in peersnapshot.decode(answer, 0).values] == ["b"]
    for revision, count in (("8", 1), ("9", 0)):
        query = {"key": "b", "revision": revision}
        answer = await peersnapshot.answer_peer(mirror, "/value", query)
        assert len(peersnapshot.decode(answer, 0).values) == count


@pytest.mark.parametrize(
    "query",
    [
        {"after": "7", "era": "-1"},
        {"after": "7", "era": str(MAX_ERA + 1)},
        {"after": "7", "era": "x"},
        {"after": "7", "era": "9" * 5000},
        {"after": "-1"},
        {"after": str(REVISIONS_PER_ERA), "era": "0"},
    ],
)
async def test_query_with_an_invalid_revision_is_refused(query):
    """A number from outside raised an error in the instance asked."""
    query["wait_ms"] = "0"
    answer = await peersnapshot.answer_peer(era_mirror(2), "/changes", query)
    assert answer.reason is errors.Reason.BAD_REQUEST


async def test_the_version_before_is_asked_as_it_expects():
    """It waits for a change after a revision that it never reaches."""
    queries = []

    async def answer_peer(path, query):
        queries.append(
            (path, query["after" if "after" in query else "revision"])
        )
        return OLD_COPY

    port = operatorport.OperatorPort(
        dict, lambda: True, lambda: True, answer_peer=answer_peer
    )
    server = await builders_io.start_server(port.handle)
    address = f"127.0.0.1:{server.port}"
    reader = peersnapshot.HttpPeerReader(lambda: 3)
    assert await reader.read_changes(address, 0, 0.0) == copy_of(3)
    after = combine(2, 50)
    assert await reader.read_changes(address, after, 0.0) == copy_of(2)
    found = await reader.read_value(address, "k", after)
    assert found == copy_of(2).values[0]
    assert queries == [("/changes", "0"), ("/changes", "50"), ("/value", "50")]
    await server.close()


def test_revision_is_shown_with_its_era():
    """An operator compared the combined number with the store's revision."""
    assert [storeera.describe(n) for n in (0, 65, combine(2, 65))] == [
        "0",
        "65",
        "2:65",
    ]
