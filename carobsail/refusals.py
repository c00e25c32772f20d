"""Refusals of requests, and their statuses."""

import json
import logging

from carobsail import errors, telemetry

# Longer paths are cut in log lines.
MAX_LOGGED_PATH = 120

_log = logging.getLogger(__name__)


class RefusalError(Exception):
    """Raised for a request that is refused without calling a handler.

    Attributes:
      status: HTTP status of the response.
      failure: Reason of the refusal.
    """

    def __init__(
        self,
        status: int,
        detail: str,
        reason: errors.Reason = errors.Reason.BAD_REQUEST,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.failure = errors.Failure(
            reason, errors.Step.READ, "caller", detail=detail
        )

    def log(self, client: str, target: str, left_out: int = 0) -> None:
        """Logs the refusal.

        Args:
          client: `host:port` of the caller.
          target: Path and query of the request; empty if they were not read
            before the refusal.
          left_out: Equal refusals that were not logged before this one.
        """
        failure = self.failure
        telemetry.log(
            _log,
            "request_refused",
            status=self.status,
            reason=str(failure.reason),
            step=str(failure.step),
            peer=client,
            outcome=str(failure.outcome),
            detail=failure.detail,
            path=target[:MAX_LOGGED_PATH],
            left_out=left_out,
        )

    def build_response(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns body and headers of its response."""
        failure = self.failure
        body = json.dumps(failure.error_body(self.status)).encode() + b"\n"
        headers = [
            ("content-type", "application/json"),
            ("x-outcome", str(failure.outcome)),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if failure.reason is errors.Reason.OVERLOADED:
            headers.append(("retry-after", "1"))
        return body, headers


def not_run(
    reason: errors.Reason, detail: str, retry_after_s: float | None = None
) -> errors.Failure:
    """Returns the failure of a request that was not sent to a target."""
    return errors.Failure(
        reason,
        errors.Step.ROUTE,
        "",
        errors.Outcome.NOT_RUN,
        detail,
        retry_after_s,
    )


def status_of(failure: errors.Failure) -> int:
    """Returns a status that claims no more than is known of the outcome."""
    if failure.reason is errors.Reason.BAD_REQUEST:
        return 400
    if failure.reason is errors.Reason.UNAUTHENTICATED:
        return 401
    if failure.reason is errors.Reason.UNKNOWN_PATH:
        return 404
    if failure.reason is errors.Reason.RATE_LIMITED:
        return 429
    if failure.outcome is errors.Outcome.NOT_RUN:
        return 503
    return 504 if failure.reason is errors.Reason.TIMEOUT else 502
