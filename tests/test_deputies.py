"""Guards how instances switch to the deputies when the relay is not heard."""

import random

from carobsail import deputies
from carobsail.deputies import Deputies


def create_view(addresses, store_first):
    view = Deputies(random.Random(1))
    view.update(addresses, store_first)
    return view


def test_deputies_notice_a_silent_relay_first():
    """Other instances asked the deputies before these had read the store."""
    first = create_view(["b"], store_first=True)
    second = create_view(["a"], store_first=True)
    other = create_view(["a", "b"], store_first=False)
    assert first.extra_wait_s == second.extra_wait_s == 0.0
    assert deputies.MIN_EXTRA_WAIT_S <= other.extra_wait_s
    assert other.extra_wait_s <= deputies.MAX_EXTRA_WAIT_S


def test_instance_without_known_deputies_asks_the_store_first():
    """Otherwise it would wait for deputies that it does not know."""
    assert Deputies(random.Random(1)).store_first


def test_deputy_that_failed_is_asked_again_later_or_when_they_change():
    """A frozen deputy delayed each of its followers by 0.8 s in each round."""
    view = create_view(["a", "b"], store_first=False)
    view.mark_failed("a", 10.0)
    assert not view.can_ask("a", 10.0 + deputies.RETRY_DELAY_S / 2)
    assert view.can_ask("b", 10.0)
    assert view.can_ask("a", 10.0 + deputies.RETRY_DELAY_S)
    view.mark_failed("a", 20.0)
    view.update(["a", "b"], store_first=False)
    assert not view.can_ask("a", 20.0)
    view.update(["a", "c"], store_first=False)
    assert view.can_ask("a", 20.0)
