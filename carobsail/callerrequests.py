"""Parses and checks callers' requests, and builds error responses."""

import dataclasses
import json
import urllib.parse
from typing import Any

import msgspec
import xxhash

from carobsail import configuration, errors

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICES_PATH = "/services"
DEADLINE_HEADER = "x-deadline-ms"
KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
# English text has about four characters per token on average.
CHARACTERS_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 128

_STATUS_BY_REASON = {
    errors.Reason.BAD_REQUEST: 400,
    errors.Reason.KEY_REQUIRED: 400,
    errors.Reason.INVALID: 400,
    errors.Reason.UNAUTHENTICATED: 401,
    errors.Reason.UNKNOWN_MODEL: 404,
    errors.Reason.UNKNOWN_ADAPTER: 404,
    errors.Reason.UNKNOWN_PATH: 404,
    errors.Reason.OUTCOME_UNKNOWN: 409,
    errors.Reason.IN_PROGRESS: 409,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.KEY_REUSED: 422,
    errors.Reason.SUSPECT_REFUSED: 422,
    errors.Reason.RATE_LIMITED: 429,
    errors.Reason.CONCURRENCY_LIMITED: 429,
    errors.Reason.TARGET_ERROR: 502,
    errors.Reason.CONNECTION_LOST: 502,
    errors.Reason.ANSWER_CUT: 502,
    errors.Reason.TIMEOUT: 504,
}


@dataclasses.dataclass(slots=True, frozen=True)
class CallerRequest:
    """A checked request of a client account.

    Attributes:
      policy: Policy of the client account.
      operation: Operation of the policy that matches method and path.
      method: HTTP method.
      path: HTTP path and query to send to the target.
      headers: Headers to pass on to the target.
      body: Body as received.
      model: Model name, empty for services.
      adapter: Adapter name or empty.
      stream: Whether the caller asked for server-sent events.
      prompt: Prompt text, for prefix matching.
      prompt_tokens: Estimated prompt length in tokens.
      output_tokens: Upper bound of the output length in tokens, or a default
        if the request has none.
      due_s: Seconds from arrival until the complete response is due.
      key: Idempotency key or empty.
      fingerprint: Hash of body, model, adapter and path.
    """

    policy: configuration.Policy
    operation: configuration.Operation
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    model: str
    adapter: str
    stream: bool
    prompt: str
    prompt_tokens: int
    output_tokens: int
    due_s: float
    key: str
    fingerprint: str


class _ModelBody(msgspec.Struct):
    """The fields of an OpenAI-compatible body that routing needs."""

    model: str
    stream: bool = False
    messages: list[dict[str, Any]] = []
    prompt: str | list[Any] = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_model_body_decoder = msgspec.json.Decoder(_ModelBody)


def _read_failure(reason: errors.Reason, detail: str) -> errors.Failure:
    """Returns the failure for a request that is refused when it is parsed."""
    return errors.Failure(reason, errors.Step.READ, "caller", detail=detail)


def parse_request(
    policy: configuration.Policy,
    adapter_models: dict[str, str],
    method: str,
    path: str,
    query: str,
    headers: dict[str, str],
    body: bytes,
) -> CallerRequest | errors.Failure:
    """Checks a request against the client account's policy.

    Args:
      policy: Policy of the authenticated client account.
      adapter_models: Model of each adapter in the inventory.
      method: HTTP method.
      path: HTTP path.
      query: HTTP query without the question mark.
      headers: Headers with lower-case names.
      body: Request body.

    Returns:
      The checked request, or a failure with outcome NOT_RUN.
    """
    if _has_dot_segment(path):
        # The target would resolve it to a path that the operation does not
        # cover.
        detail = f"path {path!r} has a segment . or .."
        return _read_failure(errors.Reason.BAD_REQUEST, detail)
    operation = policy.operation(method, path)
    if operation is None:
        detail = f"client account {policy.account} has no {method} {path}"
        return _read_failure(errors.Reason.UNKNOWN_PATH, detail)
    due_s = _read_deadline(operation, headers)
    if isinstance(due_s, errors.Failure):
        return due_s
    key = headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        detail = f"{KEY_HEADER} is longer than {MAX_KEY_LENGTH} characters"
        return _read_failure(errors.Reason.BAD_REQUEST, detail)
    if operation.key_required and not key:
        detail = f"{method} {path} needs the header {KEY_HEADER}"
        return _read_failure(errors.Reason.KEY_REQUIRED, detail)
    model = _ModelBody(model="")
    adapter = ""
    if not operation.service:
        parsed = _read_model(policy, adapter_models, body)
        if isinstance(parsed, errors.Failure):
            return parsed
        model, adapter = parsed
    prompt = _prompt_text(model)
    return CallerRequest(
        policy=policy,
        operation=operation,
        method=method,
        path=_target_path(operation, path, query),
        headers=_select_headers(headers),
        body=body,
        model=model.model,
        adapter=adapter,
        stream=model.stream,
        prompt=prompt,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
        output_tokens=_max_output_tokens(model),
        due_s=due_s,
        key=key,
        fingerprint=fingerprint(body, model.model, adapter, path),
    )


