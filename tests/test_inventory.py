"""Guards the parser and the client of the platform's inventory.

Numbers such as R13 refer to the requirements in docs/design.md.
"""

import pytest

from bench import fleet
from carobsail import errors, inventory, inventorysource, standin_platform


def test_parser_parses_again_only_what_has_changed():
    """R13, R17: an outdated or a malformed document must not stay in force."""
    parser = inventory.CachingParser()
    first = fleet.encode_inventory(fleet.build_inventory([], 1, 2))
    parsed = parser.parse(first)
    assert parsed == inventory.parse(first)
    assert parser.parse(bytes(first)) is parsed
    assert parser.parse(first[:-1]) is None
    assert parser.parse(first) == parsed
    second = fleet.encode_inventory(fleet.build_inventory([], 1, 3))
    assert parser.parse(second) == inventory.parse(second)


@pytest.mark.memory_network
async def test_unchanged_document_is_not_transferred_again():
    """R17: a leader must not fetch megabytes per second without a change."""
    standin = standin_platform.InventoryStandin(b"{1}")
    await standin.start("127.0.0.1")
    source = inventorysource.InventorySource(standin.url)
    assert await source.fetch() == b"{1}"
    assert await source.fetch() == b"{1}"
    assert standin.not_modified_count == 1
    standin.publish(b"{2}")
    assert await source.fetch() == b"{2}"
    assert standin.not_modified_count == 1
    standin.available = False
    assert isinstance(await source.fetch(), errors.Failure)
    source.close()
    await standin.stop()
