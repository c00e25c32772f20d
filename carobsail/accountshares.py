"""This instance's part of the limits of client accounts.

A limit holds over all instances. A data centre may use what the others leave
of it, and at least an even part; other data centres report the demand of
their busiest accounts. Inside a data centre its part is divided among the
instances, half evenly and half by their demand.
"""

from collections.abc import Callable, Mapping

from carobsail import admission, configuration

# A report of an instance's demand counts this long.
REPORT_VALID_S = 3.0
# Data centres report every 4 s, so two lost reports end one's demand.
CENTRE_REPORT_VALID_S = 12.0
# Accounts reported to other data centres: those nearest to their limits. At
# 24 data centres 16 of them take about 2 KB/s of the 7 KB/s for control.
MAX_REPORTED = 16
# Share of a limit below which demand is not reported.
REPORT_ABOVE = 0.1


class AccountShares:
    """Demand of client accounts here and in other data centres."""

    __slots__ = ("_admission", "_centres", "_instance", "_policy", "_reports")

    def __init__(
        self,
        instance: str,
        limits: admission.Admission,
        policy: Callable[[str], configuration.Policy | None],
    ) -> None:
        """Creates the shares of an instance that is alone.

        Args:
          instance: This instance.
          limits: Enforces the shares.
          policy: Returns the policy of a client account.
        """
        self._instance = instance
        self._admission = limits
        self._policy = policy
        self._reports: dict[str, tuple[float, dict[str, float]]] = {}
        self._centres: dict[str, tuple[float, dict[str, float]]] = {}

    def report(
        self, instance: str, accounts: dict[str, float], now: float
    ) -> None:
        """Takes the requests a second of each account at an instance."""
        self._reports[instance] = (now, accounts)

    def report_centre(
        self, data_centre: str, accounts: dict[str, float], now: float
    ) -> None:
        """Takes the requests a second of accounts in another data centre."""
        self._centres[data_centre] = (now, accounts)

    def busiest(self, instances: list[str], now: float) -> dict[str, float]:
        """Returns the demand of this data centre to report to others."""
        used = []
        for account, wanted in self._demand(instances, now).items():
            policy = self._policy(account)
            if policy is not None:
                rate = sum(wanted.values())
                share = rate / policy.limits.requests_per_s
                if share >= REPORT_ABOVE:
                    used.append((share, account, rate))
        used.sort(reverse=True)
        return {account: rate for _, account, rate in used[:MAX_REPORTED]}

    def rebalance(
        self, instances: list[str], data_centres: int, now: float
    ) -> None:
        """Divides the limits anew.

        Args:
          instances: Ready instances of the data centre, this one included.
          data_centres: Number of data centres.
          now: Loop time in seconds.
        """
        shares = {}
        concurrency = {}
        for account, wanted in self._demand(instances, now).items():
            policy = self._policy(account)
            if policy is None:
                continue
            rate = policy.limits.requests_per_s
            centre = self._centre_part(account, rate, data_centres, now)
            total = sum(wanted.values())
            own = wanted.get(self._instance, 0.0) / total if total else 0.0
            even = 1.0 / len(instances)
            shares[account] = centre * (
                admission.EVEN_SHARE * even + (1.0 - admission.EVEN_SHARE) * own
            )
            limit = max(1, int(policy.limits.concurrency * centre))
            divided = admission.divide_limit(limit, wanted)
            concurrency[account] = divided.get(self._instance, 1)
        default = 1.0 / len(instances)
        self._admission.rebalance(default, shares, concurrency)

    def _centre_part(
        self, account: str, rate: float, data_centres: int, now: float
    ) -> float:
        """Returns the part of a limit that this data centre may use."""
        others = sum(
            accounts.get(account, 0.0)
            for reported_at, accounts in self._centres.values()
            if now - reported_at <= CENTRE_REPORT_VALID_S
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
        reported_at, accounts = self._reports.get(name, (now, {}))
        return accounts if now - reported_at <= REPORT_VALID_S else {}
