"""Tests the retry budget that all instances share."""

import random

from carobsail.retrybudget import SharedRetryBudget

RATIO, ALLOWANCE, WINDOW_S = 0.2, 54.0, 10.0


def test_all_instances_together_keep_the_bound():
    """If each instance uses the whole budget, the sum exceeds it."""
    rng = random.Random(5)
    budgets = [SharedRetryBudget(RATIO, ALLOWANCE, WINDOW_S) for _ in range(7)]
    requests, repeats = [], []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(60.0)
        budget = rng.choice(budgets)
        budget.count_request(now)
        requests.append(now)
        for _ in range(3):
            if budget.take_retry(7, now):
                repeats.append(now)
    for end in repeats:
        seen = sum(end - WINDOW_S < t <= end for t in repeats)
        asked = sum(end - WINDOW_S < t <= end for t in requests)
        assert seen <= RATIO * asked + ALLOWANCE


def test_window_slides():
    """After a burst, no retries are available again within the window."""
    budget = SharedRetryBudget(0.0, 40.0, WINDOW_S)
    taken = sum(budget.take_retry(5, 1.0) for _ in range(50))
    assert taken == 6
    assert not budget.take_retry(5, 10.9)
    assert budget.take_retry(5, 11.1)


def test_small_instance_count_is_not_trusted():
    """An instance that cannot see the others takes no larger share."""
    budget = SharedRetryBudget(0.0, 40.0, WINDOW_S)
    assert sum(budget.take_retry(1, 1.0) for _ in range(50)) == 10
