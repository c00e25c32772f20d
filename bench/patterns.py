"""Replays load patterns on the decision logic and compares policies.

`python -m bench.patterns` prints the table; with `--write` it replaces the one
in docs/platform.md.
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
SPAN_S = 30.0
TAIL_S = 25.0
# A third of the users' large deployment: 13 engines, 57 models, 3 on each.
ENGINES = 13
MODELS = 57
HOT = 6
PER_ENGINE = 3
LOADS_PER_S = 3.7
PER_S = 60.0
LOCATION = targetchoice.Location("a", {"a": "a"})

DRAFT = fleetsim.Kind("draft", 2368, 22, 1.0, 5.0, 4.0, 0)
REDRAFT = fleetsim.Kind("redraft", 2368, 22, 10.0, 20.0, 40.0, 1)
LETTER = fleetsim.Kind("letter", 1460, 172, 2.5, 15.0, 10.0, 0)
MIX = ((DRAFT, 0.73), (REDRAFT, 0.07), (LETTER, 0.2))

Pattern = Callable[[random.Random], list[fleetsim.Request]]
PATTERNS: dict[str, Pattern] = {}
POLICIES: dict[str, Callable[[], fleetsim.Policy]] = {}
# What happens to the engines, by pattern.
CHANGES: dict[str, Callable[[fleetsim.Fleet], None]] = {}


def pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Registers a load pattern."""

    def register(made: Pattern) -> Pattern:
        PATTERNS[name] = made
        return made

    return register


def policy(made: type[fleetsim.Policy]) -> type[fleetsim.Policy]:
    """Registers a policy."""
    POLICIES[made.name] = made
    return made


def _model(rng: random.Random, first: int = 0) -> str:
    """Draws a model: most requests go to a few."""
    if rng.random() < 0.75:
        return f"m{first + rng.randrange(HOT)}"
    return f"m{rng.randrange(MODELS)}"


def _kind(rng: random.Random) -> fleetsim.Kind:
    kinds = [kind for kind, _ in MIX]
    return rng.choices(kinds, [weight for _, weight in MIX])[0]


def _steady(rng: random.Random, per_s: float = PER_S) -> list[fleetsim.Request]:
    return [
        fleetsim.Request(_kind(rng), _model(rng), at)
        for at in fleetsim.poisson(rng, per_s, SPAN_S)
    ]


def _burst(
    rng: random.Random, per_s: float, kind: fleetsim.Kind, models: list[str]
) -> list[fleetsim.Request]:
    times = fleetsim.poisson(rng, per_s, 5.0)
    return [
        fleetsim.Request(kind, rng.choice(models), 10.0 + at) for at in times
    ]


HOT_MODELS = [f"m{n}" for n in range(HOT)]


@pattern("steady")
def steady(rng: random.Random) -> list[fleetsim.Request]:
    """No trouble."""
    return _steady(rng)


@pattern("jump of one kind")
def jump(rng: random.Random) -> list[fleetsim.Request]:
    """Drafts for the busy models at twice the rate for 5 s."""
    return _steady(rng) + _burst(rng, 2 * PER_S, DRAFT, HOT_MODELS)


@pattern("rare models at once")
def rare(rng: random.Random) -> list[fleetsim.Request]:
    """Callers of 30 models that nobody asked for, within 5 s."""
    names = [f"m{n}" for n in range(MODELS - 30, MODELS)]
    return _steady(rng) + _burst(rng, 0.5 * PER_S, REDRAFT, names)


