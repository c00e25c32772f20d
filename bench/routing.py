"""Compares the routing policies on simulated engine queues.

Run with `python -m bench.routing`. All policies get the same requests, the same
scheduling in the engines and reports of the same age; only the choice of the
target differs. Model residency is fixed, so that only adapters are loaded. A
request that a full queue refuses counts as not on time.
"""

import functools
import math
import random
import statistics
from typing import Any

import fire
import msgspec
from hdrh import histogram

from bench import queues, workload
from carobsail import estimation, inventory, prefixes, routing

REPORT_INTERVAL_S = 1.0
LOST_EVENT_SHARE = 0.02
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 150  # One server-sent event for each token.
REGION_LATENCY_S = 0.02
CENTRE_LATENCY_S = 0.0005
REGION_BYTES_PER_S = 15e6 / 8
CENTRE_BYTES_PER_S = 1.25e9

Row = dict[str, Any]


class Entry:
    """An entry instance: its view of the engines and its routing."""

    def __init__(self, run: "Run", name: str, data_centre: str, policy: str):
        self._run = run
        self._name = name
        self.data_centre = data_centre
        rng = random.Random(f"{run.seed}/{name}")
        self._policy = routing.create(policy, rng)
        self.reported = estimation.ReportedWork(run.deployment.instances)
        self.lengths = estimation.OutputLengths()
        self.slowdowns = estimation.Slowdowns()
        self.index = prefixes.PrefixIndex()
        self.adapters: dict[str, frozenset[str]] = {}
        self.owned: set[str] = set()

    def route(self, job: queues.Job) -> None:
        """Chooses an engine for a job and sends it there."""
        now = self._run.clock.now
        length = self.lengths.expect(job.account, job.path, job.model)
        body = job.prompt_tokens * BYTES_PER_PROMPT_TOKEN
        request = routing.RouteRequest(
            job.model,
            job.due_at,
            job.first_token_due_at,
            job.adapter,
            body,
            int(length * BYTES_PER_OUTPUT_TOKEN),
        )
        views = {}
        for engine in self._run.engines:
            if job.model in engine.models:
                views[engine.target.name] = self._view(engine, job, length)
        chosen = self._policy.choose(
            request, [view for view, _ in views.values()], now
        )
        # At least one engine holds the model.
        assert isinstance(chosen, routing.TargetView)
        work = views[chosen.name][1]
        engine = self._run.engines_by_name[chosen.name]
        job.expected = work
        self._record_dispatch(engine, job, length)
        self._run.send(job, self, engine, body)

    def observe_answer(self, engine: queues.Engine, job: queues.Job) -> None:
        """Updates the estimates from a finished answer."""
        name = engine.target.name
        self.reported.ended(name, job.attempt)
        self.lengths.observe(
            job.account, job.path, job.model, job.output_tokens
        )
        real = msgspec.structs.replace(
            job.expected, output_tokens=job.output_tokens
        )
        unloaded = estimation.predict(
            engine.target, estimation.Backlog(0, 0.0), real
        )
        observed_s = job.finished_at - job.prefill_started_at
        expected = unloaded.finish_s - unloaded.start_s
        self.slowdowns.observe(name, job.model, expected, observed_s)

    def _view(
        self, engine: queues.Engine, job: queues.Job, length: float
    ) -> tuple[routing.TargetView, estimation.Work]:
        now, target = self._run.clock.now, engine.target
        if target.name in self.owned:
            backlog = engine.work.backlog(now)
            adapters = frozenset(engine.adapters)
        else:
            backlog = self.reported.backlog(target, now)
            adapters = self.adapters.get(target.name, frozenset())
        share = self.index.cached_share(target.name, (job.prefix,))
        share *= job.prefix_tokens / job.prompt_tokens
        missing = bool(job.adapter) and job.adapter not in adapters
        load_s = self._run.deployment.adapter_load_s if missing else 0.0
        work = estimation.Work(job.prompt_tokens, length, share, load_s)
        slowdown = self.slowdowns.factor(target.name, job.model)
        prefill_s = (
            job.prompt_tokens * (1.0 - share) / target.prefill_tokens_per_s
        )
        view = routing.TargetView(
            target.name,
            engine.models,
            estimation.predict(target, backlog, work, slowdown),
            adapters,
            prefill_s,
            backlog.in_flight,
            target.slots,
            demoted=self.slowdowns.is_slow(target.name, job.model),
            link=self._run.network_link(self, engine),
        )
        return view, work

    def _record_dispatch(
        self, engine: queues.Engine, job: queues.Job, length: float
    ) -> None:
        name = engine.target.name
        self.reported.record_sent(name, job.attempt, length)
        known_adapters = self.adapters.get(name, frozenset())
        self.adapters[name] = known_adapters | {job.adapter}
        if name not in self.owned:
            self.index.record_sent_prompt(name, (job.prefix,))


