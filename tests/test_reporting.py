"""Tests of the reports of an entry instance."""

from carobsail import dispatcher, messages, reporting


class Running(dispatcher.Dispatcher):
    """Dispatcher that returns scripted loads."""

    def __init__(self, *scripted_loads):
        super().__init__()
        self.scripted_loads = list(scripted_loads)

    def target_loads(self, models_of):
        return list(self.scripted_loads)


class Owned:
    """Owned targets without engines."""

    engines = {}
    models_of = None


def load(target, in_flight=0, models=("m",), serving=True):
    return messages.TargetLoad(
        target, in_flight, 10 * in_flight, list(models), ["a"], serving
    )


def test_only_changed_loads_are_reported_in_full():
    """Guards requirements R9 and R17.

    A change of load must not be missed, and the unchanged models of a target
    must not be sent again every second.
    """
    running = Running(load("busy", 2), load("idle"))
    reporter = reporting.Reporter(Owned(), running, 0.0)
    first = reporter.next_loads({})
    assert [item.target for item in first.targets] == ["busy", "idle"]
    second = reporter.next_loads({})
    assert (second.targets, second.counts) == (
        [],
        [messages.TargetCounts("busy", 2, 20)],
    )
    running.scripted_loads = [
        load("busy", 2, ["m", "n"]),
        load("idle", 0, serving=False),
    ]
    reporter.full_loads()  # A new link must not hide the change from peers.
    assert reporter.next_loads({}).targets == running.scripted_loads
    running.scripted_loads[0] = load("busy", 0, ["m", "n"])
    ended = reporter.next_loads({})
    assert ended.counts == [messages.TargetCounts("busy", 0, 0)]
    assert reporter.next_loads({}) is None
    rounds = [reporter.next_loads({}) for _ in range(10)]
    (full,) = [item for item in rounds if item is not None]
    assert full.full and full.targets == running.scripted_loads
