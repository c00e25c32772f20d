"""Deployments and requests for the routing benchmark."""

import dataclasses
import math
import random

from bench import queues

DURATION_S = 120.0
# While demand is shifted, some models get `SHIFT_FACTOR` times their requests.
SHIFT_START_S = 30.0
SHIFT_END_S = 90.0
SHIFT_FACTOR = 10.0
PREFIX_TOKENS = 400
PROMPT_TOKENS = 600
FIRST_TOKEN_OBJECTIVE_S = 0.63


@dataclasses.dataclass(slots=True, frozen=True)
class Operation:
    """A kind of request.

    Attributes:
      path: Path of the request.
      output_tokens: Mean length of the answer.
      due_s: Seconds from the arrival to the deadline.
      share: Share of this kind in all requests.
    """

    path: str
    output_tokens: float
    due_s: float
    share: float


OPERATIONS = (
    Operation("/draft", 100.0, 8.0, 0.4),
    Operation("/lookup", 20.0, 2.0, 0.6),
)


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes of a deployment (requirements R14 and R15).

    Attributes:
      name: Name.
      regions: Region of each data centre.
      pools: Data centre of each engine, by pool.
      models: Number of models, by pool.
      copies: Number of engines that hold each model, by pool.
      adapters: Number of adapters over all models.
      adapter_load_s: Seconds to load an adapter.
      instances: Number of entry instances.
      shifted: Number of models whose demand grows by `SHIFT_FACTOR` for a time.
      requests_per_s: Requests a second before the shift.
    """

    name: str
    regions: dict[str, str]
    pools: dict[str, tuple[str, ...]]
    models: dict[str, int]
    copies: dict[str, int]
    adapters: int
    adapter_load_s: float
    instances: int
    shifted: int
    requests_per_s: float


VALTELLINA = Deployment(
    "valtellina",
    {"sondrio-a": "sondrio", "sondrio-b": "sondrio", "lecco-a": "lecco"},
    {
        "scrivano": (
            "sondrio-a",
            "sondrio-a",
            "sondrio-b",
            "lecco-a",
            "lecco-a",
        ),
        "sportello": ("sondrio-a", "sondrio-b", "lecco-a"),
    },
    {"scrivano": 11, "sportello": 6},
    {"scrivano": 3, "sportello": 2},
    adapters=60,
    adapter_load_s=0.020,
    instances=7,
    shifted=3,
    requests_per_s=30.0,
)
KAGSA = Deployment(
    "kagsa",
    {"midrand": "gauteng", "germiston": "gauteng", "epping": "western-cape"},
    {
        "clerk-assist": (
            "midrand",
            "midrand",
            "germiston",
            "germiston",
            "epping",
        ),
        "stock-desk": ("midrand", "germiston", "epping"),
    },
    {"clerk-assist": 11, "stock-desk": 6},
    {"clerk-assist": 3, "stock-desk": 2},
    adapters=55,
    adapter_load_s=0.013,
    instances=6,
    shifted=3,
    requests_per_s=30.0,
)


def make_jobs(
    deployment: Deployment, rng: random.Random
) -> list[tuple[queues.Job, int]]:
    """Generates the requests of a run.

    Args:
      deployment: Deployment that receives the requests.
      rng: Source of arrival times, lengths and choices.

    Returns:
      Each request with the index of the entry instance that receives it.
    """
    models = [
        f"{pool}-m{number}"
        for pool, count in deployment.models.items()
        for number in range(count)
    ]
    rng.shuffle(models)
    base = {m: 1.0 / (rank + 4) for rank, m in enumerate(models)}
    scale = deployment.requests_per_s / sum(base.values())
    hot = set(rng.sample(models, deployment.shifted))
    jobs: list[tuple[queues.Job, int]] = []
    for index, model in enumerate(models):
        adapters = list(range(index, deployment.adapters, len(models)))
        rate, at = base[model] * scale, 0.0
        while True:
            shifted = model in hot and SHIFT_START_S <= at < SHIFT_END_S
            at += rng.expovariate(rate * (SHIFT_FACTOR if shifted else 1.0))
            if at >= DURATION_S:
                break
            job = _make_job(len(jobs), model, rng.choice(adapters), at, rng)
            jobs.append((job, rng.randrange(deployment.instances)))
    return jobs


def _make_job(
    number: int, model: str, adapter: int, at: float, rng: random.Random
) -> queues.Job:
    weights = [operation.share for operation in OPERATIONS]
    operation = rng.choices(OPERATIONS, weights)[0]
    # Log-normal with sigma 0.6; 0.18 = 0.6 ** 2 / 2 keeps the mean length.
    mean = math.log(operation.output_tokens) - 0.18
    return queues.Job(
        number,
        f"account-{adapter}",
        operation.path,
        model,
        f"adapter-{adapter}",
        adapter,
        PROMPT_TOKENS,
        PREFIX_TOKENS,
        max(1, round(rng.lognormvariate(mean, 0.6))),
        at,
        at + FIRST_TOKEN_OBJECTIVE_S,
        at + operation.due_s,
    )