class Run:
    """One policy at one deployment with one seed."""

    def __init__(self, deployment: workload.Deployment, policy: str, seed: int):
        self.deployment = deployment
        self.seed = seed
        self.clock = queues.Clock()
        self.rng = random.Random(f"{seed}/{deployment.name}")
        self.engines = self._engines()
        self.engines_by_name = {e.target.name: e for e in self.engines}
        centres = list(deployment.regions)
        self.entries = [
            Entry(self, f"i{n}", centres[n % len(centres)], policy)
            for n in range(deployment.instances)
        ]
        for number, engine in enumerate(self.engines):
            owners = [
                e
                for e in self.entries
                if e.data_centre == engine.target.data_centre
            ]
            owners[number % len(owners)].owned.add(engine.target.name)
        regions = set(deployment.regions.values())
        self.links = {r: queues.Link(REGION_BYTES_PER_S) for r in regions}
        self.assignments: dict[int, tuple[Entry, queues.Engine]] = {}
        self.published_events: dict[str, int] = {}
        self.on_time = 0
        self.finished = 0
        self.refused = 0
        self.first_ms = histogram.HdrHistogram(1, 3_600_000, 3)

    def network_link(
        self, entry: Entry, engine: queues.Engine
    ) -> routing.NetworkLink | None:
        """Returns the network link from an entry instance to an engine."""
        source, destination = entry.data_centre, engine.target.data_centre
        if source == destination:
            return None
        if not self._crosses_regions(entry, engine):
            return routing.NetworkLink(
                CENTRE_LATENCY_S, CENTRE_BYTES_PER_S, False
            )
        link = self.links[self.deployment.regions[source]]
        queued = link.queued_bytes(self.clock.now)
        return routing.NetworkLink(
            REGION_LATENCY_S, REGION_BYTES_PER_S, True, queued
        )

    def send(
        self, job: queues.Job, entry: Entry, engine: queues.Engine, size: int
    ) -> None:
        """Sends a job from an entry instance to an engine."""
        self.assignments[job.number] = (entry, engine)
        when = self._transfer(entry, engine, entry.data_centre, size)
        self.clock.at(when, lambda: engine.arrive(job))

    def row(self, policy: str) -> Row:
        """Simulates all requests and returns the figures."""
        for job, number in workload.make_jobs(self.deployment, self.rng):
            entry = self.entries[number]
            self.clock.at(job.arrived_at, functools.partial(entry.route, job))
        for tick in range(int(workload.DURATION_S / REPORT_INTERVAL_S)):
            self.clock.at(tick * REPORT_INTERVAL_S, self._report_loads)
        self.clock.run()
        share = self.on_time / self.finished
        return {
            "deployment": self.deployment.name,
            "policy": policy,
            "seed": self.seed,
            "requests": self.finished,
            "refused": self.refused,
            "on_time_share": share,
            "on_time_share_per_engine": share / len(self.engines),
            "adapter_loads": sum(e.adapter_loads for e in self.engines),
            "p95_first_token_s": self.first_ms.get_value_at_percentile(95)
            / 1000.0,
            "region_link_bytes": sum(
                link.total_bytes for link in self.links.values()
            ),
        }

    def _crosses_regions(self, entry: Entry, engine: queues.Engine) -> bool:
        regions = self.deployment.regions
        destination = engine.target.data_centre
        return regions[entry.data_centre] != regions[destination]

    def _transfer(
        self, entry: Entry, engine: queues.Engine, source: str, size: int
    ) -> float:
        """Returns when bytes sent now between the two arrive."""
        if entry.data_centre == engine.target.data_centre:
            return self.clock.now
        if not self._crosses_regions(entry, engine):
            return self.clock.now + CENTRE_LATENCY_S
        link = self.links[self.deployment.regions[source]]
        return link.transfer(size, self.clock.now) + REGION_LATENCY_S

    def _engines(self) -> list[queues.Engine]:
        built = []
        for pool, centres in self.deployment.pools.items():
            for number, centre in enumerate(centres):
                models = frozenset(
                    f"{pool}-m{model}"
                    for model in range(self.deployment.models[pool])
                    if (number - model) % len(centres)
                    < self.deployment.copies[pool]
                )
                target = inventory.Target(
                    f"{pool}-{number}",
                    inventory.Kind.ENGINE,
                    centre,
                    "192.0.2.1:80",
                    pool,
                )
                load_s = self.deployment.adapter_load_s
                built.append(
                    queues.Engine(
                        target, models, self.clock, load_s, self._finish
                    )
                )
        return built

    def _finish(self, job: queues.Job) -> None:
        entry, engine = self.assignments.pop(job.number)
        self.finished += 1
        if math.isinf(job.finished_at):
            self.refused += 1
            return
        size = job.output_tokens * BYTES_PER_OUTPUT_TOKEN
        source = engine.target.data_centre
        answered_at = self._transfer(entry, engine, source, size)
        latency_s = (
            REGION_LATENCY_S if self._crosses_regions(entry, engine) else 0.0
        )
        first_at = job.first_token_at + latency_s
        self.on_time += (
            answered_at <= job.due_at and first_at <= job.first_token_due_at
        )
        first_ms = (first_at - job.arrived_at) * 1000.0
        self.first_ms.record_value(max(1, math.ceil(first_ms)))
        self.clock.at(answered_at, lambda: entry.observe_answer(engine, job))

    def _report_loads(self) -> None:
        now = self.clock.now
        for engine in self.engines:
            name = engine.target.name
            in_flight, tokens = engine.work.reported_load(now)
            start = self.published_events.get(name, 0)
            self.published_events[name] = len(engine.events)
            for entry in self.entries:
                entry.reported.report(name, in_flight, tokens, now)
                entry.adapters[name] = frozenset(engine.adapters)
                if name not in entry.owned:
                    continue
                for event in engine.events[start:]:
                    if self.rng.random() >= LOST_EVENT_SHARE:
                        entry.index.apply(name, event)


