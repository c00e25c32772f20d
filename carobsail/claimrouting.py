"""Takes idempotency keys for callers' operations, here or at another instance.

A key that callers made is claimed through the data centre's claim writer. A
key that an instance issued is claimed at its issuer, which needs no record.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from carobsail import errors, idempotency, messages

# Longer than the writer's own limit for a claim, which is 5 s.
CLAIM_TIMEOUT_S = 6.0
MAX_WRITERS = 2

Ask = Callable[[str, messages.Message], bool]


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """A claimed key.

    Attributes:
      token: Token of the claim.
      place: Instance that holds the claim.
      settle: Settlement to complete for an issued key, None otherwise.
    """

    token: str
    place: str
    settle: messages.Settle | None = None


class ClaimRouter:
    """Claims and settles keys for one entry instance."""

    __slots__ = (
        "_ask",
        "_book",
        "_instance",
        "_issued",
        "_settled",
        "_waiting",
        "_writer",
        "_writers",
    )

    def __init__(
        self,
        instance: str,
        book: idempotency.ClaimBook,
        issued: idempotency.IssuedKeys,
        writer: idempotency.ClaimWriter,
        writers: Callable[[], list[str]],
        ask: Ask,
    ) -> None:
        """Creates a router.

        Args:
          instance: This instance.
          book: Keys in progress here.
          issued: Keys issued here.
          writer: The claim writer of this instance.
          writers: Returns the instances that may write claims, best first.
          ask: Sends a message to an instance; False when it has no link.
        """
        self._instance = instance
        self._book = book
        self._issued = issued
        self._writer = writer
        self._writers = writers
        self._ask = ask
        self._waiting: dict[
            tuple[str, str], asyncio.Future[messages.ClaimResult | None]
        ] = {}
        self._settled: dict[str, asyncio.Future[messages.Settled]] = {}

    async def claim(
        self, account: str, key: str, fingerprint: str
    ) -> Ticket | messages.StoredAnswer | errors.Failure:
        """Claims a key.

        Returns:
          A ticket when the operation may run now, the recorded answer of an
          earlier run, or the failure for the caller.
        """
        name = self._issued.check(key)
        if isinstance(name, errors.Failure):
            return name
        begun = self._book.begin(account, key, fingerprint)
        if not isinstance(begun, messages.Claim):
            return begun
        if isinstance(name, idempotency.KeyName):
            return await self._claim_issued(begun, name)
        return await self._claim_recorded(begun)

    async def _claim_issued(
        self, claim: messages.Claim, name: idempotency.KeyName
    ) -> Ticket | messages.StoredAnswer | errors.Failure:
        if name.issuer == self._instance:
            result: messages.ClaimResult | None = await self.answer_claim(claim)
        else:
            result = await self._ask_claim(name.issuer, claim)
        if result is None:
            result = messages.ClaimResult(claim.token, "unknown")
        return self._take(result, name.issuer)

    async def _claim_recorded(
        self, claim: messages.Claim
    ) -> Ticket | messages.StoredAnswer | errors.Failure:
        place = ""
        asked: messages.Claim | None = claim
        for place in self._writers()[:MAX_WRITERS]:
            if asked is None:
                break
            if place == self._instance:
                result = await self._writer.claim(asked)
            else:
                answered = await self._ask_claim(place, asked)
                if answered is None:
                    asked = self._book.ask_again(claim.token)
                    continue
                result = answered
            return self._take(result, place)
        lost = messages.ClaimResult(claim.token, "unavailable")
        return self._take(lost, place)

    def _take(
        self, result: messages.ClaimResult, place: str
    ) -> Ticket | messages.StoredAnswer | errors.Failure:
        taken = self._book.receive(result)
        return Ticket(result.token, place) if taken is None else taken

    async def _ask_claim(
        self, place: str, claim: messages.Claim
    ) -> messages.ClaimResult | None:
        """Returns the result, or None when none came."""
        future: asyncio.Future[messages.ClaimResult | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[place, claim.token] = future
        try:
            if not self._ask(place, claim):
                return None
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._waiting.pop((place, claim.token), None)

    async def finish(
        self, ticket: Ticket, result: messages.StoredAnswer | errors.Outcome
    ) -> None:
        """Records the result of an operation, or releases its key."""
        settle = self._book.finish(ticket.token, result)
        if settle is None:
            return
        if ticket.place == self._instance:
            settled: messages.Settled | None = await self.answer_settle(settle)
        else:
            settled = await self._ask_settle(ticket.place, settle)
        if settled is None:
            settled = messages.Settled(ticket.token, False)
        self._book.settled(settled)

    async def _ask_settle(
        self, place: str, settle: messages.Settle
    ) -> messages.Settled | None:
        future: asyncio.Future[messages.Settled] = (
            asyncio.get_running_loop().create_future()
        )
        self._settled[settle.token] = future
        try:
            if not self._ask(place, settle):
                return await self._settle_elsewhere(settle)
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._settled.pop(settle.token, None)

    async def _settle_elsewhere(
        self, settle: messages.Settle
    ) -> messages.Settled | None:
        """Records a result here when the writer that claimed is gone.

        An issued key's record is gone with its issuer. A release is left
        out: the lost writer may still have a transaction under way.
        """
        issued = isinstance(self._issued.check(settle.key), idempotency.KeyName)
        if issued or settle.state == "released":
            return None
        return await self._writer.settle(settle)

    def receive(
        self, place: str, message: messages.ClaimResult | messages.Settled
    ) -> None:
        """Takes an instance's answer; late ones are ignored."""
        if isinstance(message, messages.Settled):
            settled = self._settled.get(message.token)
            if settled is not None and not settled.done():
                settled.set_result(message)
            return
        waiting = self._waiting.get((place, message.token))
        if waiting is not None and not waiting.done():
            waiting.set_result(message)

    def lose(self, place: str) -> None:
        """Ends the waits for an instance whose link broke."""
        for (asked, _), future in self._waiting.items():
            if asked == place and not future.done():
                future.set_result(None)

    async def answer_claim(self, claim: messages.Claim) -> messages.ClaimResult:
        """Claims a key for an instance of the data centre."""
        name = self._issued.check(claim.key)
        if not isinstance(name, idempotency.KeyName):
            return await self._writer.claim(claim)
        begun = self._issued.begin(
            name,
            claim.account,
            claim.fingerprint,
            asyncio.get_running_loop().time(),
        )
        if begun is None:
            return messages.ClaimResult(claim.token, "granted")
        if isinstance(begun, messages.StoredAnswer):
            return messages.ClaimResult(claim.token, "done", begun)
        reused = begun.reason is errors.Reason.KEY_REUSED
        state = "mismatch" if reused else "unknown"
        return messages.ClaimResult(claim.token, state)

    async def answer_settle(self, settle: messages.Settle) -> messages.Settled:
        """Records a result for an instance of the data centre."""
        name = self._issued.check(settle.key)
        if not isinstance(name, idempotency.KeyName):
            return await self._writer.settle(settle)
        result: messages.StoredAnswer | errors.Outcome = errors.Outcome.UNKNOWN
        if settle.answer is not None and settle.state == "done":
            result = settle.answer
        elif settle.state == "released":
            result = errors.Outcome.NOT_RUN
        self._issued.finish(name, result)
        return messages.Settled(settle.token, True)
