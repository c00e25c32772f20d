"""Keeps requests that crash their targets away from further targets.

`crashes` decides which requests these are. This module gathers the evidence
from the sends of one instance and acts on the decision: such requests are
refused when they arrive, sends of them that wait at a target are ended, and a
request that was lost in the way that is typical of them is sent again only once
others with the same traits have been answered.
"""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager

from carobsail import (
    calls,
    crashes,
    errors,
    httpclient,
    summaries,
    targetregistry,
    telemetry,
)

# A request whose target has been answering it for longer than this is unlikely
# to have crashed it: deadly requests crash targets that begin to answer.
BEGINNING_S = 2.0
# Failures of a send that may mean that its target has crashed.
TARGET_LOST_REASONS = (errors.Reason.CONNECTION_LOST, errors.Reason.ANSWER_CUT)

_log = logging.getLogger(__name__)


class CrashGuard:
    """Evidence and decisions of one instance about crashing requests.

    Attributes:
      on_crash: Called when others should learn of a crash, or of answers, at
        once.
    """

    def __init__(
        self, metrics: telemetry.Metrics, on_refused: Callable[[], None]
    ) -> None:
        """Creates a guard without evidence.

        Args:
          metrics: Counters.
          on_refused: Called when further requests are refused.
        """
        # Replaced by the code that reports crashes to the coordinator.
        self.on_crash: Callable[[], None] = lambda: None
        self._metrics = metrics
        self._on_refused = on_refused
        self._observations = crashes.CrashObservations()
        self._changed = asyncio.Event()
        self._sends: dict[int, tuple[calls.Call, asyncio.Timeout]] = {}
        self._refused: set[frozenset[int]] = set()
        # By incarnation of a target: whether it still accepts connections.
        self._probes: dict[int, asyncio.Task[bool]] = {}

    def refusal(self, traits: crashes.Traits) -> errors.Failure | None:
        """Returns the refusal of a request, or None if it may run."""
        now = asyncio.get_running_loop().time()
        matched, left_s = self._observations.refusal(traits, now)
        if not matched:
            return None
        return errors.Failure(
            errors.Reason.SUSPECT_REFUSED,
            errors.Step.ROUTE,
            "",
            errors.Outcome.NOT_RUN,
            "targets crashed while they ran requests like this one "
            f"(traits {_describe(matched)})",
            left_s,
        )

    @contextmanager
    def ending_if_refused(
        self, call: calls.Call, timeout: asyncio.Timeout
    ) -> Iterator[None]:
        """Ends a send as soon as its request is refused.

        Args:
          call: The request.
          timeout: Timeout of the send, which expires then.
        """
        self._sends[id(call)] = call, timeout
        try:
            yield
        finally:
            del self._sends[id(call)]

    def record_answer(self, call: calls.Call) -> None:
        """Records that a target has answered a request completely."""
        now = asyncio.get_running_loop().time()
        if self._observations.record_answer(call.traits, now):
            self._apply_changes()
            self.on_crash()

    async def examine_loss(
        self,
        call: calls.Call,
        target: targetregistry.Target,
        pool: httpclient.ConnectionPool,
    ) -> None:
        """Records evidence after the connection of a send was lost.

        If the target still accepts connections it has not crashed; then the
        connection was reset, or the response was broken off. Lost requests are
        so common that the target is examined only for those that it was
        beginning to answer, that were lost before, or that have a part in their
        prompt which no target has answered.
        """
        if call.cursor.overlong:
            return
        fingerprint, first_s = call.traits.fingerprint, call.first_event_s
        begun = call.head_received and first_s is None
        lost_at = asyncio.get_running_loop().time()
        entry = target.entry
        incarnation = crashes.incarnation(entry.identity, entry.start_time_ms)
        examined = (
            begun
            or self._observations.was_lost(fingerprint)
            or bool(self._observations.unanswered_parts(call.traits))
        )
        if examined and await self._probe(incarnation, pool):
            return
        call.begun_at_crash, call.lost_at_crash = begun, True
        answered_long = (
            first_s is not None
            and lost_at - call.sent_at - first_s > BEGINNING_S
        )
        forecast = call.forecast
        queued = (
            not call.head_received and forecast is not None and forecast.queued
        )
        news = self._observations.record_crash(
            (fingerprint,), incarnation, False, lost_at, queued or answered_long
        )
        news |= self._observations.record_lost_parts(
            call.traits, incarnation, lost_at, answered_long
        )
        if begun:
            news |= self._observations.record_crash(
                call.traits.all(), incarnation, True, lost_at
            )
        if examined:
            self._metrics.count("crashes_observed")
            telemetry.log(
                _log,
                "crash_observed",
                level=logging.WARNING,
                request=call.metadata.request_id,
                path=call.request.path,
                fingerprint=_describe((fingerprint,)),
                target=entry.identity,
                begun=begun,
                first_event_s=first_s,
                prompt_parts=",".join(n for n, _ in call.metadata.prompt_parts),
                known=not news,
            )
        if news:
            self._apply_changes()
            if (
                begun
                or self._observations.is_suspect(fingerprint)
                or self._observations.has_suspect_part(call.traits)
            ):
                self.on_crash()

    async def _probe(
        self, incarnation: int, pool: httpclient.ConnectionPool
    ) -> bool:
        """Returns whether a target accepts connections.

        Sends that were lost together share one probe.
        """
        probe = self._probes.get(incarnation)
        if probe is None:
            probe = asyncio.create_task(pool.probe())
            self._probes[incarnation] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(incarnation, None)
            )
        return await asyncio.shield(probe)

    async def may_send_again(self, call: calls.Call) -> bool:
        """Waits until a request may be sent after a failed send.

        A request that was lost with two targets is not sent to a third one; if
        its caller repeats it, it is sent once.

        A request that a target was beginning to answer when it crashed is the
        likely cause, and so is one with a part that two targets have lost and
        none has answered. It is sent again once each part of its prompt has
        been answered in other requests, and not at all if no instance reports
        that within the latency objective of its route.

        Returns:
          Whether it may be sent.
        """
        loop = asyncio.get_running_loop()
        waits_until = loop.time() + call.route.latency_objective_s
        if call.lost_at_crash and self._observations.is_suspect(
            call.traits.fingerprint
        ):
            self._log_given_up(call, (call.traits.fingerprint,))
            return False
        while self.refusal(call.traits) is None:
            unanswered = self._observations.unanswered_parts(call.traits)
            likely_cause = call.begun_at_crash or (
                call.lost_at_crash
                and self._observations.has_suspect_part(call.traits)
            )
            if not likely_cause or not unanswered:
                return True
            changed = self._changed
            try:
                async with asyncio.timeout_at(waits_until):
                    await changed.wait()
            except TimeoutError:
                self._log_given_up(call, unanswered)
                return False
        return False

    def _log_given_up(self, call: calls.Call, traits: Collection[int]) -> None:
        telemetry.log(
            _log,
            "crash_suspect_given_up",
            request=call.metadata.request_id,
            target=call.targets[-1],
            traits=_describe(traits),
        )

    def merge(
        self,
        reports: list[summaries.CrashReport],
        answered: list[summaries.AnsweredTrait],
    ) -> bool:
        """Merges the evidence of other instances.

        Returns:
          Whether other instances should learn of it at once.
        """
        if not reports and not answered:
            return False
        now = asyncio.get_running_loop().time()
        result = self._observations.merge(reports, answered, now)
        if result.contributes:
            self.on_crash()
        return self._apply_changes() or result.news

    def reports(
        self, own_only: bool
    ) -> tuple[list[summaries.CrashReport], list[summaries.AnsweredTrait]]:
        """Returns evidence for other instances; see `CrashObservations`."""
        now = asyncio.get_running_loop().time()
        return self._observations.reports(now, own_only)

    def _apply_changes(self) -> bool:
        """Ends the sends of refused requests and wakes those that wait.

        Returns:
          Whether other requests are refused than before.
        """
        refused = self._observations.refused
        for traits in refused - self._refused:
            self._metrics.count("crash_suspects")
            telemetry.log(
                _log,
                "request_suspected_of_crashes",
                level=logging.WARNING,
                traits=_describe(traits),
            )
        for traits in self._refused - refused:
            telemetry.log(
                _log, "crash_suspect_cleared", traits=_describe(traits)
            )
        changed = refused != self._refused
        self._refused = refused
        self._changed.set()
        self._changed = asyncio.Event()
        if changed:
            now = asyncio.get_running_loop().time()
            for call, timeout in self._sends.values():
                if (
                    call.first_event_s is None
                    and not timeout.expired()
                    and self.refusal(call.traits)
                ):
                    timeout.reschedule(now)
            self._on_refused()
        return changed


def _describe(traits: Collection[int]) -> str:
    return ",".join(f"{trait:016x}" for trait in sorted(traits))
