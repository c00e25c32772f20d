"""Tests of the inventory."""

import pytest

from bench import fleet
from carobsail import errors, inventory, inventorysource, standin_platform


def test_reader_parses_again_only_what_has_changed():
    """Guards R13 and R17: an old or a broken document stays in force."""
    reader = inventory.Reader()
    first = fleet.document(fleet.build_inventory([], 1, 2))
    found = reader.read(first)
    assert found == inventory.parse(first)
    assert reader.read(bytes(first)) is found
    assert reader.read(first[:-1]) is None
    assert reader.read(first) == found
    second = fleet.document(fleet.build_inventory([], 1, 3))
    assert reader.read(second) == inventory.parse(second)


@pytest.mark.memory_network
async def test_unchanged_document_is_not_transferred_again():
    """Guards R17: a leader reads megabytes a second of unchanged inventory."""
    standin = standin_platform.InventoryStandin(b"{1}")
    await standin.start("127.0.0.1")
    source = inventorysource.InventorySource(standin.url)
    assert await source.fetch() == b"{1}"
    assert await source.fetch() == b"{1}"
    assert standin.unchanged == 1
    standin.publish(b"{2}")
    assert await source.fetch() == b"{2}"
    assert standin.unchanged == 1
    standin.available = False
    assert isinstance(await source.fetch(), errors.Failure)
    source.close()
    await standin.stop()
