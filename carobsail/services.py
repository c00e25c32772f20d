"""HTTP client of a target, used for plain services and by engine clients."""

import dataclasses
from collections.abc import AsyncIterator

from carobsail import engines, errors, httpclient, messages

CONNECT_TIMEOUT_S = 1.0
# More than any target's slots and queue hold; the owner's queue is the limit.
_MAX_CONNECTIONS = 1024
_MAX_REFUSAL_BYTES = 65_536
# Headers that apply to one connection only, and those that `send` sets.
_NOT_FORWARDED = frozenset(
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


class HttpResponse(engines.ResponseStream):
    """HTTP response of a target.

    The failure of a truncated response has the outcome UNKNOWN, whether or not
    the request is idempotent. The calling code knows what was delivered and
    decides.
    """

    __slots__ = ("_response", "headers", "status")

    def __init__(self, response: httpclient.Response) -> None:
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """See base class."""
        return self._response.chunks()

    async def close(self) -> None:
        """See base class."""
        await self._response.close()


class HttpService:
    """Sends requests to one target."""

    __slots__ = ("_pool",)

    def __init__(self, name: str, address: str) -> None:
        """Creates a client without connections.

        Args:
          name: Target name.
          address: `host:port` of the target.
        """
        self._pool = httpclient.ConnectionPool(
            address, _MAX_CONNECTIONS, CONNECT_TIMEOUT_S, name
        )

    async def send(
        self, request: messages.Dispatch
    ) -> engines.ResponseStream | errors.Failure:
        """Sends a request and returns its response once the headers arrived.

        The outcome of a failure is NOT_RUN only if no byte was sent or the
        target refused the request and marked it as not started. Otherwise it
        is FAILED for an idempotent request and UNKNOWN for any other.
        """
        headers = [h for h in request.headers if h[0] not in _NOT_FORWARDED]
        headers.append(("x-request-id", request.attempt))
        headers.append(("x-priority", str(request.priority)))
        return await self.call(request, request.path, headers, request.body)

    async def call(
        self,
        request: messages.Dispatch,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> engines.ResponseStream | errors.Failure:
        """Sends `headers` and `body` to `path` on behalf of a request."""
        response = await self._pool.request(request.method, path, headers, body)
        if isinstance(response, errors.Failure):
            if (
                response.outcome is errors.Outcome.UNKNOWN
                and request.idempotent
            ):
                outcome = errors.Outcome.FAILED
                return dataclasses.replace(response, outcome=outcome)
            return response
        if response.status == 503 and response.header("x-not-started") == "1":
            await response.read_refusal_body(_MAX_REFUSAL_BYTES)
            return not_started_failure(self._pool, response)
        return HttpResponse(response)

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


def not_started_failure(
    pool: httpclient.ConnectionPool, response: httpclient.Response
) -> errors.Failure:
    """Returns the failure for a response that marks a call as not started."""
    retry_after = response.header("retry-after") or ""
    failure = pool.failure(
        errors.Reason.TARGET_REFUSED,
        f"status {response.status}, not started",
        errors.Outcome.NOT_RUN,
        errors.Step.SEND,
    )
    if not retry_after.isdecimal():
        return failure
    return dataclasses.replace(failure, retry_after_s=float(retry_after))
