"""Requests that a server has received, and its limits."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits that a server applies to its clients.

    Attributes:
      header_bytes: Size of the request line and headers of one request.
      body_bytes: Size of the body of one request.
      connections: Number of open connections.
      idle_timeout_s: Seconds that a connection waits for its next request.
      header_timeout_s: Seconds from the first byte of a request to the end of
        its headers.
      body_timeout_s: Seconds from the end of the headers to the end of the
        body.
      write_timeout_s: Seconds that a client may leave its response unread.
      body_idle_timeout_s: Seconds without any byte of a body.
      closes_silent: Whether the longest silent connection is closed for a new
        one above the limit on connections.
    """

    header_bytes: int = 32_768
    body_bytes: int = 4_194_304
    connections: int = 4096
    idle_timeout_s: float = 75.0
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0
    body_idle_timeout_s: float = math.inf
    closes_silent: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A received request; header names are in lower case.

    Attributes:
      method: HTTP method.
      path: Path without the query.
      query: Query without the question mark.
      headers: Headers in order.
      body: Whole body.
      client_address: `host:port` of the HTTP client.
      request_target: Request target as received: path and query. If it was in
        absolute form, only the part after the host.
    """

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    client_address: str
    request_target: str = ""

    def header(self, name: str) -> str | None:
        """Returns the first header named `name` (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return None
