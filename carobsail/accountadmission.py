"""Admission of requests under the limits of client accounts at one instance.

`accountlimits` decides; this module waits for grants and tells operators.
"""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Any

from carobsail import (
    accountlimits,
    calls,
    clientaccounts,
    errors,
    headercodec,
    limitbounds,
    storeera,
    telemetry,
)

# How long a request waits for a grant. An answer from another region takes
# 40 ms; one request or answer may be lost.
GRANT_WAIT_S = 0.35
# A request for a grant is repeated once, after this time.
REPEAT_S = 0.07
# Retry-After is multiplied by a random factor between 1 and this.
MAX_RETRY_JITTER = 1.3
# The metrics of further accounts are summed under one name.
MAX_NAMED_ACCOUNTS = 32
OTHER_ACCOUNTS = "other"

_log = logging.getLogger(__name__)


class AccountAdmission:
    """Admits requests of client accounts with limits.

    Attributes:
      limits: Decides on requests.
      accounts: Accounts of the active configuration that have a limit.
      bounds: How limits are judged.
      boot_clock: Clock that includes time for which the machine was suspended.
      on_ask: Called when a request needs a grant of the coordinator.
    """

    def __init__(self, metrics: telemetry.Metrics, rng: random.Random) -> None:
        """Creates an admission without limits."""
        self.bounds = limitbounds.LimitBounds()
        self.limits = accountlimits.AccountLimits(self.bounds)
        self.accounts: dict[str, clientaccounts.ClientAccount] = {}
        # Replaced by the owner of the instance's clocks and messages.
        self.boot_clock: Callable[[], float] = lambda: (
            asyncio.get_running_loop().time()
        )
        self.on_ask: Callable[[], None] = lambda: None
        self._metrics = metrics
        self._rng = rng
        self._named: set[str] = set()
        self._changed = asyncio.Event()

    def configure(
        self, directory: clientaccounts.AccountDirectory | None
    ) -> None:
        """Applies the accounts of a new configuration."""
        found = directory.accounts if directory else {}
        self.accounts = {
            name: account
            for name, account in found.items()
            if account.limit_per_s > 0.0
        }
        self.limits.configure(self.accounts, self.bounds, self.boot_clock())

    def wake_waiting(self) -> None:
        """Wakes the requests that wait for a grant."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def admit(
        self,
        account: clientaccounts.ClientAccount | None,
        metadata: headercodec.RequestMetadata,
    ) -> float | errors.Failure:
        """Charges a request to its account.

        Returns:
          What it was charged, or why it is refused.
        """
        if account is None or account.limit_per_s <= 0.0:
            return 0.0
        amount = account.charge(metadata.prompt_tokens, metadata.answer_tokens)
        decision = self.limits.decide(account, amount, self.boot_clock(), True)
        if decision.verdict is accountlimits.Verdict.ASK:
            decision = await self._wait_for_grant(account, amount)
        if decision.verdict is accountlimits.Verdict.ADMIT:
            self._count("admitted", account.name)
            return amount
        # A random factor keeps callers refused together from returning
        # together.
        spread = self._rng.uniform(1.0, MAX_RETRY_JITTER)
        retry_after_s = decision.retry_after_s * spread
        self._count("limited", account.name)
        telemetry.log(
            _log,
            "account_limited",
            request=metadata.request_id,
            account=account.name,
            charge=amount,
            balance=decision.balance,
            account_level=decision.free,
            allocation=decision.allocation,
            update_age_s=decision.age_s,
            retry_after_s=retry_after_s,
        )
        return errors.Failure(
            errors.Reason.RATE_LIMITED,
            errors.Step.ADMIT,
            "caller",
            errors.Outcome.NOT_RUN,
            f"limit of account {account.name}",
            retry_after_s,
        )

    async def _wait_for_grant(
        self, account: clientaccounts.ClientAccount, amount: float
    ) -> accountlimits.Decision:
        """Asks for a grant and decides again when one arrives."""
        loop = asyncio.get_running_loop()
        state = self.limits.state_of(account)
        ends_at = loop.time() + GRANT_WAIT_S
        repeat_at = loop.time() + REPEAT_S
        state.wanted += amount
        try:
            self.on_ask()
            while True:
                changed = self._changed
                try:
                    async with asyncio.timeout_at(min(repeat_at, ends_at)):
                        await changed.wait()
                except TimeoutError:
                    if repeat_at < ends_at:
                        repeat_at = ends_at
                        self.on_ask()
                now = self.boot_clock()
                unanswered = loop.time() >= ends_at
                decision = self.limits.decide(
                    account, amount, now, False, unanswered
                )
                if decision.verdict is accountlimits.Verdict.ADMIT:
                    return decision
                if unanswered or self.limits.is_used_up(state, amount, now):
                    return decision
        finally:
            state.wanted = max(0.0, state.wanted - amount)

    def settle(self, call: calls.Call) -> None:
        """Returns the charge of a request that ended without being run."""
        if call.account is None or call.progress.may_have_run:
            return
        if call.charge:
            self.limits.give_back(call.account.name, call.charge)
        if call.failure is not None:
            self._count("without_capacity", call.account.name)

    def _count(self, event: str, name: str) -> None:
        self._metrics.count(f"account_{event}_{self._metric_name(name)}")

    def _metric_name(self, name: str) -> str:
        if name not in self._named and len(self._named) >= MAX_NAMED_ACCOUNTS:
            return OTHER_ACCOUNTS
        self._named.add(name)
        return name

    def record_gauges(self) -> None:
        """Records the present allocations and their age."""
        if not self.accounts:
            return
        other = 0.0
        for name in self.accounts:
            state, shown = self.limits.states[name], self._metric_name(name)
            allocation = state.allocation
            if shown == OTHER_ACCOUNTS:
                allocation = other = other + allocation
            self._metrics.gauge(f"account_allocation_{shown}", allocation)
        age_s = self.boot_clock() - self.limits.heard_at
        self._metrics.gauge("account_update_age_s", age_s)

    def limit_left(self, account: clientaccounts.ClientAccount) -> float | None:
        """Returns what this instance may admit now; None without a limit."""
        state = self.limits.states.get(account.name)
        return state.balance + state.free if state else None

    def describe(self) -> dict[str, Any]:
        """Returns the state of the limits, for operators."""
        return {
            "fence": storeera.describe(self.limits.fence),
            "update_age_s": self.boot_clock() - self.limits.heard_at,
            "accounts": {
                name: {
                    field.name: getattr(state, field.name)
                    for field in dataclasses.fields(state)
                    if field.name
                    not in ("recent", "refused", "sent", "send_count")
                }
                for name, state in self.limits.states.items()
            },
        }
