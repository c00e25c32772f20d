"""Reads the platform's inventory, over HTTP or from a file."""

import asyncio
import dataclasses

from carobsail import errors, httpclient, inventory, settings

FETCH_TIMEOUT_S = 2.0
# 12,000 targets take about 4 MB.
_MAX_DOCUMENT_BYTES = 16_777_216


class InventorySource:
    """Fetches the inventory document over HTTP.

    An unchanged document is not transferred again if the platform sends an
    ETag: with 12,000 targets, one fetch per second takes 3.6 MB/s.
    """

    __slots__ = ("_content", "_etag", "_path", "_pool")

    def __init__(self, url: str) -> None:
        """Creates a client without connections.

        Raises:
          ValueError: The URL is malformed or not plain HTTP.
        """
        address, self._path = settings.parse_url(url)
        self._pool = httpclient.ConnectionPool(
            address, 2, FETCH_TIMEOUT_S, "inventory"
        )
        self._etag = ""
        self._content = b""

    async def fetch(self) -> bytes | errors.Failure:
        """Returns the bytes of the document, or of its unchanged copy."""
        headers = [("if-none-match", self._etag)] if self._etag else []
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                response = await self._pool.request(
                    "GET", self._path, headers, b""
                )
                if isinstance(response, errors.Failure):
                    return _as_failed_read(response)
                content = await response.read_body(_MAX_DOCUMENT_BYTES)
        except TimeoutError:
            failure = self._pool.failure(errors.Reason.TIMEOUT, "no response")
            return _as_failed_read(failure)
        if isinstance(content, errors.Failure):
            return _as_failed_read(content)
        if response.status == 304 and self._etag:
            return self._content
        if response.status != 200:
            detail = f"status {response.status}"
            failure = self._pool.failure(errors.Reason.TARGET_ERROR, detail)
            return _as_failed_read(failure)
        self._etag = response.header("etag") or ""
        self._content = content if self._etag else b""
        return content

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()


def _as_failed_read(failure: errors.Failure) -> errors.Failure:
    """Returns the failure of a read, which changes nothing: outcome FAILED."""
    return dataclasses.replace(
        failure, step=errors.Step.CONFIGURE, outcome=errors.Outcome.FAILED
    )


async def read(location: str) -> inventory.Inventory | errors.Failure:
    """Reads an inventory once.

    Args:
      location: URL, or name of a file in which comments are allowed.

    Returns:
      The inventory, or a failure. Its reason is INVALID if another attempt
      would fail in the same way.
    """
    try:
        if not location.startswith("http:"):
            return settings.load(location, inventory.Inventory)
        source = InventorySource(location)
    except ValueError as error:
        return _invalid(location, str(error))
    try:
        document = await source.fetch()
    finally:
        source.close()
    if isinstance(document, errors.Failure):
        return document
    try:
        return settings.parse(location, document, inventory.Inventory)
    except settings.SettingsError as error:
        return _invalid(location, str(error))


def _invalid(location: str, detail: str) -> errors.Failure:
    return errors.Failure(
        errors.Reason.INVALID, errors.Step.CONFIGURE, location, detail=detail
    )