def _has_dot_segment(path: str) -> bool:
    """Tells whether a path has dot segments, percent-encoded or not."""
    unquoted = urllib.parse.unquote(path).replace("\\", "/")
    return any(segment in (".", "..") for segment in unquoted.split("/"))


def _target_path(
    operation: configuration.Operation, path: str, query: str
) -> str:
    """Returns path and query as the target expects them."""
    if operation.service:
        path = path.removeprefix(f"{SERVICES_PATH}/{operation.service}") or "/"
    return f"{path}?{query}" if query else path


def _read_deadline(
    operation: configuration.Operation, headers: dict[str, str]
) -> float | errors.Failure:
    """Returns the deadline in seconds; callers may only shorten it."""
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return operation.due_ms / 1000
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        detail = f"{DEADLINE_HEADER}: expected milliseconds >= 1, got {text!r}"
        return _read_failure(errors.Reason.BAD_REQUEST, detail)
    return min(int(text), operation.due_ms) / 1000


def _read_model(
    policy: configuration.Policy, adapter_models: dict[str, str], body: bytes
) -> tuple[_ModelBody, str] | errors.Failure:
    """Parses the body and resolves its `model`, which may name an adapter."""
    try:
        parsed = _model_body_decoder.decode(body)
    except msgspec.DecodeError as error:
        return _read_failure(errors.Reason.BAD_REQUEST, f"body: {error}")
    name = parsed.model
    if name in policy.models:
        return parsed, ""
    if name not in policy.adapters:
        detail = f"client account {policy.account} has no model {name!r}"
        return _read_failure(errors.Reason.UNKNOWN_MODEL, detail)
    if name not in adapter_models:
        detail = f"adapter {name!r} is not in the inventory"
        return _read_failure(errors.Reason.UNKNOWN_ADAPTER, detail)
    parsed.model = adapter_models[name]
    return parsed, name


def _prompt_text(body: _ModelBody) -> str:
    if body.messages:
        contents = (m.get("content", "") for m in body.messages)
        return "\n".join(
            c if isinstance(c, str) else json.dumps(c) for c in contents
        )
    return body.prompt if isinstance(body.prompt, str) else str(body.prompt)


def _max_output_tokens(body: _ModelBody) -> int:
    bound = body.max_completion_tokens or body.max_tokens
    return bound if bound and bound > 0 else DEFAULT_OUTPUT_TOKENS


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int = 0


class _ModelResponse(msgspec.Struct):
    usage: _Usage = _Usage()


_model_response_decoder = msgspec.json.Decoder(_ModelResponse)


def completion_tokens(body: bytes) -> int:
    """Returns the number of output tokens stated in a response, or 0."""
    try:
        return _model_response_decoder.decode(body).usage.completion_tokens
    except msgspec.DecodeError:
        return 0


def _select_headers(headers: dict[str, str]) -> list[tuple[str, str]]:
    names = ("content-type", "accept")
    return [(name, headers[name]) for name in names if name in headers]


def fingerprint(body: bytes, model: str, adapter: str, path: str) -> str:
    """Returns a hash that is the same for identical requests."""
    digest = xxhash.xxh3_128(body)
    digest.update(f"\0{model}\0{adapter}\0{path}".encode())
    return digest.hexdigest()


def status_of(failure: errors.Failure) -> int:
    """Returns the HTTP status code for a failure."""
    return _STATUS_BY_REASON.get(failure.reason, 503)


def error_response(
    failure: errors.Failure,
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Returns status, headers and body in the error format of OpenAI."""
    status = status_of(failure)
    headers = [
        ("content-type", "application/json"),
        ("x-outcome", str(failure.outcome)),
    ]
    if failure.retry_after_s is not None:
        seconds = max(1, round(failure.retry_after_s + 0.5))
        headers.append(("retry-after", str(seconds)))
    elif status in (429, 503):
        headers.append(("retry-after", "1"))
    return status, headers, json.dumps(error_body(failure)).encode() + b"\n"


def error_body(failure: errors.Failure) -> dict[str, Any]:
    """Returns the error object of a failure."""
    return failure.error_body(status_of(failure))
