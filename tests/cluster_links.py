"""Links to peers and to the key-value service that can fail."""

import asyncio

import builders_coordination as build
from cluster_targets import build_failure

from carobsail import errors, links, messages


class KeyValueLink(build.CuttableKeyValue):
    """A link to the key-value service that can also be slow."""

    delay_s, lose_claims = 0.002, 0

    async def _call_service(self, call, *args):
        await asyncio.sleep(self.delay_s)
        return await super()._call_service(call, *args)

    async def transact(self, compares, writes):
        result = await super().transact(compares, writes)
        claims = [w for w in writes if "/carobsail-claims/v/" in w.key]
        if claims and self.lose_claims:
            self.lose_claims -= 1
            return build_failure(
                errors.Reason.UNAVAILABLE, errors.Outcome.UNKNOWN
            )
        return result


class FaultyLink(links.Link):
    """Link that can repeat requests and ended responses late, after others."""

    def __init__(self, link, cluster):
        self.link, self.cluster, self.sent = link, cluster, {}
        super().__init__(link.peer)

    @property
    def closed(self):
        return self.link.closed

    @closed.setter
    def closed(self, value):
        self.link.closed = value

    def _schedule_duplicates(self, message):
        if not self.cluster.duplicating:
            return
        replayed = [message]
        if isinstance(message, messages.Head | messages.Chunk):
            self.sent.setdefault(message.attempt, []).append(message)
            return
        if isinstance(message, messages.End | messages.Failed):
            replayed = [*self.sent.pop(message.attempt, []), message]
        elif not isinstance(
            message,
            messages.Dispatch
            | messages.Claim
            | messages.Settle
            | messages.Snapshot
            | messages.Delta,
        ):
            return
        for old in replayed:
            for delay_s in (0.01, 4.0):
                asyncio.get_running_loop().call_later(
                    delay_s, self.link.try_send, old
                )

    async def send(self, message):
        self._schedule_duplicates(message)
        return await self.link.send(message)

    def try_send(self, message):
        self._schedule_duplicates(message)
        return self.link.try_send(message)

    async def close(self):
        await self.link.close()

    def __aiter__(self):
        return self.link.__aiter__()
