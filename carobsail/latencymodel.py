"""Latency models of the targets of a service, learned from their responses.

Speeds differ by factors between deployments, and the platform does not state
them. Each parameter starts from an initial value and follows measurements.
"""

import collections
import math
from collections.abc import Collection, Sequence

import msgspec

# Share of the prediction error that one measurement corrects, at first and
# after many measurements: an initial value may be wrong by a factor, and load
# unknown to this instance makes single responses late.
INITIAL_LEARNING_RATE = 0.3
MIN_LEARNING_RATE = 0.05
# Measurements after which the learning rate is half of the initial one.
RATE_HALVING_SAMPLES = 20
# Measurements are clamped to the range between the prediction divided and
# multiplied by this: a response delayed by a paused target or by unknown load
# says nothing about the speed.
MAX_ERROR_RATIO = 2.0
# Lower bound of a factor, as a share of its initial value.
MIN_FACTOR_SHARE = 0.01

# Initial values of the seconds to the first event: of an idle engine, per
# prompt token to be processed before, and per request in flight.
FIRST_EVENT_S = 0.03
PROMPT_TOKEN_S = 1.0 / 18_000.0
FIRST_EVENT_PER_REQUEST_S = 0.002
# Initial values of the seconds per token of a stream's maximum length: alone,
# and in addition per other request in flight. Both are low, since responses may
# be far shorter than the maximum.
STREAM_TOKEN_S = 0.001
STREAM_TOKEN_PER_REQUEST_S = 0.00001
# Initial values of the seconds of a plain request: per unit of
# `Forecast.rounds`, and in addition per other request in flight.
PLAIN_REQUEST_S = 0.03
PLAIN_PER_REQUEST_S = 0.2 * PLAIN_REQUEST_S
# Initial mean of the prompt tokens of a request that its engine has not cached.
UNCACHED_PROMPT_TOKENS = 1900.0
# Share of the responses that arrive within their prediction multiplied by the
# safety factor. Requests that other instances sent meanwhile are unknown, so
# single responses take twice the mean and more.
SAFETY_FACTOR_QUANTILE = 0.85
INITIAL_SAFETY_FACTOR = 2.0
SAFETY_FACTOR_STEP = 0.05
# Kinds of streams that engines treat differently: the urgent and the relaxed
# ones of rank 0, and the same of all other ranks.
STREAM_KINDS = 4
# Streams with at least this objective in seconds yield to the others.
RELAXED_OBJECTIVE_S = 5.0
# Share of the streams that end within their corrected prediction. A request
# that is more likely to miss its deadline than not is refused, as an engine
# would work on it in vain.
END_RATIO_QUANTILE = 0.5
# Step of the logarithm of the ratio per sample, at first and later.
INITIAL_END_RATIO_STEP = 0.3
MIN_END_RATIO_STEP = 0.05
# Bounds of the ratio; streams of the relaxed kind took 9 times the predicted
# time in the median of a heavy day.
MIN_END_RATIO = 0.2
MAX_END_RATIO = 20.0
# Initial mean seconds of a stream, and weight of one in its moving average.
RESIDENCE_S = 3.0
RESIDENCE_WEIGHT = 0.05
MIN_RESIDENCE_S = 0.01
# Samples reported to the coordinator at a time.
MAX_SAMPLES = 4
# Weight of one request in the moving average of uncached prompt tokens.
UNCACHED_TOKENS_WEIGHT = 0.02


def stream_kind(rank: int, objective_s: float) -> int:
    """Returns the kind of a stream.

    Args:
      rank: Its rank; 0 is the highest.
      objective_s: Its latency objective in seconds.
    """
    return 2 * (rank > 0) + (objective_s >= RELAXED_OBJECTIVE_S)


