"""Fake engine whose orders can be lost, late, duplicated or reordered."""

import asyncio

from carobsail import engines, errors, orders

LOAD_S = 2.0


class FakeEngine(engines.EngineClient):
    """Executes orders and records each violated invariant in `violations`."""

    def __init__(self, target, sizes, models_in_use, cluster):
        self.target, self.sizes = target, sizes
        self.models_in_use, self.cluster = models_in_use, cluster
        self.order_faults = []
        self.models, self.loading = {}, {}
        self.fence = self.sent_fence = 0
        self.alive = True
        self.violations = []
        cluster.append(self)

    async def _order(self, kind, model, fence):
        fault, delay_s = (
            self.order_faults.pop(0) if self.order_faults else ("", 0.0)
        )
        if fence < self.sent_fence:
            self.violations.append(f"fence {fence} after {self.sent_fence}")
        self.sent_fence = max(self.sent_fence, fence)
        execute = self._load if kind == "load" else self._unload
        if fault in ("late", "doubled"):
            self._execute_later(delay_s, execute, model, fence)
        if fault not in ("lost", "late"):
            result = await execute(model, fence)
        if fault in ("lost", "late", "unanswered") or not self.alive:
            reason, outcome = errors.Reason.TIMEOUT, errors.Outcome.UNKNOWN
            await asyncio.sleep(5.0)
            return errors.Failure(
                reason, errors.Step.ORDER, self.target.name, outcome
            )
        return result

    def _execute_later(self, delay_s, execute, model, fence):
        async def arrive():
            await asyncio.sleep(delay_s)
            await execute(model, fence)

        self.task = asyncio.ensure_future(arrive())

    def _check_fence(self, fence):
        if self.target.checks_fencing:
            if fence < self.fence:
                return errors.Failure(
                    errors.Reason.FENCED, errors.Step.ORDER, self.target.name
                )
            self.fence = fence
        return None

    async def _load(self, model, fence):
        refused = self._check_fence(fence)
        if refused is not None or not self.alive or model in self.models:
            return refused
        self.loading[model] = self.sizes[model]
        held = sum(self.models.values()) + sum(self.loading.values())
        fixed = self.target.adapter_pool_mb + self.target.cache_floor_mb
        if held + fixed > self.target.capacity_mb:
            self.violations.append(f"{held} MB of models loading {model}")
        await asyncio.sleep(LOAD_S)
        if model in self.loading:
            self.models[model] = self.loading.pop(model)
        return None

    async def _unload(self, model, fence):
        refused = self._check_fence(fence)
        if refused is not None or not self.alive:
            return refused
        self.loading.pop(model, None)
        if (
            self.models.pop(model, None) is not None
            and model in self.models_in_use
        ):
            if not any(model in e.models for e in self.cluster):
                self.violations.append(f"last copy of {model} unloaded")
        return None

    def die(self):
        """Loses all memory, as a restarted engine does, and stays down."""
        self.alive, self.models, self.loading = False, {}, {}

    async def load_model(self, model, version, fencing_token):
        known = version == orders.DEFAULT_VERSION
        return await self._order(
            "load", model if known else f"{model}@{version}", fencing_token
        )

    async def unload_model(self, model, fencing_token):
        return await self._order("unload", model, fencing_token)

    async def report(self):
        if not self.alive:
            return errors.Failure(
                errors.Reason.CONNECT_FAILED,
                errors.Step.CONNECT,
                self.target.name,
            )
        return engines.EngineReport(
            self.target.name,
            1,
            self.fence,
            dict(self.models),
            dict(self.loading),
            {},
            0,
            0,
        )

    async def _unused(self, *_):
        raise NotImplementedError

    send = resume = cancel = cache_events = _unused
    load_adapter = unload_adapter = _unused
