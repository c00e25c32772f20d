"""Validates a target's response and relays it to the caller."""

import asyncio
import logging
from collections.abc import Callable

from carobsail import (
    bufferlimit,
    calls,
    errors,
    headercodec,
    httpclient,
    promptcache,
    routetable,
    targetpools,
    targetregistry,
    telemetry,
)

# Maximum size of a response that is buffered before it is relayed.
MAX_RESPONSE_BYTES = 4_194_304
# Maximum size of a refusal's body that is read; the connection of a longer one
# is not reused. A refusal states its reason in some 100 bytes.
MAX_REFUSAL_BYTES = 65_536
# Responses to other requests that are skipped before the send counts as failed.
MAX_STRAY_RESPONSES = 2

_log = logging.getLogger(__name__)


class ResponseRelay:
    """Relays responses that are signed and belong to the request.

    A plain response is relayed only when it is complete, a stream by complete
    events.
    """

    __slots__ = (
        "_header_codec",
        "_metrics",
        "_on_leaving",
        "_prompt_cache",
    )

    def __init__(
        self,
        header_codec: headercodec.HeaderCodec,
        prompt_cache: promptcache.PromptCacheIndex,
        metrics: telemetry.Metrics,
        on_leaving: Callable[[calls.Call, targetregistry.Target], None],
    ) -> None:
        """Creates a relay.

        Args:
          header_codec: Reads and writes the headers of the deployment.
          prompt_cache: Records which prompts an engine has processed.
          metrics: Counters and timings.
          on_leaving: Called when a target states that it is leaving.
        """
        self._header_codec = header_codec
        self._on_leaving = on_leaving
        self._prompt_cache = prompt_cache
        self._metrics = metrics

    async def relay(
        self,
        call: calls.Call,
        target: targetregistry.Target,
        pool: httpclient.ConnectionPool,
        response: httpclient.Response | errors.Failure,
        load: targetpools.TargetLoad,
    ) -> errors.Failure | None:
        """Validates a response and relays it.

        Args:
          call: The request.
          target: The target that responded.
          pool: Connections to the target.
          response: Its response, or why there is none.
          load: Load of the request at the target.

        Returns:
          Why the request did not succeed, or None.
        """
        for _ in range(MAX_STRAY_RESPONSES + 1):
            if isinstance(response, errors.Failure):
                return response
            response_metadata = self._header_codec.parse_response(response)
            if response_metadata.leaving:
                # Also valid in a response to another request of this instance.
                self._on_leaving(call, target)
            if response_metadata.request_id in (
                None,
                "",
                call.metadata.request_id,
            ):
                break
            response = await pool.skip_unsolicited_response(
                response, call.request.method, MAX_RESPONSE_BYTES
            )
        if isinstance(response, errors.Failure):
            return response
        if response_metadata.request_id not in (
            None,
            "",
            call.metadata.request_id,
        ):
            await response.close()
            return pool.failure(
                errors.Reason.CONNECTION_LOST, "answers to other requests"
            )
        call.head_received = True
        if response_metadata.load is not None:
            target.record_load(
                response_metadata.load.running,
                response_metadata.load.waiting,
                response_metadata.load.pace,
                asyncio.get_running_loop().time(),
            )
        if response.status == 503 and response_metadata.retry_after_s:
            self._record_requested_pause(
                call, target, response_metadata.retry_after_s
            )
        if response_metadata.not_executed:
            if not response_metadata.request_id and response.follows_another:
                # An earlier refusal may have been written once more.
                await response.close()
                return pool.failure(
                    errors.Reason.TARGET_REFUSED,
                    "a refusal without an identifier on a kept connection",
                )
            body = await response.read_refusal_body(MAX_REFUSAL_BYTES)
            detail = f"status {response.status}"
            if body:
                detail += f": {body[:80].decode('latin-1')}"
            return pool.failure(
                errors.Reason.TARGET_REFUSED, detail, errors.Outcome.NOT_RUN
            )
        if not response_metadata.signed or response_metadata.encoded:
            await response.close()
            return pool.failure(
                errors.Reason.TARGET_ERROR,
                f"status {response.status} without a signature"
                if not response_metadata.signed
                else "a coding that was not asked for",
            )
        if call.route.retry_safety is routetable.RetrySafety.STREAM and (
            200 <= response.status < 300
        ):
            with response.buffer() as buffer:
                return await self._relay_stream(
                    call, target, pool, response, load, buffer
                )
        return await self._relay_whole(call, target, pool, response)

    def _record_requested_pause(
        self, call: calls.Call, target: targetregistry.Target, pause_s: float
    ) -> None:
        """Records that a full target asks for no requests for some time."""
        now = asyncio.get_running_loop().time()
        target.record_requested_pause(pause_s, now)
        self._metrics.count("targets_requesting_pause")
        telemetry.log(
            _log,
            "target_requests_pause",
            request=call.metadata.request_id,
            target=target.entry.identity,
            pause_s=pause_s,
            left_s=target.requested_pause_until - now,
        )

    async def _relay_whole(
        self,
        call: calls.Call,
        target: targetregistry.Target,
        pool: httpclient.ConnectionPool,
        response: httpclient.Response,
    ) -> errors.Failure | None:
        """Reads a complete response before any of it is relayed."""
        body = await response.read_body(MAX_RESPONSE_BYTES)
        if isinstance(body, errors.Failure):
            return body
        headers = self._header_codec.caller_headers(response)
        if response.status < 500 and not call.requirements.model:
            now = asyncio.get_running_loop().time()
            call.record_pace(target, now - call.sent_at)
        if response.status >= 500 or call.progress.head_delivered:
            call.failure_response = (response.status, headers, body)
            return pool.failure(
                errors.Reason.TARGET_ERROR, f"status {response.status}"
            )
        await call.responder.send(response.status, headers, body)
        return None

    async def _relay_stream(
        self,
        call: calls.Call,
        target: targetregistry.Target,
        pool: httpclient.ConnectionPool,
        response: httpclient.Response,
        load: targetpools.TargetLoad,
        buffer: bufferlimit.Buffer,
    ) -> errors.Failure | None:
        """Relays complete events as they arrive.

        A stream that ends within an event has been broken off, also if its body
        is framed as complete or ends with its connection. So has one without
        any event, unless it was to continue after an event.
        """
        progress = call.progress
        call.cursor.discard_partial()
        async for chunk in response.chunks():
            if isinstance(chunk, errors.Failure):
                return chunk
            events = call.cursor.feed(chunk)
            buffer.resize(call.cursor.partial_bytes)
            if not events and call.cursor.overlong:
                await response.close()
                return pool.failure(
                    errors.Reason.ANSWER_CUT, "an event without an end"
                )
            if not events:
                continue
            if not load.prompt_finished:
                load.finish_prompt()
                now = asyncio.get_running_loop().time()
                call.first_event_s = now - call.sent_at
                if not progress.last_event:
                    call.record_pace(target, call.first_event_s)
                self._prompt_cache.record_prompt(
                    target.entry.identity,
                    f"{call.requirements.model}/{call.requirements.adapter}",
                    call.metadata.prompt_parts,
                )
            if not progress.head_delivered:
                progress.head_delivered = True
                self._metrics.record_duration_ms(
                    "first_event",
                    1000.0
                    * (asyncio.get_running_loop().time() - call.arrived_at),
                )
                await call.responder.start(
                    response.status, self._header_codec.caller_headers(response)
                )
            await call.responder.write(events)
            progress.last_event = call.cursor.last_event()
            call.record_delivered_event(asyncio.get_running_loop().time())
        if call.cursor.take_partial():
            return pool.failure(
                errors.Reason.ANSWER_CUT, "the stream ended within an event"
            )
        if not progress.last_event and not progress.head_delivered:
            return pool.failure(
                errors.Reason.ANSWER_CUT, "the stream ended before an event"
            )
        if not progress.head_delivered:
            await call.responder.start(
                response.status, self._header_codec.caller_headers(response)
            )
        await call.responder.finish()
        return None
