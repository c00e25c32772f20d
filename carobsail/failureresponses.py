"""Error responses that an instance generates itself, and their log lines."""

import dataclasses
import json
import logging
from typing import Any

from carobsail import (
    errors,
    headercodec,
    httpserver,
    loglimit,
    refusals,
    routetable,
    storeera,
    targetchoice,
    telemetry,
)

_log = logging.getLogger(__name__)


class FailureResponses:
    """Sends error responses.

    Attributes:
      log_limit: Limits the log lines on requests that were not admitted.
    """

    __slots__ = ("_header_codec", "_metrics", "log_limit")

    def __init__(
        self,
        header_codec: headercodec.HeaderCodec,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates a sender that logs each response."""
        self._header_codec = header_codec
        self._metrics = metrics
        self.log_limit = loglimit.LogLimit(0.0)

    async def send_unadmitted(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        metadata: headercodec.RequestMetadata | errors.Failure,
        failure: errors.Failure,
        table: routetable.RouteTable | None,
        table_age_s: float,
        now: float,
    ) -> None:
        """Refuses a request before admission and logs what decided it."""
        if isinstance(metadata, errors.Failure):
            request_id, host = "", request.header("host")
        else:
            request_id, host = metadata.request_id, metadata.host
        client = request.client_address.rpartition(":")[0]
        left_out = self.log_limit.admit(client, str(failure.reason), now)
        await self.send(
            responder,
            request_id,
            failure,
            table,
            logs=left_out is not None,
            method=request.method,
            host=host,
            path=request.path[: refusals.MAX_LOGGED_PATH],
            table_revision=storeera.describe(table.revision if table else 0),
            table_age_s=table_age_s,
            left_out=left_out,
        )

    async def send(
        self,
        responder: httpserver.Responder,
        request_id: str,
        failure: errors.Failure,
        table: routetable.RouteTable | None,
        model: str = "",
        logs: bool = True,
        **inputs: Any,
    ) -> None:
        """Sends an error response.

        Args:
          responder: Sends the response.
          request_id: Identifier of the request; empty if it has none.
          failure: Why the request fails.
          table: Active configuration.
          model: Model that the request needs.
          logs: Whether to write a log line.
          inputs: Further inputs of the decision, for its log line.
        """
        status = refusals.status_of(failure)
        if status == 503 and failure.retry_after_s is None:
            failure = dataclasses.replace(
                failure, retry_after_s=targetchoice.MIN_RETRY_S
            )
        if logs:
            telemetry.log(
                _log,
                "request_refused",
                request=request_id,
                status=status,
                reason=str(failure.reason),
                outcome=str(failure.outcome),
                detail=failure.detail,
                retry_after_s=failure.retry_after_s,
                table_version=table.version if table else 0,
                model=model,
                **inputs,
            )
        self._metrics.count(f"refused_{failure.reason}")
        await responder.send(
            status,
            self._header_codec.error_headers(request_id, failure),
            json.dumps(failure.error_body(status)).encode(),
        )
