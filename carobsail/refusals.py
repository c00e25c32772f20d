"""Requests that are refused before a handler sees them."""

import json
import logging

from carobsail import errors, telemetry

_log = logging.getLogger(__name__)


class RefusalError(Exception):
    """A request that is answered without a handler."""

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

    def answer(self, client: str) -> tuple[bytes, list[tuple[str, str]]]:
        """Logs the refusal and returns body and headers of its answer.

        Args:
          client: `host:port` of the caller.
        """
        failure = self.failure
        telemetry.log(
            _log,
            "request_refused",
            reason=str(failure.reason),
            step=str(failure.step),
            peer=client,
            outcome=str(failure.outcome),
            detail=failure.detail,
        )
        body = json.dumps(failure.describe(self.status)).encode() + b"\n"
        headers = [
            ("content-type", "application/json"),
            ("x-outcome", str(failure.outcome)),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        if failure.reason is errors.Reason.OVERLOADED:
            headers.append(("retry-after", "1"))
        return body, headers
