"""Reads and writes the platform's headers of requests and responses."""

import math

from carobsail import errors, headercodec, httpclient, httpserver
from carobsail.headercodec import (
    Headers,
    ReportedLoad,
    RequestMetadata,
    ResponseMetadata,
    TargetHeaders,
)

REQUEST_ID = "carobsail-request-id"
DEADLINE_MS = "carobsail-deadline-ms"
TARGET_INSTANCE = "carobsail-target-instance"
URGENCY = "carobsail-urgency-class"
MODEL = "carobsail-model"
TOKEN_COUNT = "carobsail-token-count"
PROMPT_PREFIX = "carobsail-prompt-prefix"
LAST_EVENT = "last-event-id"
AUTHORIZATION = "authorization"
ACCOUNT = "carobsail-tenant-id"
SEAL = "carobsail-server-seal"
NOT_EXECUTED = "carobsail-not-executed"
SERVER_LOAD = "carobsail-server-load"
SERVER_LEAVING = "server-leaving"

# Numbers from there on do not count anything; floats cannot hold all of them.
_MAX_COUNT = 2**31

# Headers that apply to one connection only (RFC 9110, 7.6.1), and the content
# length, which the sender of each message sets.
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that only carobsail or the platform may set; they are removed from
# callers' requests.
_SYSTEM_HEADERS = frozenset(
    {
        DEADLINE_MS,
        TARGET_INSTANCE,
        URGENCY,
        "carobsail-expected-version",
        "carobsail-hold",
        "carobsail-kv-backup",
        "carobsail-pin-ms",
        "kv-fetch",
        "kv-from",
    }
)


class PlatformHeaders(headercodec.HeaderCodec):
    """See base class; uses the headers of the platform's protocol."""

    def parse_request(
        self, request: httpserver.Request
    ) -> RequestMetadata | errors.Failure:
        """See base class."""
        values = dict(reversed(request.headers))
        try:
            caller_timeout_s = _parse_deadline(values.get(DEADLINE_MS))
            prompt, answer = _parse_token_counts(values.get(TOKEN_COUNT, ""))
            parts = _parse_prompt_parts(values.get(PROMPT_PREFIX, ""))
        except ValueError as error:
            return errors.Failure(
                errors.Reason.BAD_REQUEST,
                errors.Step.READ,
                "caller",
                detail=f"malformed header: {error}",
            )
        model, _, adapter = values.get(MODEL, "").partition("/")
        host = values.get("host", "")
        credentials = [v for k, v in request.headers if k == AUTHORIZATION]
        return RequestMetadata(
            values.get(REQUEST_ID, ""),
            host.rpartition(":")[0] if ":" in host else host,
            caller_timeout_s,
            model,
            adapter,
            prompt,
            answer,
            parts,
            values.get(LAST_EVENT, ""),
            values.get(AUTHORIZATION, ""),
            credentials[0] if len(credentials) == 1 else "",
        )

    def target_headers(
        self, request: httpserver.Request, fields: TargetHeaders
    ) -> Headers:
        """See base class."""
        dropped = _CONNECTION_HEADERS | _SYSTEM_HEADERS
        dropped |= _connection_options(request.headers)
        if fields.last_event:
            dropped |= {LAST_EVENT}
        if fields.account is not None:
            dropped |= {AUTHORIZATION, ACCOUNT}
        headers = [h for h in request.headers if h[0] not in dropped]
        headers.append((TARGET_INSTANCE, fields.identity))
        if fields.left_s is not None:
            left_ms = max(1, math.floor(fields.left_s * 1000.0))
            headers.append((DEADLINE_MS, str(left_ms)))
        if fields.urgency is not None:
            headers.append((URGENCY, str(fields.urgency)))
        if fields.last_event:
            headers.append((LAST_EVENT, fields.last_event))
        if fields.account:
            headers.append((ACCOUNT, fields.account))
        return headers

    def parse_response(self, response: httpclient.Response) -> ResponseMetadata:
        """See base class."""
        encoding = response.header("content-encoding")
        not_executed = response.header(NOT_EXECUTED) is not None
        # A response that is no error and yet was not executed contradicts
        # itself: it is neither a refusal nor the target's answer.
        contradictory = not_executed and response.status < 400
        return ResponseMetadata(
            response.header(REQUEST_ID),
            response.header(SEAL) is not None and not contradictory,
            (not_executed and not contradictory) or response.status == 421,
            response.status == 421,
            _parse_retry_after(response.header("retry-after")),
            _parse_load(response.header(SERVER_LOAD)),
            encoding not in (None, "", "identity"),
            says_leaving(response),
        )

    def caller_headers(self, response: httpclient.Response) -> Headers:
        """See base class."""
        dropped = _CONNECTION_HEADERS | _connection_options(response.headers)
        return [h for h in response.headers if h[0] not in dropped]

    def error_headers(
        self, request_id: str, failure: errors.Failure
    ) -> Headers:
        """See base class."""
        headers = [("content-type", "application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id))
        if failure.retry_after_s is not None:
            headers.append(("retry-after", f"{failure.retry_after_s:.3f}"))
        if failure.reason is errors.Reason.UNAUTHENTICATED:
            headers.append(("www-authenticate", "Bearer"))
        return headers


def failure_outcome(status: int) -> errors.Outcome:
    """Returns whether a failed order or call may have had an effect."""
    refused = 400 <= status < 500 or status == 503
    return errors.Outcome.NOT_RUN if refused else errors.Outcome.UNKNOWN


def says_leaving(response: httpclient.Response) -> bool:
    """Whether an engine states in a response that it is leaving."""
    return response.header(SERVER_LEAVING) not in (None, "", "0")


def _connection_options(headers: Headers) -> frozenset[str]:
    """Returns the headers that the Connection header lists."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == "connection"
        for option in value.split(",")
    )


def _parse_deadline(text: str | None) -> float | None:
    """Converts milliseconds to seconds; returns None without a header."""
    if text is None:
        return None
    value = float(text)
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{DEADLINE_MS}: {text[:40]!r}")
    return value / 1000.0


def _parse_count(text: str) -> int:
    """Parses a count of tokens or requests.

    Raises:
      ValueError: The text is not a count.
    """
    count = int(text)
    if not 0 <= count < _MAX_COUNT:
        raise ValueError(f"count out of range: {text[:40]!r}")
    return count


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Parses `PROMPT,ANSWER`, the tokens of the prompt and of the answer."""
    if not text:
        return 0, 0
    prompt, _, answer = text.partition(",")
    return _parse_count(prompt), _parse_count(answer or "0")


def _parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Parses `ID:TOKENS,ID:TOKENS`."""
    if not text:
        return ()
    pairs = [part.strip().partition(":") for part in text.split(",")]
    return tuple((name, _parse_count(tokens)) for name, _, tokens in pairs)


def _parse_retry_after(text: str | None) -> float | None:
    try:
        seconds = math.nan if text is None else float(text)
    except ValueError:
        return None  # The header is optional; the response stays usable.
    return max(0.0, seconds) if math.isfinite(seconds) else None


def _parse_load(text: str | None) -> ReportedLoad | None:
    """Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PACE`.

    The pace is in percent of the usual time.
    """
    try:
        running, waiting, slots, *rest = (text or "").split(",")
        pace = None
        if rest:
            (percent,) = rest
            pace = float(percent) / 100.0
            if not math.isfinite(pace):
                return None
        return ReportedLoad(
            _parse_count(running),
            _parse_count(waiting),
            _parse_count(slots),
            pace,
        )
    except ValueError:
        return None  # Targets of some services do not report their load.
