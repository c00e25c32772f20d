"""Callers of the demo, which send requests and read their answers."""

import asyncio
import collections
import dataclasses
import enum
import json
from typing import Any

import xxhash

from carobsail import errors, httpclient, standin_generation

_MAX_CONNECTIONS = 1024
_TIMEOUT_S = 30.0
_STREAM_END = b"[DONE]"


class Kind(enum.StrEnum):
    """Kinds of requests."""

    DRAFT = "draft"
    STREAM = "stream"
    LOOKUP = "lookup"
    BOOKING = "booking"


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One request with the expected answer.

    Attributes:
      kind: Kind of the request.
      access_key: Access key of its client account.
      method: HTTP method.
      path: HTTP path.
      body: HTTP body.
      due_s: Seconds within which the complete answer is due.
      expected: Expected text of the complete answer.
      key: Idempotency key, or empty.
    """

    kind: Kind
    access_key: str
    method: str
    path: str
    body: bytes
    due_s: float
    expected: str
    key: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Result of a request, as observed by its caller.

    Attributes:
      job: The request.
      instance: Instance that it was sent to.
      duration_s: Seconds until the end of the answer.
      answer: Text of the complete answer, None without one.
      outcome: What the failure says about the execution, None if answered.
      reason: Reason of the failure.
      cut: Whether the connection ended without an answer or an error.
      replayed: Whether the answer is the stored one of an earlier request.
      body: Complete body as received.
    """

    job: Job
    instance: str
    duration_s: float
    answer: str | None = None
    outcome: errors.Outcome | None = None
    reason: str = ""
    cut: bool = False
    replayed: bool = False
    body: bytes = b""

    @property
    def correct(self) -> bool:
        """Whether the answer is the complete one that the request must get."""
        return self.answer == self.job.expected

    @property
    def late(self) -> bool:
        """Whether the answer was complete only after its deadline."""
        return self.duration_s > self.job.due_s


def draft(
    access_key: str,
    model: str,
    prompt: str,
    tokens: int,
    due_s: float,
    *,
    stream: bool = False,
) -> Job:
    """Returns a chat request to a model or adapter."""
    request = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": stream,
    }
    body = json.dumps(request).encode()
    return Job(
        Kind.STREAM if stream else Kind.DRAFT,
        access_key,
        "POST",
        "/v1/chat/completions",
        body,
        due_s,
        standin_generation.answer_text(body, tokens),
    )


def lookup(access_key: str, registration: str, due_s: float) -> Job:
    """Returns a lookup request to the service `registrations`."""
    path = f"/services/registrations/registrations/{registration}"
    vehicle = xxhash.xxh64_hexdigest(registration.encode())
    expected = f'{{"registration":"{registration}","vehicle":"{vehicle}"}}'
    return Job(Kind.LOOKUP, access_key, "GET", path, b"", due_s, expected)


def booking(access_key: str, order: str, key: str, due_s: float) -> Job:
    """Returns a booking request to the service `bookings`."""
    body = json.dumps({"order": order}).encode()
    return Job(
        Kind.BOOKING,
        access_key,
        "POST",
        "/services/bookings/bookings",
        body,
        due_s,
        xxhash.xxh64_hexdigest(body),
        key,
    )


class Callers:
    """Sends requests to instances, as a load balancer would.

    Attributes:
      accepting: Instances that receive new requests.
      in_flight: Number of requests in flight by instance.
    """

    __slots__ = ("_pools", "accepting", "in_flight")

    def __init__(self, addresses: dict[str, str]) -> None:
        """Creates callers from the address of each instance's callers' port."""
        self._pools = {
            name: httpclient.ConnectionPool(
                address, _MAX_CONNECTIONS, _TIMEOUT_S, name
            )
            for name, address in addresses.items()
        }
        self.accepting = list(addresses)
        self.in_flight: collections.Counter[str] = collections.Counter()

    def close(self) -> None:
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def send(self, job: Job, instance: str) -> Report:
        """Sends one request and reads its answer to the end."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.in_flight[instance] += 1
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                report = await self._send(job, instance)
        except TimeoutError:
            report = Report(
                job, instance, 0.0, None, errors.Outcome.UNKNOWN, "no answer"
            )
        finally:
            self.in_flight[instance] -= 1
        duration_s = loop.time() - started
        return dataclasses.replace(report, duration_s=duration_s)

    async def _send(self, job: Job, instance: str) -> Report:
        headers = [("authorization", f"Bearer {job.access_key}")]
        if job.body:
            headers.append(("content-type", "application/json"))
        if job.key:
            headers.append(("idempotency-key", job.key))
        response = await self._pools[instance].request(
            job.method, job.path, headers, job.body
        )
        if isinstance(response, errors.Failure):
            return _cut_report(job, instance, response)
        body = b""
        async for chunk in response.chunks():
            if isinstance(chunk, errors.Failure):
                # An interrupted stream ends with an error event.
                error = _last_event(body)
                if "error" in error:
                    return _failure_report(job, instance, error)
                return _cut_report(job, instance, chunk)
            body += chunk
        replayed = response.header("idempotent-replayed") == "true"
        if response.status >= 400:
            return _failure_report(job, instance, _parse_object(body))
        if job.kind is Kind.STREAM:
            return _stream_report(job, instance, body)
        text = _answer_text(job.kind, body)
        return Report(job, instance, 0.0, text, replayed=replayed, body=body)


def _cut_report(job: Job, instance: str, failure: errors.Failure) -> Report:
    not_run = failure.outcome is errors.Outcome.NOT_RUN
    return Report(
        job,
        instance,
        0.0,
        None,
        failure.outcome,
        str(failure.reason),
        cut=not not_run,
    )


def _failure_report(job: Job, instance: str, parsed: dict[str, Any]) -> Report:
    error = parsed.get("error") or {}
    outcome = errors.Outcome(error.get("outcome", errors.Outcome.UNKNOWN))
    reason = str(error.get("code", "unreadable answer"))
    return Report(job, instance, 0.0, None, outcome, reason)


def _stream_report(job: Job, instance: str, body: bytes) -> Report:
    """Joins the tokens of a stream, which is complete only with `[DONE]`."""
    events = _events(body)
    if not events or events[-1] != _STREAM_END:
        return _failure_report(job, instance, _last_event(body))
    tokens = [
        choice["delta"]["content"]
        for event in events[:-1]
        for choice in _parse_object(event).get("choices", [])
    ]
    return Report(job, instance, 0.0, "".join(tokens))


def _events(body: bytes) -> list[bytes]:
    """Returns the data of the server-sent events in a body."""
    return [
        line.removeprefix(b"data: ")
        for line in body.splitlines()
        if line.startswith(b"data: ")
    ]


def _last_event(body: bytes) -> dict[str, Any]:
    return _parse_object((_events(body) or [b""])[-1])


def _answer_text(kind: Kind, body: bytes) -> str:
    """Returns the part of an answer that is determined by its request."""
    if kind is Kind.LOOKUP:
        return body.decode()
    parsed = _parse_object(body)
    if kind is Kind.BOOKING:
        return str(parsed.get("request"))
    choices = parsed.get("choices") or [{"message": {"content": ""}}]
    return str(choices[0]["message"]["content"])


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        parsed = json.loads(body)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
