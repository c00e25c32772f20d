"""Client of plain HTTP services, and the sending of requests to any target."""

import dataclasses
from collections.abc import AsyncIterator

from carobsail import engines, errors, httpclient, messages

CONNECT_TIMEOUT_S = 1.0
# More than any target's slots and queue; the owner admits before this bound.
_CONNECTIONS = 1024
_REFUSAL_BYTES = 65_536
# Headers that concern one connection, and those that are set here.
_NOT_PASSED_ON = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-priority",
        "x-request-id",
    }
)


class HttpAnswer(engines.AnswerStream):
    """Answer of a target over HTTP.

    The failure of a cut answer has outcome UNKNOWN, whether or not the request
    is idempotent; the caller knows what was delivered and decides.
    """

    __slots__ = ("_answer", "headers", "status")

    def __init__(self, answer: httpclient.Answer) -> None:
        self._answer = answer
        self.status = answer.status
        self.headers = answer.headers

    def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """See base class."""
        return self._answer.chunks()

    async def close(self) -> None:
        """See base class."""
        await self._answer.close()


class HttpService:
    """Sends requests to one target."""

    __slots__ = ("_pool",)

    def __init__(self, name: str, address: str) -> None:
        """Creates a client without connections.

        Args:
          name: Target name.
          address: `host:port` of the target.
        """
        self._pool = httpclient.Pool(
            address, _CONNECTIONS, CONNECT_TIMEOUT_S, name
        )

    async def send(
        self, request: messages.Dispatch
    ) -> engines.AnswerStream | errors.Failure:
        """Sends a request and returns its answer once the head arrived.

        The failure's outcome is NOT_RUN only when no byte was sent or the
        target refused the request as not started. Otherwise it is FAILED for
        an idempotent request and UNKNOWN for any other.
        """
        headers = [h for h in request.headers if h[0] not in _NOT_PASSED_ON]
        headers.append(("x-request-id", request.attempt))
        headers.append(("x-priority", str(request.priority)))
        return await self.call(request, request.path, headers, request.body)

    async def call(
        self,
        request: messages.Dispatch,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> engines.AnswerStream | errors.Failure:
        """Sends `headers` and `body` to `path` on behalf of a request."""
        answer = await self._pool.request(request.method, path, headers, body)
        if isinstance(answer, errors.Failure):
            if answer.outcome is errors.Outcome.UNKNOWN and request.idempotent:
                outcome = errors.Outcome.FAILED
                return dataclasses.replace(answer, outcome=outcome)
            return answer
        if answer.status == 503 and answer.header("x-not-started") == "1":
            await answer.read_refusal(_REFUSAL_BYTES)
            return refusal(self._pool, answer)
        return HttpAnswer(answer)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


def refusal(pool: httpclient.Pool, answer: httpclient.Answer) -> errors.Failure:
    """Returns the failure of an answer that proves the call did not start."""
    retry_after = answer.header("retry-after") or ""
    failure = pool.failure(
        errors.Reason.TARGET_REFUSED,
        f"status {answer.status}, not started",
        errors.Outcome.NOT_RUN,
        errors.Step.SEND,
    )
    if not retry_after.isdecimal():
        return failure
    return dataclasses.replace(failure, retry_after_s=float(retry_after))
