"""Random combinations of failures in a cluster (R1, R3 to R5, R8).

Guards against bugs that only show when several failures coincide. The cluster
checks at each quarter second that no engine is overcommitted, no booking runs
twice and no fencing token or revision decreases.
"""

import cluster
import hypothesis
from hypothesis import strategies

KINDS = (
    *("stream", "whole", "book", "book") * 3,
    *("kill", "restart", "leave", "kill_control"),
    *("freeze", "thaw", "die", "revive", "cut_answers", "order_faults"),
    *("service_down", "service_up", "slow", "lose_claims"),
    *("cut_off", "heal", "configure", "repeat_messages"),
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(KINDS),
        strategies.integers(0, 5),
        strategies.sampled_from((0.05, 0.5, 3.0)),
    ),
    min_size=6,
    max_size=16,
)


class Faults:
    """Injects and ends faults in a cluster."""

    def __init__(self, tested):
        self.cluster, self.number = tested, 0

    async def apply(self, kind, n):
        tested = self.cluster
        self.number += 1
        name = tested.names[n]
        target = list(tested.targets.values())[2 * n % len(tested.targets)]
        alive = name in tested.entries
        if kind in ("stream", "whole") and alive:
            body = {"id": f"r{self.number}", "model": f"m{n % 4 + 1}"}
            tested.call(name, body | {"stream": kind == "stream"})
        elif kind == "book" and alive:
            key = f"k{self.number % 3}"
            tested.call(name, {"booking": key}, key)
        elif kind in ("kill", "kill_control") and alive:
            roles = ("control",) if kind == "kill_control" else ()
            tested.kill(name, *roles)
        elif kind == "leave" and alive and name in tested.controls:
            cluster.asyncio.create_task(tested.stop_gracefully(name))
        elif kind == "restart":
            tested.revive(name)
        elif kind in ("freeze", "thaw", "die"):
            getattr(target, kind)()
        elif kind == "revive" and not target.alive:
            target.restart()
        elif kind == "cut_answers":
            target.break_streams_after += [n, 2]
        elif kind == "order_faults":
            target.order_faults += [
                ("late", 7.0),
                ("lost", 0.0),
                ("doubled", 3.0),
            ]
        elif kind in ("service_down", "service_up"):
            tested.service.available = kind == "service_up"
        elif kind == "slow":
            for key_value_link in tested.key_value_links.values():
                key_value_link.delay_s = (0.002, 0.5, 2.0)[n % 3]
        elif kind == "lose_claims":
            tested.key_value_links[name].lose_claims = n
        elif kind in ("cut_off", "heal"):
            getattr(tested, kind)("ab"[n % 2])
        elif kind == "configure":
            cluster.asyncio.create_task(
                tested.configure(due_ms=10000 + self.number)
            )
        elif kind == "repeat_messages":
            tested.duplicating = not tested.duplicating

    async def end(self):
        """Ends all faults."""
        for kind in ("service_up", "slow"):
            await self.apply(kind, 0)
        for target in self.cluster.targets.values():
            target.thaw()
            target.break_streams_after = []
            if not target.alive:
                target.restart()
        for dc in self.cluster.centres:
            self.cluster.heal(dc)
        for name in self.cluster.names:
            self.cluster.revive(name)


async def run(steps):
    tested = cluster.Cluster()
    faults = Faults(tested)
    try:
        await tested.start()
        for kind, number, wait_s in steps:
            await faults.apply(kind, number)
            await tested.run(wait_s)
        await faults.end()
        await tested.run(90)
        await faults.end()  # Instances that were leaving are gone now.
        await tested.run(20)
        tested.call("a0", {"booking": "last"}, "last")
        await tested.run(5)
        tested.check_responses()
        last = tested.calls[-1]
        assert last.outcome == "answered", last.response_body
    finally:
        await tested.close()


@hypothesis.settings(
    derandomize=True,
    max_examples=20,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(STEPS)
def test_promises_hold_under_random_faults(steps):
    with cluster.new_runner() as runner:
        runner.run(run(steps))
