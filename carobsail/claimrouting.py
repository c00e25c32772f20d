"""Claims idempotency keys for callers' operations, here or at another instance.

A key made by the caller is claimed through the data centre's claim writer. A
key issued by an instance is claimed at that instance, which needs no record in
the key-value service.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from carobsail import errors, idempotency, messages

# Longer than the claim writer's own time limit for a claim, which is 5 s.
CLAIM_TIMEOUT_S = 6.0
MAX_WRITERS_PER_CLAIM = 2

SendMessage = Callable[[str, messages.Message], bool]


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimedKey:
    """A claimed key.

    Attributes:
      token: Token of the claim.
      instance: Instance through which the key was claimed.
      settle: Settlement to complete for an issued key, None otherwise.
    """

    token: str
    instance: str
    settle: messages.Settle | None = None


class ClaimRouter:
    """Claims and settles keys for one entry instance."""

    __slots__ = (
        "_claim_waits",
        "_instance",
        "_issued",
        "_send",
        "_settle_waits",
        "_tracker",
        "_writer",
        "_writers",
    )

    def __init__(
        self,
        instance: str,
        tracker: idempotency.ClaimTracker,
        issued: idempotency.IssuedKeyTable,
        writer: idempotency.ClaimWriter,
        writers: Callable[[], list[str]],
        send: SendMessage,
    ) -> None:
        """Creates a router.

        Args:
          instance: Name of this instance.
          tracker: Keys whose operations run at this instance.
          issued: Keys issued by this instance.
          writer: The claim writer of this instance.
          writers: Returns the instances that may write claims, most preferred
            first.
          send: Sends a message to an instance; returns False when there is no
            link to it.
        """
        self._instance = instance
        self._tracker = tracker
        self._issued = issued
        self._writer = writer
        self._writers = writers
        self._send = send
        self._claim_waits: dict[
            tuple[str, str], asyncio.Future[messages.ClaimResult | None]
        ] = {}
        self._settle_waits: dict[str, asyncio.Future[messages.Settled]] = {}

    async def claim(
        self, account: str, key: str, fingerprint: str
    ) -> ClaimedKey | messages.StoredResponse | errors.Failure:
        """Claims a key.

        Returns:
          A claimed key when the operation may run now, the recorded response of
          an earlier run, or the failure for the caller.
        """
        key_id = self._issued.check(key)
        if isinstance(key_id, errors.Failure):
            return key_id
        started = self._tracker.begin(account, key, fingerprint)
        if not isinstance(started, messages.Claim):
            return started
        if isinstance(key_id, idempotency.IssuedKeyId):
            return await self._claim_issued(started, key_id)
        return await self._claim_recorded(started)

    async def _claim_issued(
        self, claim: messages.Claim, key_id: idempotency.IssuedKeyId
    ) -> ClaimedKey | messages.StoredResponse | errors.Failure:
        if key_id.issuer == self._instance:
            result: messages.ClaimResult | None = await self.handle_claim(claim)
        else:
            result = await self._claim_at(key_id.issuer, claim)
        if result is None:
            result = messages.ClaimResult(claim.token, "unknown")
        return self._accept_result(result, key_id.issuer)

    async def _claim_recorded(
        self, claim: messages.Claim
    ) -> ClaimedKey | messages.StoredResponse | errors.Failure:
        instance = ""
        claim_to_send: messages.Claim | None = claim
        for instance in self._writers()[:MAX_WRITERS_PER_CLAIM]:
            if claim_to_send is None:
                break
            if instance == self._instance:
                result = await self._writer.claim(claim_to_send)
            else:
                answer = await self._claim_at(instance, claim_to_send)
                if answer is None:
                    claim_to_send = self._tracker.claim_again(claim.token)
                    continue
                result = answer
            return self._accept_result(result, instance)
        unavailable = messages.ClaimResult(claim.token, "unavailable")
        return self._accept_result(unavailable, instance)

    def _accept_result(
        self, result: messages.ClaimResult, instance: str
    ) -> ClaimedKey | messages.StoredResponse | errors.Failure:
        reply_to_caller = self._tracker.receive(result)
        return (
            ClaimedKey(result.token, instance)
            if reply_to_caller is None
            else reply_to_caller
        )

    async def _claim_at(
        self, instance: str, claim: messages.Claim
    ) -> messages.ClaimResult | None:
        """Claims at another instance; None when no result arrived in time."""
        future: asyncio.Future[messages.ClaimResult | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._claim_waits[instance, claim.token] = future
        try:
            if not self._send(instance, claim):
                return None
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._claim_waits.pop((instance, claim.token), None)

    async def finish(
        self,
        claimed_key: ClaimedKey,
        result: messages.StoredResponse | errors.Outcome,
    ) -> None:
        """Records the result of an operation, or releases its key."""
        settle = self._tracker.finish(claimed_key.token, result)
        if settle is None:
            return
        if claimed_key.instance == self._instance:
            settled: messages.Settled | None = await self.handle_settle(settle)
        else:
            settled = await self._settle_at(claimed_key.instance, settle)
        if settled is None:
            settled = messages.Settled(claimed_key.token, False)
        self._tracker.end_settlement(settled)

    async def _settle_at(
        self, instance: str, settle: messages.Settle
    ) -> messages.Settled | None:
        future: asyncio.Future[messages.Settled] = (
            asyncio.get_running_loop().create_future()
        )
        self._settle_waits[settle.token] = future
        try:
            if not self._send(instance, settle):
                return await self._settle_locally(settle)
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            self._settle_waits.pop(settle.token, None)

    async def _settle_locally(
        self, settle: messages.Settle
    ) -> messages.Settled | None:
        """Records a result here when the claiming instance is unreachable.

        Nothing can be recorded for an issued key, whose state only its issuer
        has. A release is skipped, because the unreachable claim writer may
        still have a transaction in flight.
        """
        issued = isinstance(
            self._issued.check(settle.key), idempotency.IssuedKeyId
        )
        if issued or settle.state == "released":
            return None
        return await self._writer.settle(settle)

    def receive_reply(
        self, instance: str, message: messages.ClaimResult | messages.Settled
    ) -> None:
        """Passes an instance's reply to its waiter; late ones are ignored."""
        if isinstance(message, messages.Settled):
            settled = self._settle_waits.get(message.token)
            if settled is not None and not settled.done():
                settled.set_result(message)
            return
        wait = self._claim_waits.get((instance, message.token))
        if wait is not None and not wait.done():
            wait.set_result(message)

    def fail_waits(self, instance: str) -> None:
        """Ends the waits for claim results of an instance whose link broke."""
        for (waiting_for, _), future in self._claim_waits.items():
            if waiting_for == instance and not future.done():
                future.set_result(None)

    async def handle_claim(self, claim: messages.Claim) -> messages.ClaimResult:
        """Claims a key on behalf of an instance of the data centre."""
        key_id = self._issued.check(claim.key)
        if not isinstance(key_id, idempotency.IssuedKeyId):
            return await self._writer.claim(claim)
        started = self._issued.begin(
            key_id,
            claim.account,
            claim.fingerprint,
            asyncio.get_running_loop().time(),
        )
        if started is None:
            return messages.ClaimResult(claim.token, "granted")
        if isinstance(started, messages.StoredResponse):
            return messages.ClaimResult(claim.token, "done", started)
        reused = started.reason is errors.Reason.KEY_REUSED
        state = "mismatch" if reused else "unknown"
        return messages.ClaimResult(claim.token, state)

    async def handle_settle(self, settle: messages.Settle) -> messages.Settled:
        """Records a result on behalf of an instance of the data centre."""
        key_id = self._issued.check(settle.key)
        if not isinstance(key_id, idempotency.IssuedKeyId):
            return await self._writer.settle(settle)
        result: messages.StoredResponse | errors.Outcome = (
            errors.Outcome.UNKNOWN
        )
        if settle.response is not None and settle.state == "done":
            result = settle.response
        elif settle.state == "released":
            result = errors.Outcome.NOT_RUN
        self._issued.finish(key_id, result)
        return messages.Settled(settle.token, True)
