"""Client of the platform's inventory."""

import asyncio
import dataclasses
import urllib.parse

from carobsail import errors, httpclient

FETCH_TIMEOUT_S = 2.0
_DOCUMENT_BYTES = 67_108_864


class InventoryClient:
    """Fetches the inventory document from a `http://host:port/path` URL."""

    __slots__ = ("_path", "_pool")

    def __init__(self, url: str) -> None:
        """Creates a client without connections.

        Raises:
          ValueError: The URL has no host or is not plain HTTP.
        """
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError(f"inventory URL {url!r} is not http://host/...")
        address = f"{parts.hostname}:{parts.port or 80}"
        self._path = parts.path or "/"
        if parts.query:
            self._path += f"?{parts.query}"
        self._pool = httpclient.Pool(address, 2, FETCH_TIMEOUT_S, "inventory")

    async def fetch(self) -> bytes | errors.Failure:
        """Returns the document's bytes."""
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                answer = await self._pool.request("GET", self._path, [], b"")
                if isinstance(answer, errors.Failure):
                    return _as_read(answer)
                content = await answer.read(_DOCUMENT_BYTES)
        except TimeoutError:
            failure = self._pool.failure(errors.Reason.TIMEOUT, "no answer")
            return _as_read(failure)
        if isinstance(content, errors.Failure):
            return _as_read(content)
        if answer.status != 200:
            detail = f"status {answer.status}"
            failure = self._pool.failure(errors.Reason.TARGET_ERROR, detail)
            return _as_read(failure)
        return content

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


def _as_read(failure: errors.Failure) -> errors.Failure:
    """A failed read changes nothing, so its outcome is never unknown."""
    return dataclasses.replace(
        failure, step=errors.Step.CONFIGURE, outcome=errors.Outcome.FAILED
    )
