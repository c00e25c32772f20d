"""Loads and unloads models until one engine has its desired state.

The commands to the engine are called orders. At most one order is in flight
to an engine. Before each of them, the owner records its intent durably and
checks that its grant is valid. Each order carries the epoch of the grant as
its fencing token.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

import msgspec

from carobsail import engines, errors, inventory, keyvalue, ledger, messages

# The longest load of a model at the weight store's full speed.
ORDER_TIMEOUT_S = 120.0
REPORT_TIMEOUT_S = 5.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
# Pause of the loop when there is nothing to do.
ROUND_INTERVAL_S = 1.0
DEFAULT_VERSION = "1"


class Intent(msgspec.Struct, frozen=True):
    """Intent recorded in the key-value service.

    Attributes:
      epoch: Epoch of the owner that wrote it.
      models: Memory in MB of each model that may be resident.
    """

    epoch: int
    models: dict[str, int]


def intent_key(data_centre: str, target: str) -> str:
    """Returns the key of an engine's intent."""
    return f"/carobsail/dc/{data_centre}/intents/{target}"


def split_version(model: str) -> tuple[str, str]:
    """Splits `name@version`; a plain name has the default version."""
    name, _, version = model.partition("@")
    return name, version or DEFAULT_VERSION


def join_version(model: str, version: str) -> str:
    """Returns the identifier of a model's version (see `split_version`)."""
    if version in ("", DEFAULT_VERSION):
        return model
    return f"{model}@{version}"


@dataclasses.dataclass(slots=True, frozen=True)
class Preconditions:
    """Functions that check the preconditions of an order.

    Attributes:
      may_send_orders: Tells whether the grant is valid now.
      may_unload: Tells whether a model may lose its copy on this engine:
        another copy, which the current plan keeps, is confirmed and gets
        requests, or no client account uses the model.
      is_drained: Tells whether no request for a model is in flight to the
        engine.
      acquire_permit: Acquires a permit to load a model from the weight store;
        returns the function that releases it, or None when no permit is free.
      size_mb: Returns the memory of a model in MB, or None when unknown.
    """

    may_send_orders: Callable[[], bool]
    may_unload: Callable[[str], bool]
    is_drained: Callable[[str], bool]
    acquire_permit: Callable[[str], Callable[[], None] | None]
    size_mb: Callable[[str], int | None]


