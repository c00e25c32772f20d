"""HTTP/1.1 client: pooled connections to one address, h11 on asyncio streams.

A failure of `Pool.request` has outcome NOT_RUN only when no byte of the
request was written. A reused connection is checked for its end before it is
written to; when the server closes it after that, without any answer byte, the
request may still have been read, so the outcome is UNKNOWN.
"""

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11

from carobsail import answerbody, errors

_READ_BYTES = 65_536
# Interim answers (1xx) before an answer. A server that works for minutes may
# send one every few seconds; h11 takes some 50 us for each.
_MAX_INTERIM = 64
# Below the idle timeout of common servers, so that reuse rarely meets a close.
_IDLE_S = 15.0
# A refusal is sent in one piece; a further piece takes a round trip of 40 ms
# between regions, and more on a busy link.
_REFUSAL_S = 0.2


# A peer without power or behind a cut is noticed after about this time.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 3000


def _set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel end a connection whose peer does not respond."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        ("TCP_KEEPIDLE", _KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", _KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", _KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", _UNACKNOWLEDGED_MS),
    ):
        if hasattr(socket, option):
            sock.setsockopt(tcp, getattr(socket, option), value)


class _Reader(asyncio.StreamReader):
    """Counts received bytes, to find bytes that no request asked for.

    Attributes:
      received: Bytes received.
      on_input: Called when bytes, the end or a reset arrive while no request
        is under way.
    """

    received = 0
    on_input: Callable[[], None] | None = None

    def feed_data(self, data: Any) -> None:
        self.received += len(data)
        super().feed_data(data)
        if self.on_input is not None:
            self.on_input()

    def feed_eof(self) -> None:
        super().feed_eof()
        if self.on_input is not None:
            self.on_input()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        if self.on_input is not None:
            self.on_input()


class _Connection:
    """One connection to the server."""

    __slots__ = (
        "body",
        "consumed",
        "idle_since",
        "machine",
        "reader",
        "writer",
    )

    def __init__(self, reader: _Reader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=answerbody.HEAD_BYTES
        )
        self.body = answerbody.AnswerBody(self.machine)
        self.consumed = 0
        self.idle_since = 0.0

    async def next_event(self) -> object:
        """Returns the next h11 event, reading as needed.

        Raises:
          OSError: The connection failed.
          h11.RemoteProtocolError: The answer is malformed or ended early.
        """
        while (event := self.body.next_event()) is h11.NEED_DATA:
            self.body.receive_head(await self._read())
        return event

    async def next_head(self) -> h11.Response | None:
        """Returns the head of the next answer after its interim answers.

        Returns:
          The head; None if the connection ended before it.

        Raises:
          OSError: The connection failed.
          h11.RemoteProtocolError: The answer is malformed or ended early.
        """
        for _ in range(_MAX_INTERIM + 1):
            event = await self.next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event if isinstance(event, h11.Response) else None
        raise h11.RemoteProtocolError("interim answers without an end")

    async def receive(self) -> None:
        """Reads once from the connection, while the body is read."""
        self.body.receive(await self._read())

    async def _read(self) -> bytes:
        if self.reader.received > self.consumed:
            # A read of what has arrived already does not wait, so a server
            # that sends without end would keep all other work waiting.
            await asyncio.sleep(0)
        data = await self.reader.read(_READ_BYTES)
        self.consumed += len(data)
        return data

    def expect_next(self, method: str) -> None:
        """Prepares for a further answer after one that was not asked for.

        The answer that was read belonged to no request of ours; the bytes
        after it are read as the answer to the request under way.
        """
        rest = self.body.rest()
        self.machine = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=answerbody.HEAD_BYTES
        )
        # h11 takes an answer only after a request; this one was sent already.
        self.machine.send(
            h11.Request(method=method, target="/", headers=[("host", "-")])
        )
        self.machine.send(h11.EndOfMessage())
        self.body = answerbody.AnswerBody(self.machine)
        if rest:
            self.body.receive_head(rest)

    def clean(self) -> bool:
        """Whether the connection is open and holds no unread byte."""
        return (
            not self.reader.at_eof()
            and self.reader.exception() is None
            and self.reader.received == self.consumed
            and not self.body.unread
            and not self.writer.is_closing()
        )


