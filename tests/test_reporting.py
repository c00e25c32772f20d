"""Tests of what an entry instance reports."""

from carobsail import dispatcher, messages, reporting


class Running(dispatcher.Dispatcher):
    """Targets with scripted loads."""

    def __init__(self, *found):
        super().__init__()
        self.found = list(found)

    def loads(self, models_of):
        return list(self.found)


class Owned:
    """No engines."""

    engines = {}
    models_of = None


def load(target, in_flight=0, models=("m",), serving=True):
    return messages.TargetLoad(
        target, in_flight, 10 * in_flight, list(models), ["a"], serving
    )


def test_only_what_changed_is_reported_in_full():
    """Guards R9 and R17: a lost change, or models repeated every second."""
    running = Running(load("busy", 2), load("idle"))
    reporter = reporting.Reporter(Owned(), running, 0.0)
    first = reporter.next_loads({})
    assert [x.target for x in first.targets] == ["busy", "idle"]
    second = reporter.next_loads({})
    assert (second.targets, second.counts) == (
        [],
        [messages.TargetCounts("busy", 2, 20)],
    )
    running.found = [
        load("busy", 2, ["m", "n"]),
        load("idle", 0, serving=False),
    ]
    reporter.full_loads()  # For a new link; the others need the change too.
    assert reporter.next_loads({}).targets == running.found
    running.found[0] = load("busy", 0, ["m", "n"])
    ended = reporter.next_loads({})
    assert ended.counts == [messages.TargetCounts("busy", 0, 0)]
    assert reporter.next_loads({}) is None
    rounds = [reporter.next_loads({}) for _ in range(10)]
    (full,) = [x for x in rounds if x is not None]
    assert full.full and full.targets == running.found