def run(seed: int) -> list[Row]:
    """Simulates each policy at each deployment; returns a row for each."""
    return [
        Run(deployment, policy, seed).row(policy)
        for deployment in (workload.VALTELLINA, workload.KAGSA)
        for policy in routing.policy_names()
    ]


def main(first: int = 1, last: int = 3) -> None:
    """Prints the rows of all seeds and their means.

    Args:
      first: First seed.
      last: Last seed.
    """
    print(
        f"{'deployment':<11}{'policy':<18}{'seed':>5}{'requests':>9}"
        f"{'refused':>8}{'on time':>9}{'/engine':>9}{'loads':>8}{'p95 s':>8}"
        f"{'MB link':>9}"
    )
    rows = [row for seed in range(first, last + 1) for row in run(seed)]
    for row in rows + _means(rows):
        print(
            "{deployment:<11}{policy:<18}{seed:>5}{requests:>9.0f}"
            "{refused:>8.0f}{on_time_share:>9.4f}"
            "{on_time_share_per_engine:>9.4f}{adapter_loads:>8.0f}"
            "{p95_first_token_s:>8.3f}{megabytes:>9.2f}".format(
                **row, megabytes=row["region_link_bytes"] / 1e6
            )
        )


def _means(rows: list[Row]) -> list[Row]:
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        key = row["deployment"], row["policy"]
        groups.setdefault(key, []).append(row)
    return [
        {"deployment": deployment, "policy": policy, "seed": "mean"}
        | {
            name: statistics.fmean(row[name] for row in group)
            for name in group[0]
            if name not in ("deployment", "policy", "seed")
        }
        for (deployment, policy), group in groups.items()
    ]


if __name__ == "__main__":
    fire.Fire(main)
