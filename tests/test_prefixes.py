"""Tests of carobsail.prefixes."""

import builders_requests as build
import hypothesis
from hypothesis import strategies as st

from carobsail import prefixes


def test_hashes_depend_on_all_earlier_blocks_and_the_model():
    """Guards against a cached share reported for a different prompt.

    Requirements R3 and R10.
    """
    first = prefixes.hash_blocks("m", "", b"a" * 600)
    assert len(first) == 2
    assert prefixes.hash_blocks("m", "", b"a" * 512 + b"b" * 256)[:2] == first
    assert prefixes.hash_blocks("m", "", b"b" + b"a" * 599)[1] != first[1]
    assert prefixes.hash_blocks("n", "", b"a" * 600)[0] != first[0]
    assert prefixes.hash_blocks("m", "x", b"a" * 600)[0] != first[0]


def test_share_counts_leading_blocks_only():
    """Guards against counting blocks behind a missing one (R9).

    They save no prompt processing.
    """
    index = prefixes.PrefixIndex()
    index.apply("e1", build.cache_event(1, blocks=(1, 2, 4)))
    shares = index.shares(["e1", "e2"], (1, 2, 3, 4))
    assert shares == {"e1": 0.5, "e2": 0.0}


def test_gap_invalidates_only_that_engine():
    """Guards against blocks that stay indexed after a lost removal event.

    Requirement R11.
    """
    index = prefixes.PrefixIndex()
    index.apply("e1", build.cache_event(1, blocks=(1,)))
    index.apply("e2", build.cache_event(1, blocks=(1,)))
    index.apply("e1", build.cache_event(3, blocks=(2,)))
    assert index.cached_share("e1", (1,)) == 0.0
    assert index.cached_share("e1", (2,)) == 1.0
    assert index.cached_share("e2", (1,)) == 1.0


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.data())
def test_never_claims_what_the_engine_dropped(data):
    """Guards R11: lost, repeated, late and restarted events mislead routing."""
    index, held, history = prefixes.PrefixIndex(), {}, []
    state, sequence, incarnation = set(), 0, 1
    kinds = st.sampled_from(["stored", "removed", "cleared", "restart"])
    for kind in data.draw(st.lists(kinds, max_size=25)):
        if kind == "restart":
            state, sequence, incarnation = set(), 0, incarnation + 1
            continue
        blocks = data.draw(st.sets(st.integers(1, 5), max_size=3))
        sequence += 1
        if kind == "cleared":
            state = set()
        state = state | blocks if kind == "stored" else state - blocks
        history.append(build.cache_event(sequence, kind, blocks, incarnation))
        held[incarnation, sequence] = state
    order = st.lists(st.sampled_from(history)) if history else st.just([])
    newest = (0, 0)
    for event in data.draw(order):
        newest = max(newest, (event.incarnation, event.sequence))
        index.apply("e1", event)
        claimed = {b for b in range(1, 6) if index.cached_share("e1", (b,))}
        if event.incarnation == newest[0]:
            assert claimed <= held[newest]


def test_index_is_bounded_and_drops_the_end_of_prefixes_first():
    """Guards against unbounded memory for blocks (R17)."""
    index = prefixes.PrefixIndex(max_blocks=256)
    index.apply("e1", build.cache_event(1, blocks=range(300)))
    assert len(index) == 256
    assert index.cached_share("e1", range(300)) == 256 / 300
    for number in range(8):
        index.record_sent_prompt(f"f{number}", range(100))
    assert len(index) <= 9 * prefixes.MIN_ENGINE_BLOCKS
