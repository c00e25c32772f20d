"""Tests of the directory of targets."""

from bench import fleet
from carobsail import (
    directory,
    dispatcher,
    estimation,
    messages,
    prefixes,
)

DEMAND = directory.RequestDemand("m", "m", "", 10, 10.0)


def build_directory():
    found = directory.TargetDirectory(
        fleet.LOCAL_DATA_CENTRE,
        dispatcher.Dispatcher(),
        lambda _: [],
        estimation.Slowdowns(),
        prefixes.PrefixIndex(),
    )
    found.update_inventory(fleet.build_inventory([], 1, 1), 1)
    return found


def test_counts_change_only_what_the_owner_reported():
    """Counts must be ignored without models or from another owner (R9)."""
    targets = build_directory()
    (name,) = targets._targets
    counts = [messages.TargetCounts(name, 16, 9000)]
    targets.record_loads("i1", messages.Loads(1, False, [], {}, counts), 0.0)
    assert targets.target_views(DEMAND, 0.0, False) == []
    load = messages.TargetLoad(name, 0, 0, ["m"], ["a"], True)
    targets.record_loads("i1", messages.Loads(1, True, [load]), 1.0)
    targets.record_loads("i2", messages.Loads(1, False, [], {}, counts), 1.0)
    (view,) = targets.target_views(DEMAND, 1.0, False)
    assert (view.in_flight, view.adapters) == (0, {"a"})
    targets.record_loads("i1", messages.Loads(2, False, [], {}, counts), 1.0)
    (view,) = targets.target_views(DEMAND, 1.0, False)
    assert (view.in_flight, view.adapters) == (16, {"a"})


def test_loads_of_an_older_sender_are_read():
    """A message of an older sender, without the last field, must be read.

    This fails if a field is added that is not last or has no default.
    """
    old = messages.encode(messages.Loads(1, True, []))[:-1]
    data = bytes([old[0] - 1]) + old[1:]  # An array without the last field.
    assert messages.decode(data) == messages.Loads(1, True, [])
