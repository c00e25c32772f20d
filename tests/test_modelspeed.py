"""Tests the learned speeds of models and their effect on copies."""

import random

from builders_serving import engine_pool, engine_state, model

from carobsail import copyplan, modelvalue
from carobsail.latencymodel import LatencyModel, LatencySample
from carobsail.modelspeed import MAX_SPEEDUP, MIN_SAMPLES, ModelSpeeds

# Times of the models against the mean: three large ones and two small ones.
TIMES = {"m1": 1.2, "m2": 1.3, "m3": 1.2, "m4": 0.4, "m5": 0.42}


def learn(speeds, name, time, rng, count=60, **changes):
    latency_model = LatencyModel()
    for _ in range(count):
        fields = {
            "prompt_tokens": 2000,
            "uncached_tokens": 1900,
            "in_flight": rng.randrange(8),
            **changes,
        }
        predicted_s = latency_model.first_event_s(
            fields["prompt_tokens"], fields["in_flight"]
        )
        first_s = predicted_s * time * rng.lognormvariate(0.0, 0.3)
        sample = LatencySample("llm", first_s=first_s, model=name, **fields)
        speeds.learn(sample, latency_model)


def learned(seed=1):
    speeds, rng = ModelSpeeds(), random.Random(seed)
    for name, time in TIMES.items():
        learn(speeds, name, time, rng)
    return speeds


def test_small_models_are_faster():
    """A small model was planned with as many copies as a large one."""
    for seed in range(20):
        speedups = learned(seed).speedups("llm")
        assert all(speedups[name] < 1.5 for name in ("m1", "m2", "m3"))
        assert all(2.0 < speedups[name] <= MAX_SPEEDUP for name in ("m4", "m5"))


def test_nothing_is_concluded_from_few_samples():
    """Single late responses would take copies from a model."""
    speeds, rng = ModelSpeeds(), random.Random(1)
    for name, time in TIMES.items():
        learn(speeds, name, time, rng, count=MIN_SAMPLES - 1)
    assert speeds.speedups("llm") == {}
    learn(speeds, "m4", 0.4, rng)
    assert speeds.speedups("llm") == {}
    assert learned().speedups("other") == {}


def test_samples_behind_other_prompts_and_without_a_model_do_not_count():
    """They say how long the queue was, not how fast the model is."""
    speeds, rng = learned(), random.Random(1)
    before = speeds.speedups("llm")
    learn(speeds, "m4", 3.0, rng, prompt_tokens=20_000)
    learn(speeds, "", 3.0, rng)
    learn(speeds, "m4", 3.0, rng, uncached_tokens=0)
    assert speeds.speedups("llm") == before


def test_fast_model_gets_fewer_copies():
    """28 copies were loaded for a jump that a third of them could serve."""
    pool = engine_pool(model("m1"), model("m4"))
    engines = [
        engine_state(f"e{n}", *(("m4",) if n < 2 else ())) for n in range(20)
    ]
    for speedup, expected in ((1.0, 6), (3.0, 1)):
        demand = {
            "m4": modelvalue.ModelDemand(
                40.0, 0.0, objective_s=1.0, speedup=speedup
            )
        }
        moves = copyplan.plan(pool, engines, demand, 20, 0.0)
        assert len(moves) == expected