class EngineReconciler:
    """Reconciles the models of one engine with their desired state.

    Attributes:
      ledger: Memory ledger of the engine.
      leaving: Models for which no new request may be sent, because they are
        being drained or unloaded.
      stopped: The failure that ended this ownership, or None. No order is
        sent any more once it is set.
    """

    __slots__ = (
        "_desired_models",
        "_engine",
        "_failed_attempts",
        "_preconditions",
        "_intent",
        "_key",
        "_permits",
        "_random",
        "_revision",
        "_reconcile_lock",
        "_store",
        "_taken_over",
        "_target",
        "leaving",
        "ledger",
        "stopped",
    )

    def __init__(
        self,
        target: inventory.Target,
        engine: engines.EngineClient,
        store: keyvalue.KeyValueClient,
        preconditions: Preconditions,
        generator: random.Random,
    ) -> None:
        self._target = target
        self._engine = engine
        self._store = store
        self._preconditions = preconditions
        self._random = generator
        self._key = intent_key(target.data_centre, target.name)
        self._reconcile_lock = asyncio.Lock()
        self._intent = Intent(0, {})
        self._revision = 0
        self._desired_models: tuple[str, ...] | None = None
        self._permits: dict[str, Callable[[], None]] = {}
        self._failed_attempts = 0
        self._taken_over = False
        self.ledger = ledger.MemoryLedger(target)
        self.leaving: set[str] = set()
        self.stopped: errors.Failure | None = None

    def set_plan(self, plan: messages.TargetPlan) -> None:
        """Sets the desired state."""
        self._desired_models = tuple(plan.models)

    async def take_over(
        self, epoch: int, granted_at: float
    ) -> None | errors.Failure:
        """Takes over the engine under a new grant.

        Reads the recorded intent and writes it again with the new epoch. From
        then on, the compare-and-swap of an earlier owner fails, so that it
        cannot record further models. No order is sent until this has
        succeeded; the caller retries after a failure.

        Args:
          epoch: Epoch of the grant.
          granted_at: Loop time from which the grant counts, in seconds.
        """
        found = await self._read()
        if isinstance(found, errors.Failure):
            return found
        if found.epoch > epoch:
            return self._stop(
                f"intent has epoch {found.epoch}, later than {epoch}"
            )
        self.ledger.take_over(epoch, found.models, granted_at)
        written = await self._write_intent()
        self._taken_over = written is None
        return written

    async def refresh(self) -> None | errors.Failure:
        """Reads the engine's report and updates the ledger from it."""
        asked_at = _now()
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                report = await self._engine.report()
        except TimeoutError:
            return self._failure(
                errors.Reason.TIMEOUT, "engine sent no report in time"
            )
        if isinstance(report, errors.Failure):
            return report
        self.apply_report(report, asked_at)
        return None

    def apply_report(
        self, report: engines.EngineReport, asked_at: float
    ) -> None:
        """Updates the ledger from a report that was requested at `asked_at`.

        Releases the permits of loads whose outcome is then known.
        """
        self.ledger.apply_report(report, asked_at)
        for model in list(self._permits):
            if self.ledger.hold_of(model) is not ledger.HoldReason.LATE:
                self._permits.pop(model)()

    async def run(self) -> errors.Failure:
        """Reconciles until this ownership ends; returns the reason."""
        try:
            while True:
                await self.refresh()
                result = await self.reconcile_once()
                if self.stopped is not None:
                    return self.stopped
                if isinstance(result, errors.Failure):
                    await asyncio.sleep(self._backoff_s())
                    continue
                self._failed_attempts = 0
                if not result:
                    await asyncio.sleep(ROUND_INTERVAL_S)
        finally:
            self.release_permits()

    def release_permits(self) -> None:
        """Releases the permits of loads whose outcome is unknown."""
        while self._permits:
            self._permits.popitem()[1]()

    async def reconcile_once(self) -> bool | errors.Failure:
        """Sends at most one order towards the desired state.

        Returns:
          True after an order that the engine confirmed, False when there is
          nothing to do or a precondition is not met yet, or the failure of
          the order.
        """
        if self.stopped is not None:
            return self.stopped
        if self._reconcile_lock.locked():
            return False
        async with self._reconcile_lock:
            if not self._taken_over or self._desired_models is None:
                return False
            if not self._preconditions.may_send_orders():
                return False
            load = self._next_load()
            unload = self._next_unload(load)
            if load is not None and unload is None:
                return await self._load(load)
            if unload is not None:
                return await self._unload(unload)
            if self._intent.models != self.ledger.intents():
                written = await self._write_intent()
                if written is not None:
                    return written
            return False

    def _next_load(self) -> str | None:
        """Returns the model to load next, or None.

        This is the first missing model that fits in the free memory, or the
        first missing one when none fits.
        """
        now = _now()
        missing = [
            (model, size_mb)
            for model in self._desired_models or ()
            if self.ledger.hold_of(model) is None
            and self.ledger.reload_wait_s(model, now) == 0.0
            and (size_mb := self._preconditions.size_mb(model)) is not None
        ]
        fits = (m for m, size in missing if size <= self.ledger.free_mb)
        return next(fits, missing[0][0] if missing else None)

    def _next_unload(self, load: str | None) -> str | None:
        """Returns a model to unload now, or None; updates `leaving`.

        A load that fits goes before any unload, so that a new copy is resident
        before an old one is removed (make before break).
        """
        size_mb = (
            self._preconditions.size_mb(load) if load is not None else None
        )
        if size_mb is not None and size_mb <= self.ledger.free_mb:
            self.leaving.clear()
            return None
        now = _now()
        self.leaving = {
            model
            for model in self.ledger.models(ledger.HoldReason.RESIDENT)
            if model not in (self._desired_models or ())
            and self.ledger.may_unload(model, now)
            and self._preconditions.may_unload(model)
        }
        ready = (
            m for m in sorted(self.leaving) if self._preconditions.is_drained(m)
        )
        return next(ready, None)

    async def _load(self, model: str) -> bool | errors.Failure:
        size_mb = self._preconditions.size_mb(model)
        if size_mb is None:
            detail = f"{model} is not in the inventory"
            return self._failure(errors.Reason.UNKNOWN_MODEL, detail)
        if size_mb > self.ledger.free_mb:
            return False
        release_permit = self._preconditions.acquire_permit(model)
        if release_permit is None:
            return False
        self._permits[model] = release_permit
        try:
            reserved = self.ledger.reserve(model, size_mb, _now())
            if reserved is not None:
                return reserved
            written = await self._write_intent()
            if written is not None:
                return written
            if not self._preconditions.may_send_orders():
                return False
            self.ledger.load_sent(model, _now())
            name, version = split_version(model)
            result = await self._await_response(
                model, self._engine.load_model(name, version, self.ledger.epoch)
            )
            if result is not None:
                return result
            self.ledger.confirm_load(model, _now())
            return True
        finally:
            self._clean_up_load(model)

    async def _unload(self, model: str) -> bool | errors.Failure:
        written = await self._write_intent()
        if written is not None:
            return written
        # The write took time, so all conditions are checked again.
        if not (
            self._preconditions.may_send_orders()
            and self._preconditions.may_unload(model)
            and self._preconditions.is_drained(model)
            and self.ledger.may_unload(model, _now())
        ):
            return False
        self.ledger.unload_sent(model, _now())
        result = await self._await_response(
            model, self._engine.unload_model(model, self.ledger.epoch)
        )
        if result is not None:
            if result.outcome is errors.Outcome.NOT_RUN:
                self.ledger.unload_refused(model)
            return result
        self.ledger.confirm_unload(model, _now())
        self.leaving.discard(model)
        return True

    async def _await_response(
        self, model: str, call: Awaitable[None | errors.Failure]
    ) -> None | errors.Failure:
        """Awaits the response to an order.

        When the outcome is unknown, the ledger holds the model as late.
        """
        outcome_known = False
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                result = await call
            outcome_known = result is None or (
                result.outcome is errors.Outcome.NOT_RUN
            )
        except TimeoutError:
            result = self._failure(
                errors.Reason.TIMEOUT,
                f"engine did not respond to the order for {model} in time",
                errors.Outcome.UNKNOWN,
            )
        finally:
            if not outcome_known:
                self.ledger.record_unknown_outcome(model, _now())
        if result is not None and result.reason is errors.Reason.FENCED:
            self.stopped = result
        return result

    def _clean_up_load(self, model: str) -> None:
        """Cleans up after an attempt to load a model.

        Releases a reservation that is still held, and the permit unless the
        outcome of the load is unknown.
        """
        self.ledger.release(model)
        if self.ledger.hold_of(model) is not ledger.HoldReason.LATE:
            release_permit = self._permits.pop(model, None)
            if release_permit is not None:
                release_permit()

    async def _read(self) -> Intent | errors.Failure:
        found = await self._store.range(self._key)
        if isinstance(found, errors.Failure):
            return found
        for value in found.values:
            if value.key == self._key:
                self._revision = value.mod_revision
                return msgspec.json.decode(value.value, type=Intent)
        self._revision = 0
        return Intent(0, {})

    async def _write_intent(self) -> None | errors.Failure:
        """Records the ledger's models as the intent.

        Reads the stored intent again when the compare-and-swap failed or its
        outcome is unknown. Only the owner of an epoch writes that epoch, so a
        stored value that equals the intent was written by this owner.
        """
        intent = Intent(self.ledger.epoch, self.ledger.intents())
        value = msgspec.json.encode(intent)
        result = await self._store.transact(
            [keyvalue.Compare(self._key, self._revision)],
            [keyvalue.Put(self._key, value)],
        )
        if isinstance(result, keyvalue.TransactionResult):
            if result.succeeded:
                self._revision = result.revision
                self._intent = intent
                return None
        elif result.outcome is errors.Outcome.NOT_RUN:
            return result
        found = await self._read()
        if isinstance(found, errors.Failure):
            return found
        if found.epoch > intent.epoch:
            return self._stop(f"engine was taken over in epoch {found.epoch}")
        if found == intent:
            self._intent = intent
            return None
        return self._failure(errors.Reason.CONFLICT, "intent was not written")

    def _stop(self, detail: str) -> errors.Failure:
        self.stopped = self._failure(errors.Reason.FENCED, detail)
        return self.stopped

    def _backoff_s(self) -> float:
        """Returns the delay of the next retry: exponential, with jitter."""
        self._failed_attempts += 1
        bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failed_attempts)
        return self._random.uniform(FIRST_BACKOFF_S, bound_s)

    def _failure(
        self,
        reason: errors.Reason,
        detail: str,
        outcome: errors.Outcome = errors.Outcome.NOT_RUN,
    ) -> errors.Failure:
        return errors.Failure(
            reason, errors.Step.ORDER, self._target.name, outcome, detail
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