class OnlineLinearModel:
    """A linear model whose factors are learned from single measurements.

    Each measurement moves the factors by the error of the prediction,
    normalised by the size of the inputs (normalised least mean squares).

    Attributes:
      factors: Current factor of each input.
    """

    __slots__ = ("_initial", "_samples_seen", "factors")

    def __init__(self, *initial: float) -> None:
        """Creates a model.

        Args:
          initial: Initial factors, which also determine their lower bounds.
        """
        self._initial = initial
        self._samples_seen = 0
        self.factors = list(initial)

    def predict(self, *inputs: float) -> float:
        """Returns the prediction for inputs."""
        return sum(f * x for f, x in zip(self.factors, inputs, strict=True))

    def learn(self, measured: float, *inputs: float) -> None:
        """Updates the factors by a measurement for inputs."""
        predicted = self.predict(*inputs)
        measured = max(
            predicted / MAX_ERROR_RATIO,
            min(measured, predicted * MAX_ERROR_RATIO),
        )
        # Relative to the factors, so that each changes by a share of itself.
        shares = [f * x for f, x in zip(self.factors, inputs, strict=True)]
        size = sum(s * s for s in shares)
        if size <= 0.0:
            return
        rate = INITIAL_LEARNING_RATE / (
            1.0 + self._samples_seen / RATE_HALVING_SAMPLES
        )
        self._samples_seen += 1
        step = max(MIN_LEARNING_RATE, rate) * (measured - predicted) / size
        self.factors = [
            max(MIN_FACTOR_SHARE * start, factor * (1.0 + step * share))
            for factor, share, start in zip(
                self.factors, shares, self._initial, strict=True
            )
        ]


class LatencySample(msgspec.Struct, array_like=True, frozen=True):
    """Measured latency of one engine response; also sent to the coordinator.

    Attributes:
      service: Service of the engine.
      prompt_tokens: Prompt tokens that the engine had to process before the
        first event, as estimated when the request was sent.
      uncached_tokens: Uncached prompt tokens of the request itself.
      in_flight: Other requests in flight at the engine.
      first_s: Seconds to the first event.
      answer_tokens: Maximum number of tokens of the response; 0 if it broke
        off.
      generation_s: Seconds from the first event to the end.
      predicted_s: Predicted seconds from the first event to the end, without
        the correction by the learned ratio; 0 if they were not predicted.
      stream_kind: Kind of the stream; see `stream_kind`.
      model: Model; empty if the target states no pace.
    """

    service: str
    prompt_tokens: float
    uncached_tokens: float
    in_flight: int
    first_s: float
    answer_tokens: int = 0
    generation_s: float = 0.0
    predicted_s: float = 0.0
    stream_kind: int = 0
    model: str = ""


