"""Messages about the limits of client accounts, at one instance.

As the coordinator, an instance grants amounts to all (`accountusage`). It goes
on doing so without the order lease, for example while the store is away, until
it hears of a later coordinator: grants of two coordinators add up only for what
each has been told.
"""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from carobsail import (
    accountadmission,
    accountusage,
    errors,
    keyvalue,
    orderlease,
    storeera,
    summaries,
    telemetry,
    tokenbucket,
)

# Key of the number of instances, which a coordinator writes.
INSTANCE_COUNT_KEY = "carobsail/instance-count"
# The number is written again when it has changed by more than this share.
COUNT_CHANGE = 0.1
# Shortest time between two attempts to write it.
COUNT_WRITE_INTERVAL_S = 2.0

# Limit on summaries that are sent early for requests that need a grant.
URGENT_PER_S = 25.0
URGENT_BURST = 25.0

_log = logging.getLogger(__name__)


class AccountCoordination:
    """Sends and applies the messages about limits of client accounts."""

    def __init__(
        self,
        me: orderlease.Holder,
        incarnation: int,
        lease: orderlease.OrderLease,
        admission: accountadmission.AccountAdmission,
        store: keyvalue.KeyValueClient,
        send: Callable[[summaries.Message, str], None],
        send_summary: Callable[[], None],
    ) -> None:
        """Creates the coordination of an instance.

        Args:
          me: This instance.
          incarnation: Incarnation of its process.
          lease: The order lease as this instance knows it.
          admission: Admits the requests of this instance.
          store: Client of the key-value store.
          send: Sends a message to an address.
          send_summary: Sends an urgent summary.
        """
        self._me = me
        self._incarnation = incarnation
        self._lease = lease
        self._admission = admission
        self._store = store
        self._stored_count = 0
        self._count_written_at = float("-inf")
        self._count_write: asyncio.Task[None] | None = None
        self._send = send
        self._send_summary = send_summary
        self._usage = accountusage.AccountUsage(admission.bounds)
        self._fence = 0
        self._addresses: dict[str, str] = {}
        self._urgent = tokenbucket.TokenBucket(URGENT_PER_S, URGENT_BURST, 0.0)
        admission.on_ask = self._ask

    @property
    def _active(self) -> bool:
        """Whether this instance is the coordinator; may begin a term."""
        if not self._admission.accounts:
            return False
        limits = self._admission.limits
        if self._lease.fence > self._fence:
            self._fence = self._lease.fence
            now = self._admission.boot_clock()
            self._configure(now)
            self._usage.start_term(self._fence, limits.members, now)
        return bool(self._fence) and limits.fence <= self._fence

    @property
    def round_number(self) -> int:
        """Number for `summaries.FleetUpdate.account_number`."""
        return self._usage.number if self._active else 0

    def observe(self, event: keyvalue.WatchEvent) -> None:
        """Applies a change of the number of instances in the store."""
        if event.key != INSTANCE_COUNT_KEY or event.value is None:
            return
        try:
            self._stored_count = max(0, int(event.value))
        except ValueError:
            telemetry.log(
                _log,
                "document_ignored",
                level=logging.WARNING,
                item=event.key,
                revision=storeera.describe(event.mod_revision),
                reason="not a number",
            )
            return
        self._admission.limits.start_alone(
            self._stored_count, self._admission.boot_clock()
        )

    def _store_count(self) -> None:
        """Writes the number of instances if it has changed."""
        count = len(self._usage.instances)
        changed = abs(count - self._stored_count) > COUNT_CHANGE * count
        now = asyncio.get_running_loop().time()
        if changed and now - self._count_written_at >= COUNT_WRITE_INTERVAL_S:
            self._count_written_at = now
            self._count_write = asyncio.create_task(self._write_count(count))

    async def _write_count(self, count: int) -> None:
        written = await self._store.transact(
            [], [keyvalue.Put(INSTANCE_COUNT_KEY, str(count).encode())]
        )
        if isinstance(written, errors.Failure):
            telemetry.log(
                _log,
                "instance_count_not_written",
                count=count,
                reason=str(written.reason),
            )

    def _configure(self, now: float) -> None:
        self._usage.configure(
            self._admission.accounts, self._admission.bounds, now
        )

    def _ask(self) -> None:
        if self._urgent.take(asyncio.get_running_loop().time()):
            self._send_summary()

    def add_counts(self, summary: summaries.Summary) -> summaries.Summary:
        """Returns a summary with the counts of this instance."""
        limits = self._admission.limits
        if not limits.states:
            return summary
        return msgspec.structs.replace(
            summary,
            accounts=limits.changed_counts(self._admission.boot_clock()),
            account_fence=limits.fence,
            account_update=limits.update_number,
            account_members=limits.members,
        )

    def handle(self, message: summaries.Message, address: str) -> None:
        """Handles what a message of an instance says about accounts."""
        if isinstance(message, summaries.Summary):
            if self._active:
                self._add_summary(message, address)
        elif isinstance(message, summaries.FleetUpdate):
            if message.account_number and self._admission.limits.heard(
                message.fence,
                message.account_number,
                message.members,
                self._admission.boot_clock(),
            ):
                self._admission.wake_waiting()
        elif (
            isinstance(message, summaries.AccountUpdate)
            and message.incarnation == self._incarnation
            and self._admission.limits.apply(
                message, self._admission.accounts, self._admission.boot_clock()
            )
        ):
            self._admission.wake_waiting()

    def _add_summary(self, summary: summaries.Summary, address: str) -> None:
        now = self._admission.boot_clock()
        self._addresses[summary.instance] = address
        if self._usage.add_summary(summary, now):
            named = {row.account for row in summary.accounts}
            self._grant(
                summary.instance,
                [a for a in self._usage.accounts_by_urgency() if a in named],
                now,
            )
        if self._usage.end_overdrafts():
            self._grant_all(now)

    def run_round(self) -> None:
        """Sends grants to all instances, as the coordinator."""
        self._admission.record_gauges()
        if not self._active:
            return
        now = self._admission.boot_clock()
        self._configure(now)
        self._usage.start_round(now)
        self._addresses = {
            name: address
            for name, address in self._addresses.items()
            if name in self._usage.instances
        }
        self._grant_all(now, always=not self._lease.fence)
        if self._lease.fence:
            self._store_count()
        # This instance hears itself.
        self._admission.limits.heard(
            self._fence, self._usage.number, len(self._usage.instances), now
        )

    def _grant_all(self, now: float, always: bool = False) -> None:
        accounts = self._usage.accounts_by_urgency()
        for name in list(self._usage.instances):
            self._grant(name, accounts, now, always)

    def _grant(
        self, name: str, accounts: list[str], now: float, always: bool = False
    ) -> None:
        """Sends the rows of an instance that changed, or at least a sign."""
        rows = self._usage.grants(name, accounts, now)
        if not rows and not always:
            return
        instance = self._usage.instances[name]
        update = summaries.AccountUpdate(
            fence=self._fence,
            number=self._usage.next_number(now),
            incarnation=instance.incarnation,
            members=len(self._usage.instances),
            rows=rows,
        )
        if name == self._me.instance:
            self.handle(update, self._me.address)
        else:
            self._send(update, self._addresses[name])
