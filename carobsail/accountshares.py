"""This instance's part of the limits of client accounts.

A limit applies to all instances together. A data centre may use what the
others leave of it, and at least an even part; for this, the other data centres
report the demand of their busiest accounts. Inside a data centre its part is
divided among the instances, half evenly and half by their demand.
"""

from collections.abc import Callable, Mapping

from carobsail import admission, configuration

# Validity of an instance's demand report.
INSTANCE_REPORT_VALID_S = 3.0
# Data centres report every 4 s, so after two lost reports the demand of one
# counts as zero.
DATA_CENTRE_REPORT_VALID_S = 12.0
# Only the accounts closest to their limits are reported to other data centres.
# With 24 data centres, 16 accounts take about 2 KB/s of the 7 KB/s available
# for control traffic.
MAX_REPORTED_ACCOUNTS = 16
# Demand below this share of the limit is not reported.
MIN_REPORTED_SHARE = 0.1


class AccountShares:
    """Divides the limits of client accounts by demand.

    Knows the demand at the instances of this data centre and in the others.
    """

    __slots__ = (
        "_admission",
        "_centre_reports",
        "_instance",
        "_policy",
        "_instance_reports",
    )

    def __init__(
        self,
        instance: str,
        limits: admission.Admission,
        policy: Callable[[str], configuration.Policy | None],
    ) -> None:
        """Creates it without any demand reports.

        Args:
          instance: This instance.
          limits: Enforces the shares.
          policy: Returns the policy of a client account.
        """
        self._instance = instance
        self._admission = limits
        self._policy = policy
        self._instance_reports: dict[str, tuple[float, dict[str, float]]] = {}
        self._centre_reports: dict[str, tuple[float, dict[str, float]]] = {}

    def report_instance(
        self, instance: str, accounts: dict[str, float], now: float
    ) -> None:
        """Records the requests per second of each account at an instance."""
        self._instance_reports[instance] = (now, accounts)

    def report_data_centre(
        self, data_centre: str, accounts: dict[str, float], now: float
    ) -> None:
        """Records the requests per second of accounts in a data centre."""
        self._centre_reports[data_centre] = (now, accounts)

    def busiest_accounts(
        self, instances: list[str], now: float
    ) -> dict[str, float]:
        """Returns the demand of this data centre to report to others."""
        used = []
        for account, by_instance in self._demand(instances, now).items():
            policy = self._policy(account)
            if policy is not None:
                rate = sum(by_instance.values())
                share = rate / policy.limits.requests_per_s
                if share >= MIN_REPORTED_SHARE:
                    used.append((share, account, rate))
        used.sort(reverse=True)
        return {
            account: rate for _, account, rate in used[:MAX_REPORTED_ACCOUNTS]
        }

    def rebalance(
        self, instances: list[str], data_centres: int, now: float
    ) -> None:
        """Computes this instance's parts of the limits and applies them.

        Args:
          instances: Ready instances of the data centre, including this one.
          data_centres: Number of data centres.
          now: Time of the event loop's clock in seconds.
        """
        shares = {}
        concurrency = {}
        for account, by_instance in self._demand(instances, now).items():
            policy = self._policy(account)
            if policy is None:
                continue
            rate = policy.limits.requests_per_s
            centre = self._data_centre_part(account, rate, data_centres, now)
            total = sum(by_instance.values())
            own = by_instance.get(self._instance, 0.0) / total if total else 0.0
            even = 1.0 / len(instances)
            shares[account] = centre * (
                admission.EVEN_SHARE * even + (1.0 - admission.EVEN_SHARE) * own
            )
            limit = max(1, int(policy.limits.concurrency * centre))
            divided = admission.divide_limit(limit, by_instance)
            concurrency[account] = divided.get(self._instance, 1)
        default = 1.0 / len(instances)
        self._admission.set_shares(default, shares, concurrency)

    def _data_centre_part(
        self, account: str, rate: float, data_centres: int, now: float
    ) -> float:
        """Returns the part of a limit that this data centre may use."""
        others = sum(
            accounts.get(account, 0.0)
            for reported_at, accounts in self._centre_reports.values()
            if now - reported_at <= DATA_CENTRE_REPORT_VALID_S
        )
        return max(1.0 / data_centres, 1.0 - others / rate)

    def _demand(
        self, instances: list[str], now: float
    ) -> dict[str, dict[str, float]]:
        """Returns the demand of each account by instance."""
        found: dict[str, dict[str, float]] = {}
        for name in instances:
            for account, rate in self._valid_report(name, now).items():
                known = found.setdefault(account, dict.fromkeys(instances, 0.0))
                known[name] = rate
        return found

    def _valid_report(self, name: str, now: float) -> Mapping[str, float]:
        reported_at, accounts = self._instance_reports.get(name, (now, {}))
        return accounts if now - reported_at <= INSTANCE_REPORT_VALID_S else {}