class LatencyModel:
    """Latency model of the targets of one service.

    Attributes:
      safety_factor: Quantile `SAFETY_FACTOR_QUANTILE` of the ratio of the
        measured to the predicted time to the first event.
      mean_uncached_tokens: Moving average of the prompt tokens of a request
        that its engine has not cached.
      end_ratios: Quantile `END_RATIO_QUANTILE` of the ratio of the measured to
        the predicted time from the first event to the end, by kind of stream.
      residence_s: Moving average of the seconds of a complete stream.
    """

    __slots__ = (
        "_answer",
        "_end_samples",
        "_first",
        "_plain",
        "end_ratios",
        "residence_s",
        "safety_factor",
        "mean_uncached_tokens",
    )

    def __init__(self) -> None:
        """Creates a model with the initial values."""
        self.safety_factor = INITIAL_SAFETY_FACTOR
        self._first = OnlineLinearModel(
            FIRST_EVENT_S, PROMPT_TOKEN_S, FIRST_EVENT_PER_REQUEST_S
        )
        self._answer = OnlineLinearModel(
            STREAM_TOKEN_S, STREAM_TOKEN_PER_REQUEST_S
        )
        self._plain = OnlineLinearModel(PLAIN_REQUEST_S, PLAIN_PER_REQUEST_S)
        self.mean_uncached_tokens = UNCACHED_PROMPT_TOKENS
        self.end_ratios = [1.0] * STREAM_KINDS
        self._end_samples = [0] * STREAM_KINDS
        self.residence_s = RESIDENCE_S

    def prompt_s(self, tokens: float) -> float:
        """Predicts the seconds in which an engine processes prompt tokens."""
        return self._first.factors[1] * tokens

    def first_event_s(self, tokens: float, in_flight: float) -> float:
        """Predicts the seconds to an engine's first event.

        Args:
          tokens: Prompt tokens to be processed before, including the request's.
          in_flight: Other requests in flight at the engine.
        """
        return self._first.predict(1.0, tokens, in_flight)

    def generation_s(self, answer_tokens: int, in_flight: float) -> float:
        """Predicts the seconds from the first event to the end of a stream."""
        return answer_tokens * self._answer.predict(1.0, in_flight)

    def plain_s(self, rounds: float, in_flight: float) -> float:
        """Predicts the seconds of a plain request.

        Args:
          rounds: 1 plus the queue ahead in units of the target's slots.
          in_flight: Other requests in flight at the target.
        """
        return self._plain.predict(rounds, in_flight)

    def occupancy_s(self, tokens: float) -> float:
        """Predicts how long one more request occupies an engine."""
        return self.prompt_s(tokens) + self._first.factors[2]

    @property
    def plain_per_request_s(self) -> float:
        """Seconds by which a plain request delays others at its target."""
        return self._plain.factors[1]

    def learn(self, sample: LatencySample) -> None:
        """Updates the model by a response of an engine."""
        inputs = (1.0, sample.prompt_tokens, sample.in_flight)
        exceeded = sample.first_s > self.safety_factor * self._first.predict(
            *inputs
        )
        correction = SAFETY_FACTOR_QUANTILE - 1.0 + exceeded
        self.safety_factor = max(
            1.0, self.safety_factor + SAFETY_FACTOR_STEP * correction
        )
        self._first.learn(sample.first_s, *inputs)
        self.mean_uncached_tokens += UNCACHED_TOKENS_WEIGHT * (
            sample.uncached_tokens - self.mean_uncached_tokens
        )
        if sample.answer_tokens:
            self._answer.learn(
                sample.generation_s / sample.answer_tokens,
                1.0,
                sample.in_flight,
            )

        if sample.predicted_s > 0.0:
            self._learn_end(sample)

    def _learn_end(self, sample: LatencySample) -> None:
        """Updates the ratio of measured to predicted ends of streams."""
        kind = max(0, min(sample.stream_kind, STREAM_KINDS - 1))
        served = sample.answer_tokens > 0
        if served:
            seconds = sample.first_s + sample.generation_s
            self.residence_s += RESIDENCE_WEIGHT * (seconds - self.residence_s)
            self.residence_s = max(MIN_RESIDENCE_S, self.residence_s)
        ratio = self.end_ratios[kind]
        exceeded = sample.generation_s > ratio * sample.predicted_s
        if not served and not exceeded:
            return  # It broke off before, so its end is not known.
        step = max(
            MIN_END_RATIO_STEP,
            INITIAL_END_RATIO_STEP
            / (1.0 + self._end_samples[kind] / RATE_HALVING_SAMPLES),
        )
        self._end_samples[kind] += 1
        ratio *= math.exp(step * (END_RATIO_QUANTILE - 1.0 + exceeded))
        self.end_ratios[kind] = max(MIN_END_RATIO, min(ratio, MAX_END_RATIO))

    def record_plain(
        self, rounds: float, in_flight: float, duration_s: float
    ) -> None:
        """Updates the model by a response of a plain target."""
        self._plain.learn(duration_s, rounds, in_flight)

    def parameters(self) -> list[float]:
        """Returns the parameters for engines, to be sent to other instances."""
        return [
            *self._first.factors,
            *self._answer.factors,
            self.mean_uncached_tokens,
            self.safety_factor,
            *(self.end_ratios if any(self._end_samples) else ()),
        ]

    def set_parameters(self, parameters: Sequence[float]) -> None:
        """Replaces the parameters for engines by those of another instance."""
        if len(parameters) in (7, 7 + STREAM_KINDS) and all(
            parameter > 0.0 for parameter in parameters
        ):
            self._first.factors = list(parameters[:3])
            self._answer.factors = list(parameters[3:5])
            self.mean_uncached_tokens, self.safety_factor = parameters[5:7]
            if len(parameters) > 7:
                self.end_ratios = list(parameters[7:])


# A model with the initial values only.
INITIAL_MODEL = LatencyModel()


class LatencyModels:
    """Latency models by service.

    Attributes:
      samples: Latest samples that have not been reported yet.
    """

    __slots__ = ("_models", "samples")

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._models: dict[str, LatencyModel] = {}
        self.samples: collections.deque[LatencySample] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    def of_service(self, service: str) -> LatencyModel:
        """Returns the model of a service, at first with the initial values."""
        latency_model = self._models.get(service)
        if latency_model is None:
            latency_model = self._models[service] = LatencyModel()
        return latency_model

    def peek(self, service: str) -> LatencyModel:
        """Returns the model of a service without creating one."""
        return self._models.get(service, INITIAL_MODEL)

    def record(self, sample: LatencySample) -> None:
        """Records a response that this instance received."""
        self.of_service(sample.service).learn(sample)
        self.samples.append(sample)

    def take_samples(self) -> list[LatencySample]:
        """Returns the latest samples since the last call."""
        samples = list(self.samples)
        self.samples.clear()
        return samples

    def parameters(self, services: Collection[str]) -> dict[str, list[float]]:
        """Returns the parameters for some services, to be sent to others."""
        return {
            name: latency_model.parameters()
            for name, latency_model in self._models.items()
            if name in services
        }
