"""Tests that the latency models learn the speeds of targets."""

import random

import pytest
from builders_serving import (
    LOCATION,
    engine_entry,
    engine_pool,
    generation_request,
    model,
)

from carobsail.latencymodel import PROMPT_TOKEN_S, LatencyModel, LatencySample
from carobsail.targetchoice import Refuse, Send, choose_target
from carobsail.targetregistry import Target

# Samples of a minute of traffic: the smallest deployment has 20 streams a
# second, and instances share their samples.
MINUTE = 600
START_SPEED = 1.0 / PROMPT_TOKEN_S
SPEEDS = [0.5 * START_SPEED, START_SPEED, 2.0 * START_SPEED]


def first_s(speed, tokens, in_flight):
    """Returns the seconds to the first event at an engine of a given speed."""
    return 0.012 + tokens / speed + 0.0012 * in_flight


def trained_model(speed, prompt, seed, count=MINUTE):
    """Returns a model trained with responses of engines of a given speed."""
    rng = random.Random(seed)
    latency_model = LatencyModel()
    for _ in range(count):
        ahead = rng.choice([0, 0, 1, 1, 2, 3, 5])
        own = prompt * rng.uniform(0.7, 1.3)
        tokens, in_flight = own + ahead * prompt, rng.randint(ahead, 12)
        measured = first_s(speed, tokens, in_flight) * rng.lognormvariate(
            0, 0.2
        )
        generation_s = 20 * (2.0 / speed * 100 + 0.0005 * in_flight)
        latency_model.learn(
            LatencySample(
                "llm", tokens, own, in_flight, measured, 20, generation_s
            )
        )
    return latency_model


@pytest.mark.parametrize("prompt", [600, 2400, 10_000])
@pytest.mark.parametrize("speed", SPEEDS)
def test_first_event_is_predicted_after_a_minute(speed, prompt):
    """With 18,000 tokens/s assumed for all engines, times were off by 2x."""
    ratios = []
    for seed in range(10):
        latency_model = trained_model(speed, prompt, seed)
        for ahead in (0, 1, 3):
            tokens = prompt * (1 + ahead)
            expected = first_s(speed, tokens, 5)
            ratios.append(latency_model.first_event_s(tokens, 5) / expected)
    assert all(0.8 <= ratio <= 1.2 for ratio in ratios)


@pytest.mark.parametrize("speed", SPEEDS)
def test_end_of_a_stream_is_predicted_after_a_minute(speed):
    """Streams that could not end in time ran until the caller's deadline."""
    latency_model = trained_model(speed, 2400, 1)
    expected = 20 * (2.0 / speed * 100 + 0.0005 * 6)
    assert 0.8 <= latency_model.generation_s(20, 6) / expected <= 1.2


def test_safety_factor_follows_how_far_answers_differ():
    """Half of the responses that were predicted in time came late."""
    safety_factors = {}
    for spread in (0.05, 0.6):
        rng, latency_model = random.Random(1), LatencyModel()
        for _ in range(MINUTE):
            measured = first_s(START_SPEED, 2400, 2)
            measured *= rng.lognormvariate(0.0, spread)
            latency_model.learn(LatencySample("llm", 2400, 2400, 2, measured))
        safety_factors[spread] = latency_model.safety_factor
    assert safety_factors[0.05] < 1.25
    assert 1.4 < safety_factors[0.6] < 2.2


def test_single_outliers_change_little():
    """A response delayed for seconds by a paused engine shows no speed."""
    latency_model = trained_model(START_SPEED, 2400, 1)
    before = latency_model.first_event_s(4800, 5)
    latency_model.learn(LatencySample("llm", 4800, 2400, 5, 30.0))
    assert latency_model.first_event_s(4800, 5) < 1.6 * before


def engine(**changes):
    made = Target(engine_entry("e1"))
    made.held = {"m1": frozenset()}
    for name, value in changes.items():
        setattr(made, name, value)
    return made


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_wrong_start_value_does_no_lasting_harm(factor):
    """Too pessimistic a model refused all requests, so it never improved."""
    latency_model, engines = LatencyModel(), engine_pool(model("m1"))
    latency_model.set_parameters(
        [f * factor for f in latency_model.parameters()[:5]] + [2400.0, 1.5]
    )
    for _ in range(MINUTE):
        choice = choose_target(
            generation_request(),
            [engine()],
            engines,
            LOCATION,
            0.0,
            latency_model,
        )
        assert isinstance(choice, Send)
        forecast = choice.forecast
        duration_s = first_s(
            START_SPEED, forecast.prompt_tokens, forecast.in_flight
        )
        latency_model.learn(
            LatencySample(
                "llm",
                forecast.prompt_tokens,
                forecast.uncached_tokens,
                0,
                duration_s,
            )
        )
    expected = first_s(START_SPEED, 2400, 0)
    assert 0.8 <= latency_model.first_event_s(2400, 0) / expected <= 1.2


def test_stream_that_cannot_end_in_time_is_refused():
    """Its engine worked in vain until the caller's deadline."""
    latency_model = trained_model(0.5 * START_SPEED, 2400, 1)
    busy = engine(others_in_flight=12, others_prompt_tokens=2400)
    request = generation_request(answer_tokens=300, next_event_due_at=4.0)
    engines = engine_pool(model("m1"))
    choice = choose_target(
        request, [busy], engines, LOCATION, 0.0, latency_model
    )
    assert isinstance(choice, Refuse) and choice.reason == "hopeless"
    request.answer_tokens = 20
    choice = choose_target(
        request, [busy], engines, LOCATION, 0.0, latency_model
    )
    assert isinstance(choice, Send)
