"""Guards which targets take new work."""

from builders_serving import engine_entry, entry

from carobsail.targetbook import EXPIRY_GRACE_S, News, TargetBook


def listed(book, service, now):
    return [t.entry.identity for t in book.of_service(service, now)]


def test_leaving_target_takes_no_work():
    """Work for a target that left breaks the drain bound."""
    book = TargetBook()
    book.put(entry(), 0.0)
    book.put(entry(leaving=True, revision=2), 1.0)
    assert listed(book, "plain", 1.0) == []


def test_removed_target_is_gone_at_once():
    """Some targets leave without a word: only their entry goes."""
    book = TargetBook()
    book.put(entry(), 0.0)
    book.remove("t1", 1.0)
    assert listed(book, "plain", 1.0) == []


def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace():
    """Entries lapse while the store is away and are back within 2 s."""
    book = TargetBook()
    book.put(entry(), 0.0)
    book.store_contact(False, 10.0)
    book.remove("t1", 10.5)
    assert listed(book, "plain", 10.0 + EXPIRY_GRACE_S - 0.1) == ["t1"]
    assert listed(book, "plain", 10.0 + EXPIRY_GRACE_S) == []


def test_lapsed_entry_that_came_back_stays():
    """A live target was dropped after its entry had been renewed."""
    book = TargetBook()
    book.put(entry(), 0.0)
    book.store_contact(False, 10.0)
    book.remove("t1", 10.5)
    book.put(entry(revision=9), 11.0)
    assert listed(book, "plain", 20.0) == ["t1"]


def test_older_entry_is_ignored():
    """A late listing must not bring a leaving target back."""
    book = TargetBook()
    book.put(entry(leaving=True, revision=5), 0.0)
    book.put(entry(revision=3), 1.0)
    assert listed(book, "plain", 1.0) == []


def test_new_start_under_the_old_identity_knows_nothing():
    """An engine that restarted is empty and has no requests."""
    book = TargetBook()
    book.put(engine_entry(), 0.0)
    book.get("e1").in_flight = 5
    book.put(engine_entry(models=(), born=2000, revision=2), 1.0)
    assert book.get("e1").in_flight == 0
    assert book.get("e1").held == {}


def test_order_giver_goes_before_a_late_heartbeat():
    """An entry of 1 s ago took away an adapter that was just loaded."""
    book = TargetBook()
    book.put(engine_entry(), 0.0)
    assert book.tell("e1", {"m1": frozenset({"a1"})}, 5.0)
    book.put(engine_entry(revision=2), 6.0)
    assert book.get("e1").held == {"m1": frozenset({"a1"})}
    book.put(engine_entry(revision=3), 9.0)
    assert book.get("e1").held == {"m1": frozenset()}


def test_pause_grows_with_failures_and_ends_with_an_answer():
    """A dead target was tried by each request."""
    book = TargetBook()
    book.put(entry(), 0.0)
    target = book.get("t1")
    first = target.failed(0.0)
    assert target.failed(0.0) == 2 * first
    target.record_success()
    assert target.failed(0.0) == first


def test_sign_of_life_is_no_news():
    """76 entries renewed each second woke all waiting requests each time."""
    book = TargetBook()
    assert book.put(engine_entry(), 0.0) is News.LISTED
    assert book.put(engine_entry(revision=2), 1.0) is News.NONE
    held = engine_entry(revision=3, models=("m1", "m2"))
    assert book.put(held, 2.0) is News.HOLDINGS
    leaving = engine_entry(revision=4, leaving=True)
    assert book.put(leaving, 3.0) is News.LISTED
    assert book.put(engine_entry(revision=5, born=2000), 4.0) is News.LISTED
    assert book.remove("e1", 5.0) is News.LISTED
