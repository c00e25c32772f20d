"""HTTP/1.1 client: pooled connections to one address, h11 on asyncio streams.

A failure of `ConnectionPool.request` has outcome NOT_RUN only when no byte of
the request was written. An idle connection is checked before it is reused: it
must not have been closed by the server. If the server closes it later without
sending any byte of a response, it may still have read the request, so the
outcome is UNKNOWN.
"""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractContextManager
from typing import Any

import h11

from carobsail import bufferlimit, errors, responsebody, sockets

_READ_BYTES = 65_536
# A stream reader stops receiving above twice this size.
_READER_BYTES = 32_768
# Limit on the interim (1xx) responses before a final one. A server that works
# for minutes may send one every few seconds; h11 takes about 50 us for each.
_MAX_INTERIM_RESPONSES = 64
# Below the idle timeout of common servers, so that a reused connection is
# rarely closed by the server at the same moment.
_MAX_IDLE_S = 15.0
# Bytes of bodies that one pool buffers unless it shares a limit with others.
_MAX_BUFFERED_BYTES = 67_108_864
# Servers send a refusal in one piece. A further piece takes a round trip of
# 40 ms between regions, and more on a busy link.
_REFUSAL_BODY_TIMEOUT_S = 0.2


class _CountingReader(asyncio.StreamReader):
    """Stream reader that counts bytes, to detect unsolicited ones.

    Attributes:
      received_bytes: Bytes received.
      on_idle_input: Called when bytes, EOF or a reset arrive while no request
        is in flight; None during a request.
    """

    received_bytes = 0
    on_idle_input: Callable[[], None] | None = None

    def feed_data(self, data: Any) -> None:
        self.received_bytes += len(data)
        super().feed_data(data)
        if self.on_idle_input is not None:
            self.on_idle_input()

    def feed_eof(self) -> None:
        super().feed_eof()
        if self.on_idle_input is not None:
            self.on_idle_input()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        if self.on_idle_input is not None:
            self.on_idle_input()


