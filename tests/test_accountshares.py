"""Tests of the division of account limits among instances."""

import builders

from carobsail import accountshares, admission, configuration

LIMITS = configuration.Limits(requests_per_s=120, burst=120, concurrency=60)


def build(names=("e1", "e2")):
    """Returns the shares and limits of the instances of a data centre."""
    policy = builders.build_policy(limits=LIMITS)
    found = {}
    for name in names:
        limits = admission.Admission(name)
        found[name] = (
            accountshares.AccountShares(name, limits, lambda _: policy),
            limits,
        )
    return found


def count_admitted(limits, now):
    """Returns how many requests of a burst are admitted."""
    admitted = 0
    while limits.admit("counter", f"a{admitted}", LIMITS, now) is None:
        admitted += 1
    return admitted


def rebalance(instances, demand, now=1.0, centres=None):
    """Reports demand to all instances and divides the limits."""
    for shares, _ in instances.values():
        for name, rate in demand.items():
            shares.report_instance(name, {"counter": rate}, now)
        for centre, rate in (centres or {}).items():
            shares.report_data_centre(centre, {"counter": rate}, now)
        shares.rebalance(sorted(instances), 3, now)


def test_limits_of_instances_add_up_to_the_limit():
    """Guards against an account that gets its limit at every instance."""
    instances = build()
    rebalance(instances, {"e1": 30.0, "e2": 10.0})
    admitted = [count_admitted(lim, 1.0) for _, lim in instances.values()]
    assert sum(admitted) <= LIMITS.concurrency
    assert admitted[0] > admitted[1]


def test_concentrated_demand_gets_the_whole_limit():
    """Guards against refusals below the limit if one data centre is used."""
    instances = build(("e1",))
    rebalance(instances, {"e1": 100.0})
    assert count_admitted(instances["e1"][1], 1.0) == LIMITS.concurrency


def test_demand_elsewhere_leaves_an_even_part():
    """Guards against exceeding a limit and against starving a data centre."""
    instances = build(("e1",))
    rebalance(instances, {"e1": 100.0}, centres={"dc-2": 120.0})
    assert count_admitted(instances["e1"][1], 1.0) == LIMITS.concurrency // 3


def test_old_reports_expire():
    """Guards against counting a disconnected data centre's demand forever."""
    instances = build(("e1",))
    rebalance(instances, {"e1": 100.0}, centres={"dc-2": 120.0})
    later = 2.0 + accountshares.DATA_CENTRE_REPORT_VALID_S
    shares, limits = instances["e1"]
    shares.report_instance("e1", {"counter": 100.0}, later)
    shares.rebalance(["e1"], 3, later)
    assert count_admitted(limits, later) == LIMITS.concurrency


def test_only_busy_accounts_are_reported_to_other_data_centres():
    """Guards against large reports over the billed link."""
    instances = build(("e1",))
    shares, _ = instances["e1"]
    shares.report_instance("e1", {"counter": 1.0}, 1.0)
    assert shares.busiest_accounts(["e1"], 1.0) == {}
    shares.report_instance("e1", {"counter": 60.0}, 1.0)
    assert shares.busiest_accounts(["e1"], 1.0) == {"counter": 60.0}