@pattern("demand moves every 7 s")
def moving(rng: random.Random) -> list[fleetsim.Request]:
    """Other models become the busy ones."""
    made = _steady(rng)
    for request in made:
        request.model = _model(rng, HOT * int(request.first_at // 7.0))
    return made


@pattern("a third of the engines gone")
def lost(rng: random.Random) -> list[fleetsim.Request]:
    """They end at second 10 with all that they run."""
    return _steady(rng)


def _lose_third(fleet: fleetsim.Fleet) -> None:
    gone = list(fleet.engines)[: ENGINES // 3]
    fleet.at(10.0, lambda: fleet.lose(gone))


CHANGES["a third of the engines gone"] = _lose_third


@pattern("empty engines added")
def added(rng: random.Random) -> list[fleetsim.Request]:
    """Five come at second 10, under a third more load."""
    return _steady(rng, 1.3 * PER_S)


def _add_five(fleet: fleetsim.Fleet) -> None:
    def act() -> None:
        for number in range(5):
            fleet.add(_engine(f"new{number}", set()))

    fleet.at(10.0, act)


CHANGES["empty engines added"] = _add_five


@pattern("callers repeat at once")
def hasty(rng: random.Random) -> list[fleetsim.Request]:
    """Half of them come back up to five times without waiting."""
    made = jump(rng)
    for request in made:
        if rng.random() < 0.5:
            request.hasty, request.repeats = True, 5
    return made


@pattern("burst past all engines")
def flood(rng: random.Random) -> list[fleetsim.Request]:
    """Three times what the engines can read, for 5 s."""
    return _steady(rng) + _burst(rng, 5 * PER_S, DRAFT, HOT_MODELS)


@policy
class FirstCome(fleetsim.Policy):
    """Engines that hold the model, at random; nobody is refused."""

    name = "first come"

    def choose(self, fleet, request, left_s):
        """See base class."""
        engines = fleet.holding(request.model)
        return fleet.rng.choice(engines) if engines else None


@policy
class LeastOutstanding(fleetsim.Policy):
    """The engine with the fewest requests, as the instance knows them."""

    name = "least outstanding"

    def choose(self, fleet, request, left_s):
        """See base class."""
        engines = fleet.holding(request.model)
        if not engines:
            return None

        def load(engine: fleetsim.Engine) -> tuple[int, float]:
            target = fleet.view(request.instance, engine)
            known = target.in_flight + target.others_in_flight
            return known, fleet.rng.random()

        return min(engines, key=load)


class Decided(fleetsim.Policy):
    """Uses `targetchoice`."""

    learns = True
    knows_silence = True

    def choose(self, fleet, request, left_s):
        """See base class."""
        kind = request.kind
        due_at = request.first_at + kind.patience_s
        silent_at = float("inf")
        if self.knows_silence:
            silent_at = fleet.now + kind.silence_s
        requirements = targetchoice.TargetRequirements(
            fleetsim.SERVICE,
            request.model,
            "",
            kind.prompt_tokens,
            due_at,
            request.first_at + kind.objective_s,
            min(silent_at, due_at),
            kind.answer_tokens if self.learns else 0,
            load_left_s=fleet.load_left_s(request.model),
            waited_s=fleet.now - request.first_at,
            rivals=fleetsim.BOARD_S * fleet.rate(request.model),
            draw=fleet.rng.random(),
        )
        targets = [
            fleet.view(request.instance, engine)
            for engine in fleet.engines.values()
            if not engine.gone
        ]
        latency_model = latencymodel.INITIAL_MODEL
        if self.learns:
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

    def learn(self, fleet, request, rest_s):
        """See base class."""
        if self.learns and not request.late:
            fleet.latency_models[0].learn(
                latencymodel.LatencySample(
                    fleetsim.SERVICE,
                    request.forecast_tokens,
                    request.kind.prompt_tokens,
                    request.forecast_in_flight,
                    request.started_at - request.sent_at,
                    request.kind.answer_tokens,
                    rest_s,
                )
            )


@policy
class Before(Decided):
    """Fixed speeds; callers wait for their whole deadline."""

    name = "before"
    learns = False
    knows_silence = False


@policy
class Present(Decided):
    """What the instances do."""

    name = "present"


def _engine(identity: str, models: set[str]) -> fleetsim.Engine:
    return fleetsim.Engine(
        identity, models, 20_400.0, 0.0051, 0.00015, 64, on_disk=set(models)
    )


def _engines(rng: random.Random) -> list[fleetsim.Engine]:
    """Returns engines with the busy models on several, others on one."""
    places = [f"m{n}" for n in range(HOT)] * 2
    others = [f"m{n}" for n in range(HOT, MODELS)]
    rng.shuffle(others)
    places += others[: ENGINES * PER_ENGINE - len(places)]
    engines = [_engine(f"e{n}", set()) for n in range(ENGINES)]
    for number, name in enumerate(places):
        engines[number % ENGINES].models.add(name)
    return engines


def _pool() -> routetable.EnginePool:
    models = {
        f"m{n}": routetable.Model(f"m{n}", 70_000.0, 9.0, 9.0, 9.0)
        for n in range(MODELS)
    }
    return routetable.EnginePool(models, 64, 122_425, 230_000.0, 8, LOADS_PER_S)


@dataclasses.dataclass(slots=True)
class Row:
    """Shares of the requests by outcome."""

    in_time: float
    late: float
    refused: float
    left: float


def play(name: str, policy_name: str, seed: int) -> tuple[Row, float]:
    """Plays a pattern once; returns the shares and the bound in time."""
    rng = random.Random(seed)
    engines, arrivals = _engines(rng), PATTERNS[name](rng)
    arrivals.sort(key=lambda r: r.first_at)
    bound = fleetsim.bound_in_time(engines, arrivals)
    fleet = fleetsim.Fleet(engines, _pool(), POLICIES[policy_name](), seed)
    if name in CHANGES:
        CHANGES[name](fleet)
    fleet.play(arrivals, SPAN_S + TAIL_S)
    counts = collections.Counter(r.outcome for r in arrivals)
    shares = [
        counts[outcome] / len(arrivals)
        for outcome in ("in_time", "late", "refused", "left")
    ]
    return Row(*shares), bound


def table() -> str:
    """Returns the table of all patterns and policies."""
    heads = ["pattern", "policy", "in time", "late", "refused"]
    heads += ["never served", "bound"]
    lines = ["| " + " | ".join(heads) + " |", "|---|---|---|---|---|---|---|"]
    for name in PATTERNS:
        for policy_name in POLICIES:
            played = [play(name, policy_name, seed) for seed in SEEDS]
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
    """Prints the table; replaces the one of the page with `--write`."""
    made = table()
    print(made)
    if write:
        block = re.compile(
            r"(<!-- table: patterns -->\n).*?(<!-- end -->)", re.S
        )
        text = PAGE.read_text()
        PAGE.write_text(block.sub(rf"\g<1>\n{made}\n\n\g<2>", text))


if __name__ == "__main__":
    fire.Fire(run)
