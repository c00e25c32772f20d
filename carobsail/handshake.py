"""Handshake of a link: protocol versions and mutual authentication.

Each side sends an opening frame with its Hello and a nonce, then a proof: an
HMAC-SHA256 of both opening frames, keyed with the first of its shared
secrets. The client sends its proof first.
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
    """Returns the byte strings in a frame, or none if it is malformed."""
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
    """Returns the failure of a connection attempt, with outcome "not run"."""
    return errors.Failure(reason, step, peer, errors.Outcome.NOT_RUN, detail)


def _proof(
    secret: bytes, side: bytes, client_frame: bytes, server_frame: bytes
) -> bytes:
    """Returns the HMAC of both opening frames.

    Args:
      secret: Shared secret.
      side: Sender of the proof, `client` or `server`, which prevents
        reflection attacks.
      client_frame: Opening frame of the client.
      server_frame: Opening frame of the server.
    """
    transcript = hashlib.sha256(client_frame).digest()
    transcript += hashlib.sha256(server_frame).digest()
    return hmac.digest(secret, side + transcript, "sha256")


def _verify(
    proof: object, secrets: Sequence[bytes], side: bytes, *frames: bytes
) -> bool:
    """Tells whether a proof matches any of the secrets."""
    if not isinstance(proof, bytes):
        return False
    valid = False
    for secret in secrets:  # No early exit: constant time for the list.
        valid |= hmac.compare_digest(proof, _proof(secret, side, *frames))
    return valid


def _opening_frame(hello: messages.Hello) -> bytes:
    """Returns an opening frame with a new nonce."""
    nonce = random_secrets.token_bytes(NONCE_BYTES)
    return cbor2.dumps([messages.encode(hello), nonce])


def _read_opening_frame(
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


async def _send_refusal(
    connection: websocket_connection.Connection, failure: errors.Failure
) -> None:
    """Sends a failure in the form of an opening frame."""
    reply = messages.Failed.from_failure("", failure)
    padding = bytes(NONCE_BYTES)
    await connection.send(cbor2.dumps([messages.encode(reply), padding]))


async def accept(
    connection: websocket_connection.Connection,
    hello: messages.Hello,
    secrets: Sequence[bytes],
) -> messages.Hello | errors.Failure:
    """Performs the server's side of the handshake.

    Returns:
      The Hello of the client, or why it was refused.
    """
    remote_address = str(connection.remote_address)
    client_frame = await connection.recv(decode=False)
    peer = _read_opening_frame(client_frame, hello, remote_address)
    if isinstance(peer, errors.Failure):
        await _send_refusal(connection, peer)
        return peer
    server_frame = _opening_frame(hello)
    await connection.send(server_frame)
    proof = await connection.recv(decode=False)
    if not _verify(proof, secrets, b"client", client_frame, server_frame):
        failure = connect_failure(
            errors.Reason.UNAUTHENTICATED,
            peer.instance,
            "wrong shared secret",
            errors.Step.AUTHENTICATE,
        )
        await _send_refusal(connection, failure)
        return failure
    await connection.send(
        _proof(secrets[0], b"server", client_frame, server_frame)
    )
    return peer


async def initiate(
    connection: websocket_connection.Connection,
    hello: messages.Hello,
    secrets: Sequence[bytes],
    address: str,
) -> messages.Hello | errors.Failure:
    """Performs the client's side of the handshake.

    Returns:
      The Hello of the server, or why the handshake failed.
    """
    client_frame = _opening_frame(hello)
    await connection.send(client_frame)
    server_frame = await connection.recv(decode=False)
    peer = _read_opening_frame(server_frame, hello, address)
    if isinstance(peer, errors.Failure):
        return peer
    await connection.send(
        _proof(secrets[0], b"client", client_frame, server_frame)
    )
    proof = await connection.recv(decode=False)
    if _verify(proof, secrets, b"server", client_frame, server_frame):
        return peer
    refusal = _read_opening_frame(proof, hello, address)
    if isinstance(refusal, errors.Failure) and len(proof) != 32:
        return refusal
    return connect_failure(
        errors.Reason.UNAUTHENTICATED,
        peer.instance,
        "wrong shared secret",
        errors.Step.AUTHENTICATE,
    )