class _Connection:
    """One connection to the server."""

    __slots__ = (
        "body",
        "consumed_bytes",
        "exchanges",
        "idle_since",
        "h11_connection",
        "reader",
        "writer",
    )

    def __init__(
        self, reader: _CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=responsebody.MAX_HEAD_BYTES
        )
        self.body = responsebody.ResponseBody(self.h11_connection)
        self.consumed_bytes = 0
        self.exchanges = 0
        self.idle_since = 0.0

    async def next_event(self) -> object:
        """Returns the next h11 event, reading as needed.

        Raises:
          OSError: The connection failed.
          h11.RemoteProtocolError: The response is malformed or incomplete.
        """
        while (event := self.body.next_event()) is h11.NEED_DATA:
            self.body.receive_head(await self._read())
        return event

    async def next_head(self) -> h11.Response | None:
        """Returns the head of the next final response, skipping interim ones.

        Returns:
          The head; None if the connection was closed before it.

        Raises:
          OSError: The connection failed.
          h11.RemoteProtocolError: The response is malformed or incomplete.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event if isinstance(event, h11.Response) else None
        raise h11.RemoteProtocolError("interim answers without an end")

    async def receive(self) -> None:
        """Reads from the connection once and adds the bytes to the body."""
        self.body.receive(await self._read())

    async def _read(self) -> bytes:
        if self.reader.received_bytes > self.consumed_bytes:
            # A read of buffered bytes returns without yielding, so a server
            # that sends endlessly would starve all other tasks.
            await asyncio.sleep(0)
        data = await self.reader.read(_READ_BYTES)
        self.consumed_bytes += len(data)
        return data

    def expect_another_response(self, method: str) -> None:
        """Prepares to read another response after an unsolicited one.

        The response just read belonged to no request of this client. The
        bytes after it are parsed as the response to the request in flight.

        Args:
          method: Method of the request in flight.
        """
        rest = self.body.unread_bytes()
        self.h11_connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=responsebody.MAX_HEAD_BYTES
        )
        # h11 parses a response only after a request. This one is a placeholder
        # that is not written: the real request was sent already.
        self.h11_connection.send(
            h11.Request(method=method, target="/", headers=[("host", "-")])
        )
        self.h11_connection.send(h11.EndOfMessage())
        self.body = responsebody.ResponseBody(self.h11_connection)
        if rest:
            self.body.receive_head(rest)

    def is_reusable(self) -> bool:
        """Returns whether the connection is open with no unread byte."""
        return (
            not self.reader.at_eof()
            and self.reader.exception() is None
            and self.reader.received_bytes == self.consumed_bytes
            and not self.body.unread
            and not self.writer.is_closing()
        )


class Response:
    """A response whose body is still being received.

    Attributes:
      status: HTTP status.
      headers: Headers in order, names in lower case.
      follows_another: Whether its connection served other requests before.
    """

    __slots__ = ("_connection", "_pool", "follows_another", "headers", "status")

    def __init__(
        self,
        pool: "ConnectionPool",
        connection: _Connection,
        head: h11.Response,
    ) -> None:
        self.status = head.status_code
        self.headers = [
            (k.decode(), v.decode("latin-1")) for k, v in head.headers
        ]
        self.follows_another = connection.exchanges > 1
        self._pool = pool
        self._connection: _Connection | None = connection

    def header(self, name: str) -> str | None:
        """Returns the first header named `name` (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """Yields body bytes, one chunk for each read from the socket.

        An incomplete body ends with an ANSWER_CUT failure. So does a body that
        only the close of the connection ends (neither a length nor chunked),
        unless the pool accepts those: it cannot be told from an incomplete
        one. Abandoning the iteration closes the connection.
        """
        detail = "the answer was given up"
        try:
            while (connection := self._connection) is not None:
                data, end = connection.body.next_data()
                if data:
                    yield data
                if isinstance(end, h11.EndOfMessage):
                    if (
                        not self.is_self_delimiting()
                        and self._pool.accept_close_delimited
                    ):
                        # The body ends when the server closes the connection;
                        # a reset raises OSError instead.
                        await self.close()
                        return
                    if self.is_self_delimiting():
                        self._connection = None
                        self._pool.release(connection)
                        return
                    detail = "the answer has no length"
                    break
                if isinstance(end, h11.RemoteProtocolError):
                    detail = str(end)
                    break
                if end is responsebody.MORE_BUFFERED:
                    await asyncio.sleep(0)
                else:
                    await connection.receive()
        except OSError as error:
            detail = str(error)
        finally:
            await self.close()
        yield self._pool.failure(errors.Reason.ANSWER_CUT, detail)

    def is_self_delimiting(self) -> bool:
        """Returns whether the response shows where its body ends.

        Otherwise only the close of the connection ends the body.
        """
        if self.status in (204, 304):
            return True
        return any(
            name in ("content-length", "transfer-encoding")
            for name, _ in self.headers
        )

    async def read_body(
        self, limit: int, idle_timeout_s: float | None = None
    ) -> bytes | errors.Failure:
        """Returns the whole body.

        Args:
          limit: Largest accepted body in bytes; a larger one is a failure.
          idle_timeout_s: Seconds without a byte after which TimeoutError is
            raised; None if the calling code limits the time.
        """
        body: bytes | bytearray = b""
        loop = asyncio.get_running_loop()
        with self.buffer() as buffer:
            async with asyncio.timeout(idle_timeout_s) as idle_timeout:
                async for chunk in self.chunks():
                    if isinstance(chunk, errors.Failure):
                        return chunk
                    buffer.resize(buffer.size + len(chunk))
                    if buffer.size > limit:
                        await self.close()
                        return self._pool.failure(
                            errors.Reason.BODY_TOO_LARGE,
                            f"the answer exceeds {limit} bytes",
                        )
                    # Long responses are kept in one object: thousands of
                    # pieces would leave the memory in fragments.
                    if not body:
                        body = chunk
                    else:
                        if isinstance(body, bytes):
                            body = bytearray(body)
                        body += chunk
                    if idle_timeout_s is not None:
                        idle_timeout.reschedule(loop.time() + idle_timeout_s)
            if buffer.given_up:
                # The abort looks like the end of a body without a length.
                return self._pool.failure(
                    errors.Reason.BODY_TOO_LARGE,
                    f"{buffer.size} bytes, while too many are buffered",
                )
            return bytes(body)

    def buffer(self) -> AbstractContextManager[bufferlimit.Buffer]:
        """Counts bytes of this response against the limit of the pool."""
        connection = self._connection

        def abort() -> None:
            if connection is not None:
                connection.writer.transport.abort()

        return self._pool.buffers.buffer(abort)

    async def read_refusal_body(self, limit: int) -> bytes:
        """Returns the body of a refusal, or b"" if it does not end soon.

        The head has already shown that the request was not run. The body only
        explains why; reading all of it allows the connection to be reused.

        Args:
          limit: Largest body to read, in bytes.
        """
        try:
            async with asyncio.timeout(_REFUSAL_BODY_TIMEOUT_S):
                body = await self.read_body(limit)
        except TimeoutError:
            return b""
        return b"" if isinstance(body, errors.Failure) else body

    def detach_connection(self) -> _Connection | None:
        """Returns the connection and stops using it for this response."""
        connection, self._connection = self._connection, None
        return connection

    async def close(self) -> None:
        """Abandons the rest of the response and closes its connection."""
        connection, self._connection = self._connection, None
        if connection:
            self._pool.discard(connection)


class ConnectionPool:
    """Connections to one `host:port`.

    Attributes:
      address: `host:port` of the server.
      buffers: Limit of the bodies that are being received.
      name: Name of the server in failures.
      connections_opened: Number of connections opened.
    """

    __slots__ = (
        "_closed",
        "_request_slots",
        "_host",
        "_idle",
        "_port",
        "_idle_s",
        "_limit",
        "_connect_timeout_s",
        "accept_close_delimited",
        "address",
        "buffers",
        "connections_opened",
        "name",
    )

    def __init__(
        self,
        address: str,
        limit: int,
        connect_timeout_s: float,
        name: str = "",
        idle_s: float = _MAX_IDLE_S,
        accept_close_delimited: bool = False,
        buffers: bufferlimit.BufferLimit | None = None,
    ) -> None:
        """Creates a pool without connections.

        Args:
          address: `host:port` of the server.
          limit: Maximum number of requests in flight; further ones wait.
          connect_timeout_s: Timeout of that wait and of each connect.
          name: Name of the server in failures; its address if empty.
          idle_s: Seconds after which an unused connection is closed.
          accept_close_delimited: Whether to accept a body that has neither a
            length nor chunked coding, and ends when the connection is closed.
          buffers: Limit that the pool shares with others; one of its own by
            default.
        """
        self.address = address
        if buffers is None:
            buffers = bufferlimit.BufferLimit(_MAX_BUFFERED_BYTES)
        self.buffers = buffers
        self.name = name or address
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_s
        self._request_slots = asyncio.Semaphore(limit)
        self._idle: list[_Connection] = []
        self._idle_s = idle_s
        self._limit = limit
        self.accept_close_delimited = accept_close_delimited
        self._closed = False
        self.connections_opened = 0

    def failure(
        self,
        reason: errors.Reason,
        detail: str,
        outcome: errors.Outcome = errors.Outcome.UNKNOWN,
        step: errors.Step = errors.Step.ANSWER,
    ) -> errors.Failure:
        """Returns a failure that names the pool's server."""
        return errors.Failure(reason, step, self.name, outcome, detail)

    async def request(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        reuse: bool = True,
    ) -> Response | errors.Failure:
        """Sends a request and returns its response once the head arrived.

        Cancelling the call closes the connection.

        Args:
          method: HTTP method.
          path: Path with the query.
          headers: Headers in order.
          body: Whole body.
          reuse: Whether an idle connection may be used. The server may close
            it while the request is being written; whether the request was run
            is then unknown.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._request_slots.acquire()
        except TimeoutError:
            return self.failure(
                errors.Reason.OVERLOADED,
                "no free connection",
                errors.Outcome.NOT_RUN,
                errors.Step.CONNECT,
            )
        connection: _Connection | errors.Failure | None = None
        try:
            if reuse:
                connection = await self._take_idle()
            if connection is None:
                connection = await self._connect()
            if isinstance(connection, errors.Failure):
                self._request_slots.release()
                return connection
            response = await self._exchange(
                connection, method, path, headers, body
            )
        except BaseException:
            if isinstance(connection, _Connection):
                self.discard(connection)
            else:
                self._request_slots.release()
            raise
        if isinstance(response, errors.Failure):
            self.discard(connection)
        return response

    async def _take_idle(self) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            connection.reader.on_idle_input = None
            if now - connection.idle_since < self._idle_s:
                # The event loop polls the socket between two iterations, so
                # a close or unsolicited bytes that have already arrived are
                # seen before the request is written.
                try:
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                except BaseException:
                    connection.writer.close()
                    raise
                if connection.is_reusable():
                    return connection
            connection.writer.close()
        return None

    async def _connect(self) -> _Connection | errors.Failure:
        loop = asyncio.get_running_loop()
        reader = _CountingReader(_READER_BYTES, loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        self.connections_opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                transport, _ = await loop.create_connection(
                    lambda: protocol, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            return self.failure(
                errors.Reason.CONNECT_FAILED,
                str(error) or "connect timed out",
                errors.Outcome.NOT_RUN,
                errors.Step.CONNECT,
            )
        sockets.set_keepalive(transport)
        sockets.limit_reads(transport)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return _Connection(reader, writer)

    async def probe(self) -> bool:
        """Returns whether the server accepts a connection."""
        connection = await self._connect()
        if isinstance(connection, errors.Failure):
            return False
        connection.writer.close()
        return True

    async def skip_unsolicited_response(
        self, response: Response, method: str, limit: int
    ) -> Response | errors.Failure:
        """Discards a response to another request and reads the next one.

        Args:
          response: The response that came in place of the expected one.
          method: Method of the request in flight.
          limit: Largest body to discard, in bytes.

        Returns:
          The next response on the same connection.
        """
        connection = None
        if response.is_self_delimiting():
            connection = response.detach_connection()
        if connection is None:
            await response.close()
            return self.failure(
                errors.Reason.CONNECTION_LOST, "an answer without a request"
            )
        try:
            size = 0
            while True:
                data, end = connection.body.next_data()
                size += len(data)
                if isinstance(end, h11.EndOfMessage):
                    break
                if isinstance(end, h11.RemoteProtocolError) or size > limit:
                    self.discard(connection)
                    return self.failure(
                        errors.Reason.CONNECTION_LOST, f"extra answer: {end}"
                    )
                if end is responsebody.MORE_BUFFERED:
                    await asyncio.sleep(0)
                else:
                    await connection.receive()
            connection.expect_another_response(method)
            head = await connection.next_head()
        except (OSError, h11.RemoteProtocolError) as error:
            self.discard(connection)
            return self.failure(errors.Reason.CONNECTION_LOST, str(error))
        except BaseException:
            self.discard(connection)
            raise
        if head is None:
            self.discard(connection)
            return self.failure(
                errors.Reason.CONNECTION_LOST, "closed before the answer"
            )
        return Response(self, connection, head)

    async def _exchange(
        self,
        connection: _Connection,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> Response | errors.Failure:
        names = {name.lower() for name, _ in headers}
        if "host" not in names:
            headers = [("host", self.address), *headers]
        if "content-length" not in names and (body or method != "GET"):
            headers = [*headers, ("content-length", str(len(body)))]
        h11_connection = connection.h11_connection
        try:
            # Header values may hold bytes outside ASCII; they are decoded and
            # encoded as Latin-1 throughout.
            encoded = [(k, v.encode("latin-1")) for k, v in headers]
            parts = h11_connection.send(
                h11.Request(method=method, target=path, headers=encoded)  # type: ignore[arg-type]
            )
            assert parts is not None
            parts += (
                h11_connection.send(h11.Data(data=body)) or b"" if body else b""
            )
            parts += h11_connection.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            return self.failure(
                errors.Reason.BAD_REQUEST,
                str(error),
                errors.Outcome.NOT_RUN,
                errors.Step.SEND,
            )
        connection.exchanges += 1
        # Does not wait for the write to drain: the whole request is in memory
        # already, and the response may come before the server has read it all.
        connection.writer.write(parts)
        del parts  # The transport keeps what it has not sent.
        try:
            head = await connection.next_head()
        except (OSError, h11.RemoteProtocolError) as error:
            return self.failure(errors.Reason.CONNECTION_LOST, str(error))
        if head is None:
            return self.failure(
                errors.Reason.CONNECTION_LOST, "closed before the answer"
            )
        return Response(self, connection, head)

    def release(self, connection: _Connection) -> None:
        """Keeps a connection for reuse after its response was read whole."""
        h11_connection = connection.h11_connection
        reusable = (
            not self._closed
            and h11_connection.our_state is h11.DONE
            and h11_connection.their_state is h11.DONE
            and connection.is_reusable()
        )
        if not reusable:
            connection.writer.close()
            self._request_slots.release()
            return
        h11_connection.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        connection.reader.on_idle_input = functools.partial(
            self._abort_idle, connection
        )
        self._idle.append(connection)
        self._request_slots.release()
        if len(self._idle) > self._limit:
            # Requests that may not reuse a connection leave one each.
            self._close_oldest_idle()

    def close_expired(self, now: float) -> None:
        """Closes the connections that have been idle for too long."""
        while self._idle and now - self._idle[0].idle_since >= self._idle_s:
            self._close_oldest_idle()

    def _close_oldest_idle(self) -> None:
        oldest = self._idle.pop(0)
        oldest.reader.on_idle_input = None
        oldest.writer.close()

    def _abort_idle(self, connection: _Connection) -> None:
        """Aborts an idle connection on which input arrived.

        The server closed it, or sends unsolicited bytes, which might never
        end.
        """
        connection.reader.on_idle_input = None
        self._idle.remove(connection)
        connection.writer.transport.abort()

    def discard(self, connection: _Connection) -> None:
        """Closes a connection that was in use, without sending buffered bytes.

        On a congested link the server would otherwise keep working until they
        had arrived. The peer sees an orderly close, and not a reset.
        """
        connection.writer.transport.abort()
        self._request_slots.release()

    def close(self) -> None:
        """Closes idle connections; those in use are closed when released."""
        self._closed = True
        while self._idle:
            connection = self._idle.pop()
            connection.reader.on_idle_input = None
            connection.writer.close()