class Answer:
    """An answer being received.

    Attributes:
      status: HTTP status.
      headers: Headers in order, names in lower case.
    """

    __slots__ = ("_connection", "_pool", "headers", "status")

    def __init__(
        self, pool: "Pool", connection: _Connection, head: h11.Response
    ) -> None:
        self.status = head.status_code
        self.headers = [
            (k.decode(), v.decode("latin-1")) for k, v in head.headers
        ]
        self._pool = pool
        self._connection: _Connection | None = connection

    def header(self, name: str) -> str | None:
        """Returns the first header called `name` (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """Yields body bytes, one chunk for each read from the socket.

        A body that ended early, or whose end cannot be told from a cut
        (neither a length nor chunked), ends with an ANSWER_CUT failure. An
        iteration that is given up closes the connection.
        """
        detail = "the answer was given up"
        try:
            while (connection := self._connection) is not None:
                data, end = connection.body.take()
                if data:
                    yield data
                if isinstance(end, h11.EndOfMessage):
                    if not self.delimited() and self._pool.accept_unframed:
                        # The end of the connection ends the body; a reset
                        # raises OSError instead.
                        await self.close()
                        return
                    if self.delimited():
                        self._connection = None
                        self._pool.give_back(connection)
                        return
                    detail = "the answer has no length"
                    break
                if isinstance(end, h11.RemoteProtocolError):
                    detail = str(end)
                    break
                if end is answerbody.MORE:
                    await asyncio.sleep(0)
                else:
                    await connection.receive()
        except OSError as error:
            detail = str(error)
        finally:
            await self.close()
        yield self._pool.failure(errors.Reason.ANSWER_CUT, detail)

    def delimited(self) -> bool:
        """Whether the end of the body can be told from a cut."""
        if self.status in (204, 304):
            return True
        return any(
            name in ("content-length", "transfer-encoding")
            for name, _ in self.headers
        )

    async def read(
        self, limit: int, silence_s: float | None = None
    ) -> bytes | errors.Failure:
        """Returns the whole body.

        Args:
          limit: Bytes above which the body is a failure.
          silence_s: Seconds without a byte after which TimeoutError is
            raised; None if the caller bounds the time.
        """
        parts: list[bytes] = []
        size = 0
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(silence_s) as patience:
            async for chunk in self.chunks():
                if isinstance(chunk, errors.Failure):
                    return chunk
                size += len(chunk)
                if size > limit:
                    await self.close()
                    return self._pool.failure(
                        errors.Reason.BODY_TOO_LARGE,
                        f"the answer exceeds {limit} bytes",
                    )
                parts.append(chunk)
                if silence_s is not None:
                    patience.reschedule(loop.time() + silence_s)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    async def read_refusal(self, limit: int) -> bytes:
        """Returns the body of a refusal, or nothing if it does not end soon.

        The head has told already that nothing ran; the body only explains it
        and lets the connection be used again.

        Args:
          limit: Largest body in bytes that is read.
        """
        try:
            async with asyncio.timeout(_REFUSAL_S):
                body = await self.read(limit)
        except TimeoutError:
            return b""
        return b"" if isinstance(body, errors.Failure) else body

    def take_connection(self) -> _Connection | None:
        """Hands the connection over; this answer reads no further."""
        connection, self._connection = self._connection, None
        return connection

    async def close(self) -> None:
        """Gives up the rest of the answer and closes its connection."""
        connection, self._connection = self._connection, None
        if connection:
            self._pool.discard(connection)


class Pool:
    """Connections to one `host:port`.

    Attributes:
      address: `host:port` of the server.
      name: Name of the server in failures.
      connects: Number of connections opened.
    """

    __slots__ = (
        "_closed",
        "_free",
        "_host",
        "_idle",
        "_port",
        "_idle_s",
        "_timeout_s",
        "accept_unframed",
        "address",
        "connects",
        "name",
    )

    def __init__(
        self,
        address: str,
        limit: int,
        connect_timeout_s: float,
        name: str = "",
        idle_s: float = _IDLE_S,
        accept_unframed: bool = False,
    ) -> None:
        """Creates a pool without connections.

        Args:
          address: `host:port` of the server.
          limit: Requests under way at once; further ones wait.
          connect_timeout_s: Bound on that wait and on each connect.
          name: Name of the server in failures; its address if empty.
          idle_s: Seconds after which an unused connection is closed.
          accept_unframed: Whether the end of the connection ends a body that
            has neither a length nor chunks.
        """
        self.address = address
        self.name = name or address
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._timeout_s = connect_timeout_s
        self._free = asyncio.Semaphore(limit)
        self._idle: list[_Connection] = []
        self._idle_s = idle_s
        self.accept_unframed = accept_unframed
        self._closed = False
        self.connects = 0

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
    ) -> Answer | errors.Failure:
        """Sends a request and returns its answer once the head arrived.

        Cancelling the call closes the connection.

        Args:
          method: HTTP method.
          path: Path with the query.
          headers: Headers in order.
          body: Whole body.
          reuse: Whether an idle connection may be used. The server may close
            one just as the request is written, which then may have run.
        """
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._free.acquire()
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
                self._free.release()
                return connection
            answer = await self._exchange(
                connection, method, path, headers, body
            )
        except BaseException:
            if isinstance(connection, _Connection):
                self.discard(connection)
            else:
                self._free.release()
            raise
        if isinstance(answer, errors.Failure):
            self.discard(connection)
        return answer

    async def _take_idle(self) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            connection.reader.on_input = None
            if now - connection.idle_since < self._idle_s:
                # The loop reads the socket between two passes, so a close or
                # stray bytes that have arrived are seen before writing.
                try:
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                except BaseException:
                    connection.writer.close()
                    raise
                if connection.clean():
                    return connection
            connection.writer.close()
        return None

    async def _connect(self) -> _Connection | errors.Failure:
        loop = asyncio.get_running_loop()
        reader = _Reader(loop=loop)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        self.connects += 1
        try:
            async with asyncio.timeout(self._timeout_s):
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
        _set_keepalive(transport)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return _Connection(reader, writer)

    async def skip(
        self, answer: Answer, method: str, limit: int
    ) -> Answer | errors.Failure:
        """Drops an answer to another request and reads the next one.

        Args:
          answer: The answer that came in place of the expected one.
          method: Method of the request under way.
          limit: Largest body in bytes that is dropped.

        Returns:
          The next answer of the same connection.
        """
        connection = answer.take_connection()
        if connection is None or not answer.delimited():
            await answer.close()
            return self.failure(
                errors.Reason.CONNECTION_LOST, "an answer without a request"
            )
        try:
            size = 0
            while True:
                data, end = connection.body.take()
                size += len(data)
                if isinstance(end, h11.EndOfMessage):
                    break
                if isinstance(end, h11.RemoteProtocolError) or size > limit:
                    self.discard(connection)
                    return self.failure(
                        errors.Reason.CONNECTION_LOST, f"extra answer: {end}"
                    )
                if end is answerbody.MORE:
                    await asyncio.sleep(0)
                else:
                    await connection.receive()
            connection.expect_next(method)
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
        return Answer(self, connection, head)

    async def _exchange(
        self,
        connection: _Connection,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> Answer | errors.Failure:
        names = {name.lower() for name, _ in headers}
        if "host" not in names:
            headers = [("host", self.address), *headers]
        if "content-length" not in names and (body or method != "GET"):
            headers = [*headers, ("content-length", str(len(body)))]
        machine = connection.machine
        try:
            # Values are bytes beyond ASCII too, read as Latin-1 everywhere.
            encoded = [(k, v.encode("latin-1")) for k, v in headers]
            parts = machine.send(
                h11.Request(method=method, target=path, headers=encoded)  # type: ignore[arg-type]
            )
            assert parts is not None
            parts += machine.send(h11.Data(data=body)) or b"" if body else b""
            parts += machine.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            return self.failure(
                errors.Reason.BAD_REQUEST,
                str(error),
                errors.Outcome.NOT_RUN,
                errors.Step.SEND,
            )
        # The whole request is in memory already, so the answer is awaited
        # without waiting for the write: it may come before the body is read.
        connection.writer.write(parts)
        try:
            head = await connection.next_head()
        except (OSError, h11.RemoteProtocolError) as error:
            return self.failure(errors.Reason.CONNECTION_LOST, str(error))
        if head is None:
            return self.failure(
                errors.Reason.CONNECTION_LOST, "closed before the answer"
            )
        return Answer(self, connection, head)

    def give_back(self, connection: _Connection) -> None:
        """Takes a connection whose answer was read to its end."""
        machine = connection.machine
        reusable = (
            not self._closed
            and machine.our_state is h11.DONE
            and machine.their_state is h11.DONE
            and connection.clean()
        )
        if not reusable:
            self.discard(connection)
            return
        machine.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        connection.reader.on_input = functools.partial(
            self._drop_idle, connection
        )
        self._idle.append(connection)
        self._free.release()

    def _drop_idle(self, connection: _Connection) -> None:
        """Closes an idle connection on which something arrived.

        The server closed it, or sends bytes that answer no request; those
        could go on without end.
        """
        connection.reader.on_input = None
        self._idle.remove(connection)
        connection.writer.transport.abort()

    def discard(self, connection: _Connection) -> None:
        """Closes a connection that was in use.

        It is reset: behind a congested link a plain close would reach the
        server only after all that is still unsent, and it would work on.
        """
        connection.writer.transport.abort()
        self._free.release()

    def close(self) -> None:
        """Closes the idle connections; those in use close after use."""
        self._closed = True
        while self._idle:
            connection = self._idle.pop()
            connection.reader.on_input = None
            connection.writer.close()
