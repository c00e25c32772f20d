"""How fast engines serve each model of a service, against the service's mean.

Load pattern: a small model takes a third of the time of a large one. When all
models are planned with the same number of requests for each copy, a small
model whose demand jumps gets three times the copies that it needs, on engines
taken from other models.
"""

import dataclasses

from carobsail import latencymodel

# Samples of a model after which its time counts; until then it is taken as a
# slow one.
MIN_SAMPLES = 10
# Weight of a sample in the moving average, at least.
MIN_WEIGHT = 0.05
# A sample counts at most as this many times the mean of the service and at
# least as its reciprocal: single ones are late because of unknown load.
MAX_ERROR_RATIO = 3.0
# Largest number of times by which a model is faster than the slow ones.
MAX_SPEEDUP = 3.0
# Quantile of the models' times that the slow ones take: single models look
# slower because their engines are overloaded.
SLOW_QUANTILE = 0.8
# Number of models with enough samples that are compared, at least.
MIN_MODELS = 5
# Share of the prompt tokens ahead of a first event that must be the request's
# own; otherwise the time says more about the requests queued before it.
MIN_OWN_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _ModelTime:
    """Moving average of measured to predicted times of a model."""

    ratio: float = 1.0
    samples: int = 0


class ModelSpeeds:
    """Speeds of the models of all services, learned from latency samples."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        """Creates it without any samples."""
        self._times: dict[tuple[str, str], _ModelTime] = {}

    def learn(
        self,
        sample: latencymodel.LatencySample,
        latency_model: latencymodel.LatencyModel,
    ) -> None:
        """Learns from a sample.

        Args:
          sample: The sample; ignored without a model.
          latency_model: Latency model of its service.
        """
        own_tokens = sample.uncached_tokens
        if not sample.model or own_tokens <= 0.0:
            return
        if own_tokens < MIN_OWN_SHARE * sample.prompt_tokens:
            return
        predicted_s = latency_model.first_event_s(
            sample.prompt_tokens, sample.in_flight
        )
        ratio = sample.first_s / max(predicted_s, 1e-6)
        ratio = max(1.0 / MAX_ERROR_RATIO, min(ratio, MAX_ERROR_RATIO))
        time = self._times.setdefault(
            (sample.service, sample.model), _ModelTime()
        )
        time.samples += 1
        weight = max(MIN_WEIGHT, 1.0 / time.samples)
        time.ratio += weight * (ratio - time.ratio)

    def speedups(self, service: str) -> dict[str, float]:
        """Returns how many times faster models are than the slow ones, from 1.

        Models without enough samples are left out.
        """
        known = {
            model: time.ratio
            for (name, model), time in self._times.items()
            if name == service and time.samples >= MIN_SAMPLES
        }
        if len(known) < MIN_MODELS:
            return {}
        slow = sorted(known.values())[int(SLOW_QUANTILE * (len(known) - 1))]
        return {
            model: max(1.0, min(MAX_SPEEDUP, slow / ratio))
            for model, ratio in known.items()
        }
