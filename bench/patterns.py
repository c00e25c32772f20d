"""Simulates load patterns and compares routing policies on them.

`python -m bench.patterns` prints a table; with `--write` it also replaces the
table in docs/platform.md.
"""

import collections
import dataclasses
import pathlib
import random
import re
from collections.abc import Callable

import fire

from bench import fleetsim
from carobsail import latencymodel, routetable, targetchoice

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "platform.md"
SEEDS = (1, 2, 3)
DURATION_S = 30.0
DRAIN_S = 25.0
# A third of the users' large deployment: 13 engines and 57 models, with 3
# models on each engine.
ENGINE_COUNT = 13
MODEL_COUNT = 57
HOT_MODEL_COUNT = 6
MODELS_PER_ENGINE = 3
LOADS_PER_S = 3.7
REQUESTS_PER_S = 60.0
LOCATION = targetchoice.Location("a", {"a": "a"})

DRAFT = fleetsim.RequestKind("draft", 2368, 22, 1.0, 5.0, 4.0, 0)
REDRAFT = fleetsim.RequestKind("redraft", 2368, 22, 10.0, 20.0, 40.0, 1)
LETTER = fleetsim.RequestKind("letter", 1460, 172, 2.5, 15.0, 10.0, 0)
MIX = ((DRAFT, 0.73), (REDRAFT, 0.07), (LETTER, 0.2))

Pattern = Callable[[random.Random], list[fleetsim.Request]]
PATTERNS: dict[str, Pattern] = {}
POLICIES: dict[str, Callable[[], fleetsim.Policy]] = {}
# Schedules changes to the engines during a simulation, by pattern.
CHANGES: dict[str, Callable[[fleetsim.Simulation], None]] = {}


def pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Registers a load pattern under a name."""

    def register(function: Pattern) -> Pattern:
        PATTERNS[name] = function
        return function

    return register


def policy(cls: type[fleetsim.Policy]) -> type[fleetsim.Policy]:
    """Registers a routing policy under its name."""
    POLICIES[cls.name] = cls
    return cls


def _draw_model(rng: random.Random, first: int = 0) -> str:
    """Draws a model; most requests go to a few hot models."""
    if rng.random() < 0.75:
        return f"m{first + rng.randrange(HOT_MODEL_COUNT)}"
    return f"m{rng.randrange(MODEL_COUNT)}"


def _draw_kind(rng: random.Random) -> fleetsim.RequestKind:
    kinds = [kind for kind, _ in MIX]
    return rng.choices(kinds, [weight for _, weight in MIX])[0]


def _make_steady(
    rng: random.Random, per_s: float = REQUESTS_PER_S
) -> list[fleetsim.Request]:
    return [
        fleetsim.Request(_draw_kind(rng), _draw_model(rng), at)
        for at in fleetsim.poisson(rng, per_s, DURATION_S)
    ]


def _make_burst(
    rng: random.Random,
    per_s: float,
    kind: fleetsim.RequestKind,
    models: list[str],
) -> list[fleetsim.Request]:
    times = fleetsim.poisson(rng, per_s, 5.0)
    return [
        fleetsim.Request(kind, rng.choice(models), 10.0 + at) for at in times
    ]


HOT_MODELS = [f"m{n}" for n in range(HOT_MODEL_COUNT)]


@pattern("steady")
def steady(rng: random.Random) -> list[fleetsim.Request]:
    """Constant request rate; the engines do not change."""
    return _make_steady(rng)


@pattern("jump of one kind")
def drafts_burst(rng: random.Random) -> list[fleetsim.Request]:
    """Adds drafts for the hot models at twice the usual rate for 5 s."""
    return _make_steady(rng) + _make_burst(
        rng, 2 * REQUESTS_PER_S, DRAFT, HOT_MODELS
    )


@pattern("rare models at once")
def rare_models(rng: random.Random) -> list[fleetsim.Request]:
    """Adds requests for 30 models with little demand before, within 5 s."""
    models = [f"m{n}" for n in range(MODEL_COUNT - 30, MODEL_COUNT)]
    return _make_steady(rng) + _make_burst(
        rng, 0.5 * REQUESTS_PER_S, REDRAFT, models
    )


@pattern("demand moves every 7 s")
def shifting_demand(rng: random.Random) -> list[fleetsim.Request]:
    """Other models become the hot ones."""
    arrivals = _make_steady(rng)
    for request in arrivals:
        request.model = _draw_model(
            rng, HOT_MODEL_COUNT * int(request.arrived_at // 7.0)
        )
    return arrivals


@pattern("a third of the engines gone")
def engines_lost(rng: random.Random) -> list[fleetsim.Request]:
    """The engines fail at second 10 together with their requests."""
    return _make_steady(rng)


def _remove_third(fleet: fleetsim.Simulation) -> None:
    removed = list(fleet.engines)[: ENGINE_COUNT // 3]
    fleet.schedule(10.0, lambda: fleet.remove_engines(removed))


CHANGES["a third of the engines gone"] = _remove_third


@pattern("empty engines added")
def engines_added(rng: random.Random) -> list[fleetsim.Request]:
    """Five engines join at second 10, at 1.3 times the usual rate."""
    return _make_steady(rng, 1.3 * REQUESTS_PER_S)


def _add_five(fleet: fleetsim.Simulation) -> None:
    def add() -> None:
        for number in range(5):
            fleet.add_engine(_build_engine(f"new{number}", set()))

    fleet.schedule(10.0, add)


CHANGES["empty engines added"] = _add_five


@pattern("callers repeat at once")
def immediate_retries(rng: random.Random) -> list[fleetsim.Request]:
    """Half of the callers retry up to five times almost at once."""
    arrivals = drafts_burst(rng)
    for request in arrivals:
        if rng.random() < 0.5:
            request.retries_at_once, request.retries_left = True, 5
    return arrivals


@pattern("burst past all engines")
def overload(rng: random.Random) -> list[fleetsim.Request]:
    """Raises load to three times what the engines can read, for 5 s."""
    return _make_steady(rng) + _make_burst(
        rng, 5 * REQUESTS_PER_S, DRAFT, HOT_MODELS
    )


@policy
class RandomEngine(fleetsim.Policy):
    """Picks a random engine that serves the model and refuses nothing."""

    name = "first come"

    def choose(self, fleet, request, remaining_s):
        """See base class."""
        engines = fleet.engines_serving(request.model)
        return fleet.rng.choice(engines) if engines else None


@policy
class LeastOutstanding(fleetsim.Policy):
    """Picks the engine with the fewest requests that the instance knows of."""

    name = "least outstanding"

    def choose(self, fleet, request, remaining_s):
        """See base class."""
        engines = fleet.engines_serving(request.model)
        if not engines:
            return None

        def load(engine: fleetsim.Engine) -> tuple[int, float]:
            target = fleet.view(request.instance, engine)
            known = target.in_flight + target.others_in_flight
            return known, fleet.rng.random()

        return min(engines, key=load)


class TargetChoicePolicy(fleetsim.Policy):
    """Decides with `targetchoice`.

    Attributes:
      uses_observed_speeds: Whether predictions follow observed latencies.
      knows_first_token_timeout: Whether it knows how long a caller waits for
        the first token.
    """

    uses_observed_speeds = True
    knows_first_token_timeout = True

    def choose(self, fleet, request, remaining_s):
        """See base class."""
        kind = request.kind
        due_at = request.arrived_at + kind.timeout_s
        first_token_due_at = float("inf")
        if self.knows_first_token_timeout:
            first_token_due_at = fleet.now + kind.first_token_timeout_s
        requirements = targetchoice.TargetRequirements(
            fleetsim.SERVICE,
            request.model,
            "",
            kind.prompt_tokens,
            due_at,
            request.arrived_at + kind.objective_s,
            min(first_token_due_at, due_at),
            kind.answer_tokens if self.uses_observed_speeds else 0,
            model_ready_in_s=fleet.load_remaining_s(request.model),
            waited_s=fleet.now - request.arrived_at,
            expected_remote_requests=fleetsim.LOAD_REPORT_INTERVAL_S
            * fleet.request_rate(request.model),
            random_draw=fleet.rng.random(),
        )
        targets = [
            fleet.view(request.instance, engine)
            for engine in fleet.engines.values()
            if not engine.removed
        ]
        latency_model = latencymodel.INITIAL_MODEL
        if self.uses_observed_speeds:
            latency_model = fleet.latency_models[0]
        choice = targetchoice.choose_target(
            requirements,
            targets,
            fleet.pool,
            LOCATION,
            fleet.now,
            latency_model,
        )
        if isinstance(choice, targetchoice.Refuse):
            return choice.retry_after_s
        if isinstance(choice, targetchoice.Wait):
            return None
        request.late = choice.late
        request.urgency = 2 + 2 * kind.rank + 3 * choice.late
        request.forecast_tokens = choice.forecast.prompt_tokens
        request.forecast_in_flight = choice.forecast.in_flight
        return fleet.engines[choice.target.entry.identity]

    def learn(self, fleet, request, decode_s):
        """See base class."""
        if self.uses_observed_speeds and not request.late:
            fleet.latency_models[0].learn(
                latencymodel.LatencySample(
                    fleetsim.SERVICE,
                    request.forecast_tokens,
                    request.kind.prompt_tokens,
                    request.forecast_in_flight,
                    request.first_token_at - request.dispatched_at,
                    request.kind.answer_tokens,
                    decode_s,
                )
            )


@policy
class FixedSpeeds(TargetChoicePolicy):
    """Assumes fixed speeds, and that callers wait until their deadline."""

    name = "before"
    uses_observed_speeds = False
    knows_first_token_timeout = False


@policy
class CurrentPolicy(TargetChoicePolicy):
    """Decides as the instances do."""

    name = "present"


def _build_engine(identity: str, models: set[str]) -> fleetsim.Engine:
    return fleetsim.Engine(
        identity, models, 20_400.0, 0.0051, 0.00015, 64, on_disk=set(models)
    )


def _build_engines(rng: random.Random) -> list[fleetsim.Engine]:
    """Builds engines; hot models are on several of them, others on one."""
    places = [f"m{n}" for n in range(HOT_MODEL_COUNT)] * 2
    others = [f"m{n}" for n in range(HOT_MODEL_COUNT, MODEL_COUNT)]
    rng.shuffle(others)
    places += others[: ENGINE_COUNT * MODELS_PER_ENGINE - len(places)]
    engines = [_build_engine(f"e{n}", set()) for n in range(ENGINE_COUNT)]
    for number, name in enumerate(places):
        engines[number % ENGINE_COUNT].models.add(name)
    return engines


def _build_pool() -> routetable.EnginePool:
    models = {
        f"m{n}": routetable.Model(f"m{n}", 70_000.0, 9.0, 9.0, 9.0)
        for n in range(MODEL_COUNT)
    }
    return routetable.EnginePool(models, 64, 122_425, 230_000.0, 8, LOADS_PER_S)


@dataclasses.dataclass(slots=True)
class Row:
    """Share of the requests with each outcome."""

    in_time: float
    late: float
    refused: float
    left: float


def simulate(name: str, policy_name: str, seed: int) -> tuple[Row, float]:
    """Simulates a pattern; returns the shares and the bound on `in_time`."""
    rng = random.Random(seed)
    engines, arrivals = _build_engines(rng), PATTERNS[name](rng)
    arrivals.sort(key=lambda r: r.arrived_at)
    bound = fleetsim.bound_in_time(engines, arrivals)
    fleet = fleetsim.Simulation(
        engines, _build_pool(), POLICIES[policy_name](), seed
    )
    if name in CHANGES:
        CHANGES[name](fleet)
    fleet.run(arrivals, DURATION_S + DRAIN_S)
    counts = collections.Counter(r.outcome for r in arrivals)
    shares = [
        counts[outcome] / len(arrivals)
        for outcome in ("in_time", "late", "refused", "left")
    ]
    return Row(*shares), bound


def table() -> str:
    """Returns a Markdown table of all patterns and policies."""
    headers = ["pattern", "policy", "in time", "late", "refused"]
    headers += ["never served", "bound"]
    lines = ["| " + " | ".join(headers) + " |", "|---|---|---|---|---|---|---|"]
    for name in PATTERNS:
        for policy_name in POLICIES:
            played = [simulate(name, policy_name, seed) for seed in SEEDS]
            means = [
                sum(getattr(row, field) for row, _ in played) / len(played)
                for field in ("in_time", "late", "refused", "left")
            ]
            bound = sum(b for _, b in played) / len(played)
            cells = [name, policy_name]
            cells += [f"{value:.3f}" for value in [*means, bound]]
            lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def run(write: bool = False) -> None:
    """Prints the table; with `--write`, also replaces the page's table."""
    content = table()
    print(content)
    if write:
        table_block = re.compile(
            r"(<!-- table: patterns -->\n).*?(<!-- end -->)", re.S
        )
        text = PAGE.read_text()
        PAGE.write_text(table_block.sub(rf"\g<1>\n{content}\n\n\g<2>", text))


if __name__ == "__main__":
    fire.Fire(run)
