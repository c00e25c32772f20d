"""Opening of a link: protocol versions and mutual authentication.

Each side sends its Hello with a nonce, then an HMAC-SHA256 of both opening
frames under the first of its shared secrets. The client proves itself first.
"""

import hashlib
import hmac
import secrets as random_secrets
from collections.abc import Sequence

import cbor2
from websockets.asyncio import connection as websocket_connection

from carobsail import errors, messages

NONCE_BYTES = 32


def read_items(frame: bytes | str) -> list[bytes]:
    """Returns the byte strings in a frame; none if it is malformed."""
    try:
        items = cbor2.loads(frame) if isinstance(frame, bytes) else []
    except cbor2.CBORError:
        return []
    if not isinstance(items, list):
        return []
    return [item for item in items if isinstance(item, bytes)]


def connect_failure(
    reason: errors.Reason, peer: str, detail: str, step: errors.Step
) -> errors.Failure:
    """Returns the failure (not run) of a connection attempt."""
    return errors.Failure(reason, step, peer, errors.Outcome.NOT_RUN, detail)


def _proof(secret: bytes, side: bytes, first: bytes, second: bytes) -> bytes:
    """Authenticates both opening frames; `side` prevents reflection."""
    transcript = hashlib.sha256(first).digest()
    transcript += hashlib.sha256(second).digest()
    return hmac.digest(secret, side + transcript, "sha256")


def _verify(
    proof: object, secrets: Sequence[bytes], side: bytes, *frames: bytes
) -> bool:
    if not isinstance(proof, bytes):
        return False
    valid = False
    for secret in secrets:  # No early exit: constant time over the list.
        valid |= hmac.compare_digest(proof, _proof(secret, side, *frames))
    return valid


def _opening(hello: messages.Hello) -> bytes:
    nonce = random_secrets.token_bytes(NONCE_BYTES)
    return cbor2.dumps([messages.encode(hello), nonce])


def _read_opening(
    frame: object, own: messages.Hello, peer: str
) -> messages.Hello | errors.Failure:
    """Parses an opening frame and checks the protocol versions."""
    invalid = errors.Reason.INVALID
    connect = errors.Step.CONNECT
    parts = read_items(frame) if isinstance(frame, bytes) else []
    if len(parts) != 2 or len(parts[1]) != NONCE_BYTES:
        return connect_failure(invalid, peer, "malformed handshake", connect)
    try:
        hello = messages.decode(parts[0])
    except ValueError as error:
        return connect_failure(invalid, peer, str(error), connect)
    if isinstance(hello, messages.Failed):
        return hello.failure()
    if not isinstance(hello, messages.Hello):
        return connect_failure(invalid, peer, "Hello expected", connect)
    if hello.version < own.minimum or hello.minimum > own.version:
        detail = (
            f"{own.instance} accepts protocol versions {own.minimum} to "
            f"{own.version}, {hello.instance} {hello.minimum} to "
            f"{hello.version}"
        )
        return connect_failure(invalid, hello.instance, detail, connect)
    return hello


async def _refuse(
    connection: websocket_connection.Connection, failure: errors.Failure
) -> None:
    reply = messages.Failed.from_failure("", failure)
    padding = bytes(NONCE_BYTES)
    await connection.send(cbor2.dumps([messages.encode(reply), padding]))


async def accept(
    connection: websocket_connection.Connection,
    hello: messages.Hello,
    secrets: Sequence[bytes],
) -> messages.Hello | errors.Failure:
    """Runs the server's side of the handshake."""
    remote = str(connection.remote_address)
    first = await connection.recv(decode=False)
    peer = _read_opening(first, hello, remote)
    if isinstance(peer, errors.Failure):
        await _refuse(connection, peer)
        return peer
    second = _opening(hello)
    await connection.send(second)
    proof = await connection.recv(decode=False)
    if not _verify(proof, secrets, b"client", first, second):
        failure = connect_failure(
            errors.Reason.UNAUTHENTICATED,
            peer.instance,
            "wrong shared secret",
            errors.Step.AUTHENTICATE,
        )
        await _refuse(connection, failure)
        return failure
    await connection.send(_proof(secrets[0], b"server", first, second))
    return peer


async def introduce(
    connection: websocket_connection.Connection,
    hello: messages.Hello,
    secrets: Sequence[bytes],
    address: str,
) -> messages.Hello | errors.Failure:
    """Runs the client's side of the handshake."""
    first = _opening(hello)
    await connection.send(first)
    second = await connection.recv(decode=False)
    peer = _read_opening(second, hello, address)
    if isinstance(peer, errors.Failure):
        return peer
    await connection.send(_proof(secrets[0], b"client", first, second))
    proof = await connection.recv(decode=False)
    if _verify(proof, secrets, b"server", first, second):
        return peer
    refusal = _read_opening(proof, hello, address)
    if isinstance(refusal, errors.Failure) and len(proof) != 32:
        return refusal
    return connect_failure(
        errors.Reason.UNAUTHENTICATED,
        peer.instance,
        "wrong shared secret",
        errors.Step.AUTHENTICATE,
    )
