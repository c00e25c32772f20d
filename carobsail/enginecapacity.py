"""Predicts the memory and the streams of engines that state their pace.

Load pattern: 63 instances send long prompts at the same time, and each knows
the load of the others half a second to a second late. An engine whose requests
exceed its memory preempts or crashes, so an engine is used only if its memory
also holds what the others have probably sent since the figures were made. The
others are taken to act like this instance: their sends since then are estimated
from its own, divided by its share of the requests in flight, and spread at
random over the engines.

On a heavy day streams ended up to 7 times later than predicted, because engines
read prompts of later arrivals between their tokens, and because requests of a
more urgent kind preempt them.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence

from carobsail.targetregistry import Target

# Standard deviations above the mean for which an engine keeps memory free. With
# 3, one of 45 engines that were all filled by a few long prompts each exceeded
# its memory in 5 of 40 replays, as such counts have a long tail.
RISK_DEVIATIONS = 4.0
# Largest age of the load of others when it arrives: summaries are sent every
# 0.45 to 0.55 s, and two messages take up to 40 ms between regions.
FIGURE_AGE_S = 0.6
# Own sends are looked at for this long; older ones are known to the others, or
# the figures are lost.
MAX_WINDOW_S = 2.5
# Requests in flight that are added to those of each instance to estimate its
# share, as few requests say little about it.
PRIOR_REQUESTS = 2.0
# Time until the next figures of the others arrive.
FIGURE_INTERVAL_S = 0.5
# Share of the free memory that instances which know nothing of each other may
# fill with their first requests to idle engines.
IDLE_FILL_SHARE = 0.25
# Largest share of the requests that an engine is chosen for, as a multiple of
# an even one: otherwise those with the lowest costs are filled to the limit.
MAX_CONCENTRATION = 4.0
# Smallest work of others for which engines are told apart by their costs.
MIN_WORK_S = 1e-6
# Longest time between two decisions on a request that waits for memory.
DECISION_INTERVAL_S = 0.25
# Largest share of an engine's time that the prompts of later arrivals are taken
# to need, and of a stream's time that late prompts take, which yield to it. The
# learned ratio of ends covers what is beyond.
MAX_PROMPT_SHARE = 0.5
# Derives from a random number another one that is independent in practice.
_DRAW_FACTOR = 997.0


@dataclasses.dataclass(slots=True, frozen=True)
class MemoryNeed:
    """What a request needs of an engine's memory.

    Attributes:
      prompt_tokens: Tokens of its prompt.
      tokens: Tokens that it holds at its end.
      capacity_tokens: Capacity of an engine's memory.
      fill_share: Share of it that is filled by predicted tokens.
      instance_count: Number of instances that send to the engines.
      residence_s: Mean seconds that a request holds its memory.
      draw: Random number in [0, 1).
    """

    prompt_tokens: int
    tokens: int
    capacity_tokens: int
    fill_share: float
    instance_count: int
    residence_s: float
    draw: float

    @property
    def limit_tokens(self) -> float:
        """Predicted tokens up to which an engine is filled."""
        return self.fill_share * self.capacity_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class Room:
    """Engines that have memory for a request.

    Attributes:
      shares: For each engine with memory, by its identity, the largest share of
        the requests of all instances that it may be chosen for. Empty if there
        is no such engine.
      held_tokens: Tokens known or predicted to be at each engine, without those
        that others have sent without notice.
      free_in_s: If no engine has memory, seconds until the first one is
        expected to have it; infinite if none ever has.
    """

    shares: dict[str, float]
    held_tokens: dict[str, float]
    free_in_s: float = 0.0


def applies(fill_share: float, targets: Iterable[Target]) -> bool:
    """Whether memory is looked at: if it is set, and engines state a pace."""
    return fill_share > 0.0 and any(target.pace.known for target in targets)


def find_room(need: MemoryNeed, targets: Sequence[Target], now: float) -> Room:
    """Returns the engines with memory for a request.

    Args:
      need: The request.
      targets: Engines that could take it.
      now: Time of the event loop's clock in seconds.
    """
    limit = need.limit_tokens
    if need.prompt_tokens > need.capacity_tokens:
        return Room({}, {}, math.inf)
    # An answer seldom reaches its stated maximum: what would not even fit alone
    # is sent to an engine without other requests.
    tokens = min(float(need.tokens), limit)
    own_count = sum(target.in_flight for target in targets)
    own_tokens = sum(target.held_tokens for target in targets)
    mean_tokens = (own_tokens + tokens) / (own_count + 1)
    known = {
        target.entry.identity: known_tokens(target, mean_tokens, now)
        for target in targets
    }
    sends = _sends_of_others(need, targets, now)
    shares = {
        name: share
        for name, held in known.items()
        if (share := sends.largest_share(limit - tokens - held)) > 0.0
    }
    if sum(shares.values()) < 1.0:
        shares = _idle_shares(need, targets, known, tokens, now)
    if shares:
        return Room(shares, known)
    free_in_s = min(
        _free_in_s(known[t.entry.identity] + tokens - limit, t, known, need)
        for t in targets
    )
    return Room({}, known, free_in_s)


def known_tokens(target: Target, mean_tokens: float, now: float) -> float:
    """Predicts the tokens of all requests known to be at an engine.

    Args:
      target: The engine.
      mean_tokens: Mean tokens of a request, for those of which only the number
        is known.
      now: Time of the event loop's clock in seconds.
    """
    others = float(target.others_held_tokens)
    if not others:
        # Instances that have not heard a pace yet report no tokens.
        others = target.others_in_flight * mean_tokens
    counted = target.in_flight + target.others_in_flight
    unlisted = max(0, target.known_in_flight(now) - counted)
    return target.held_tokens + others + unlisted * mean_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class _SendsOfOthers:
    """Estimate of requests that others have sent without notice.

    Attributes:
      tokens: Expected sum of their tokens.
      squares: Expected sum of the squares of their tokens.
    """

    tokens: float
    squares: float

    def largest_share(self, free_tokens: float) -> float:
        """Returns the share of the requests for which free tokens suffice.

        The tokens of requests that choose an engine independently have a
        variance of the sum of the squares of their tokens.

        Args:
          free_tokens: Free tokens of the engine.
        """
        if free_tokens < 0.0:
            return 0.0
        if self.tokens <= 0.0:
            return 1.0
        risk = RISK_DEVIATIONS * math.sqrt(self.squares)
        root = math.sqrt(risk * risk + 4.0 * self.tokens * free_tokens) - risk
        return min(1.0, (root / (2.0 * self.tokens)) ** 2)


def _sends_of_others(
    need: MemoryNeed, targets: Sequence[Target], now: float
) -> _SendsOfOthers:
    """Estimates what the others send without notice, at present included.

    Args:
      need: The request, which the others may be sending at the same time.
      targets: Engines among which they choose.
      now: Time of the event loop's clock in seconds.
    """
    figures_at = max(target.others_reported_at for target in targets)
    window_s = min(now - figures_at + FIGURE_AGE_S, MAX_WINDOW_S)
    sent = [
        tokens
        for target in targets
        for at, tokens in target.recent_sends
        if now - at < window_s
    ]
    # An instance with many callers must not take all others to have as many.
    # Its own requests are counted as old as theirs.
    in_flight = sum(target.in_flight for target in targets)
    own = max(0, in_flight - len(sent))
    others = sum(target.others_in_flight for target in targets)
    if now - figures_at > MAX_WINDOW_S:
        own = others = 0
    sent.append(need.tokens)
    # The others together have this many times the requests of this instance.
    ratio = (others + PRIOR_REQUESTS * max(0, need.instance_count - 1)) / (
        own + PRIOR_REQUESTS
    )
    return _SendsOfOthers(
        ratio * sum(sent),
        ratio * sum(tokens * tokens for tokens in sent),
    )


def _idle_shares(
    need: MemoryNeed,
    targets: Sequence[Target],
    known: dict[str, float],
    tokens: float,
    now: float,
) -> dict[str, float]:
    """Returns idle engines if this instance may be among the first to send.

    With few engines, requests of all instances at once would not fit. If no
    instance sent, the engines would stay idle, so each sends at random, with
    the probability with which all together fill a part of the memory.
    """
    idle = [name for name, held in known.items() if not held]
    if any(
        now - at < MAX_WINDOW_S for t in targets for at, _ in t.recent_sends
    ):
        return {}
    all_tokens = need.instance_count * tokens / max(1, len(idle))
    draw = need.draw * _DRAW_FACTOR % 1.0
    if draw * all_tokens > IDLE_FILL_SHARE * need.limit_tokens:
        return {}
    return dict.fromkeys(idle, 1.0 / len(idle)) if idle else {}


def _free_in_s(
    excess_tokens: float,
    target: Target,
    known: dict[str, float],
    need: MemoryNeed,
) -> float:
    """Predicts when an engine has memory for a request.

    Args:
      excess_tokens: Tokens by which the request exceeds what is known to be
        free.
      target: The engine.
      known: Tokens known to be at each engine.
      need: The request.
    """
    if excess_tokens <= 0.0:
        return FIGURE_INTERVAL_S
    # The engine's requests end evenly distributed over their time.
    share = excess_tokens / max(known[target.entry.identity], excess_tokens)
    return max(FIGURE_INTERVAL_S, need.residence_s * share)


def pick_engine(
    costs: Sequence[float],
    shares: Sequence[float],
    others_work_s: float,
    draw: float,
) -> int:
    """Returns the index of an engine; see `loadinterpretation.pick_target`.

    The requests of all instances are spread over the engines by their costs,
    but to none goes more than its largest share.

    Args:
      costs: Predicted seconds to the first event of each engine.
      shares: Largest share of each engine.
      others_work_s: Seconds of work that other instances send until the costs
        are updated, summed over the engines.
      draw: Random number in [0, 1).
    """
    work_s = max(others_work_s, MIN_WORK_S)
    even = MAX_CONCENTRATION / len(shares)
    limited = [min(share, even) for share in shares]
    if sum(limited) < 1.0:
        limited = list(shares)
    highest = [share * work_s for share in limited]
    steps = [(cost, 1) for cost in costs]
    steps += [
        (cost + depth, -1) for cost, depth in zip(costs, highest, strict=True)
    ]
    steps.sort()
    level, filling, filled_s = steps[0][0], 0, 0.0
    for at, change in steps:
        if filled_s + filling * (at - level) >= work_s:
            level += (work_s - filled_s) / filling
            break
        filled_s += filling * (at - level)
        level = at
        filling += change
    depths = [
        max(0.0, min(level - cost, most))
        for cost, most in zip(costs, highest, strict=True)
    ]
    left = draw * sum(depths)
    for index, depth in enumerate(depths):
        left -= depth
        if left < 0.0:
            return index
    return min(range(len(costs)), key=costs.__getitem__)


def stream_s(
    generation_s: float,
    late_prompts_s: float,
    arrivals_per_s: float,
    prompt_s: float,
) -> float:
    """Predicts the seconds from the first event of a stream to its end.

    Args:
      generation_s: Seconds of the stream without further prompts.
      late_prompts_s: Seconds for the prompts that wait behind the stream's own.
      arrivals_per_s: Requests per second that arrive at the engine.
      prompt_s: Seconds for the prompt of one of them.
    """
    prompt_share = min(MAX_PROMPT_SHARE, arrivals_per_s * prompt_s)
    late_prompts_s = min(
        late_prompts_s, generation_s * MAX_PROMPT_SHARE / (1 - MAX_PROMPT_SHARE)
    )
    return (generation_s + late_prompts_s) / (1.0 - prompt_share)
