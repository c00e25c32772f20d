"""Small crowds of callers that try to exhaust an instance."""

import asyncio
import pathlib
import random
from collections.abc import Callable, Iterator

from soak.records import HOST

# Limits of the configuration in `configurations`.
_BODY_BYTES = 1_048_576
_CLIENTS = 24
_HEAD = f"POST /unsafe/crowd HTTP/1.1\r\nhost: {HOST}\r\n".encode()
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"

_Form = Callable[[random.Random], Iterator[bytes]]
_FORMS: list[_Form] = []


def _form(function: _Form) -> _Form:
    """Registers what the clients of a crowd may send."""
    _FORMS.append(function)
    return function


@_form
def _short_of_the_end(rng: random.Random) -> Iterator[bytes]:
    """A body that lacks its last byte."""
    yield _HEAD + b"content-length: %d\r\n\r\n" % _BODY_BYTES
    left = _BODY_BYTES - 1
    while left:
        size = min(left, rng.randint(1, 65_536))
        yield bytes(size)
        left -= size


@_form
def _small_chunks(rng: random.Random) -> Iterator[bytes]:
    """Chunks of one byte, without an end."""
    yield _HEAD + _CHUNKED
    for _ in range(10):
        yield b"1\r\na\r\n" * rng.randint(1, 2000)


@_form
def _too_long(rng: random.Random) -> Iterator[bytes]:
    """Chunks far over the limit."""
    yield _HEAD + _CHUNKED
    for _ in range(40):
        size = rng.randint(1, 65_536)
        yield b"%x\r\n%b\r\n" % (size, bytes(size))


@_form
def _half_a_head(rng: random.Random) -> Iterator[bytes]:
    """A head without an end, or nothing."""
    yield _HEAD[: rng.randint(0, len(_HEAD))]


async def send_crowd(
    host: str, port: int, rng: random.Random, duration_s: float
) -> None:
    """Opens connections of one form and keeps them for a time."""
    form = rng.choice(_FORMS)
    writers: list[asyncio.StreamWriter] = []

    async def send(own_rng: random.Random) -> None:
        try:
            _, writer = await asyncio.open_connection(host, port)
            writers.append(writer)
            for piece in form(own_rng):
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass  # The instance closed the connection, or has ended.

    tasks = [
        asyncio.create_task(send(random.Random(rng.random())))
        for _ in range(_CLIENTS)
    ]
    try:
        await asyncio.sleep(duration_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        for writer in writers:
            writer.transport.abort()


def peak_mb(pid: int) -> float:
    """Returns the peak of the memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = [x.split()[1] for x in text.splitlines() if x.startswith("VmHWM")]
    return int(found[0]) / 1024.0 if found else 0.0
