"""What an entry instance knows of the targets for its requests."""

import dataclasses
from collections.abc import Callable, Iterable

from carobsail import (
    callerrequests,
    dispatcher,
    estimation,
    inventory,
    messages,
    prefixes,
    routing,
)

# Expected response bytes of a streamed token, for the link between regions.
BYTES_PER_TOKEN = 200
# A rejection by another data centre is remembered for this long.
REJECTION_MEMORY_S = 1.0
# Slots assumed in another data centre, whose loads are not reported.
REMOTE_SLOTS = 16


@dataclasses.dataclass(slots=True)
class _RemoteCentre:
    """Another data centre.

    Attributes:
      models: Number of resident copies by model.
      wait_s: Wait that is expected there after a rejection.
      wait_until: Loop time until which that wait is expected.
    """

    models: dict[str, int] = dataclasses.field(default_factory=dict)
    wait_s: float = 0.0
    wait_until: float = float("-inf")


# Used to predict requests to other data centres, because the rates of their
# engines are not relayed.
_ASSUMED_REMOTE_ENGINE = inventory.Target(
    name="", kind=inventory.Kind.ENGINE, data_centre="", address="", pool=""
)


@dataclasses.dataclass(slots=True, frozen=True)
class RequestDemand:
    """What a request requires of a target.

    Attributes:
      served: Name of the model or service that the target has to serve.
      model: Model; empty for services.
      adapter: Adapter, or empty for none.
      prompt_tokens: Estimated prompt length.
      output_tokens: Expected output length.
      blocks: Hashes of the prompt's blocks.
    """

    served: str
    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: float
    blocks: tuple[int, ...] = ()

    @classmethod
    def of_request(
        cls, request: callerrequests.CallerRequest, output_tokens: float
    ) -> "RequestDemand":
        """Returns the demand of a caller's request."""
        blocks: tuple[int, ...] = ()
        if request.model:
            blocks = prefixes.hash_blocks(
                request.model, request.adapter, request.prompt.encode()
            )
        return cls(
            request.operation.service or request.model,
            request.model,
            request.adapter,
            request.prompt_tokens,
            output_tokens,
            blocks,
        )

    @classmethod
    def of_dispatch(cls, request: messages.Dispatch) -> "RequestDemand":
        """Returns the demand of a request from another data centre."""
        return cls(
            request.service or request.model,
            request.model,
            request.adapter,
            request.prompt_tokens,
            request.output_tokens,
        )


class TargetDirectory:
    """Targets of this data centre, and other data centres by their models.

    Attributes:
      data_centre: Data centre of this instance.
      inventory: The inventory, or None until it is known.
      version: Version of the inventory.
      adapter_models: Base model of each adapter.
    """

    __slots__ = (
        "_adapters",
        "_dispatcher",
        "_is_reachable",
        "_loads",
        "_models",
        "_models_of",
        "_prefixes",
        "_remote_centres",
        "_reported_work",
        "_slowdowns",
        "_targets",
        "adapter_models",
        "data_centre",
        "inventory",
        "version",
    )

    def __init__(
        self,
        data_centre: str,
        owned: dispatcher.Dispatcher,
        models_of: Callable[[str], list[str]],
        slowdowns: estimation.Slowdowns,
        index: prefixes.PrefixIndex,
    ) -> None:
        """Creates an empty directory.

        Args:
          data_centre: Data centre of this instance.
          owned: Dispatcher with the runners of the owned targets.
          models_of: Returns the models that an owned target serves now.
          slowdowns: Learned slowdowns of targets.
          index: Index of the prompt prefixes that targets have cached.
        """
        self.data_centre = data_centre
        self.inventory: inventory.Inventory | None = None
        self.version = 0
        self.adapter_models: dict[str, str] = {}
        self._dispatcher = owned
        self._models_of = models_of
        self._slowdowns = slowdowns
        self._prefixes = index
        self._reported_work = estimation.ReportedWork()
        self._loads: dict[str, tuple[str, messages.TargetLoad]] = {}
        self._targets: dict[str, inventory.Target] = {}
        self._adapters: dict[str, inventory.Adapter] = {}
        self._models: dict[str, inventory.Model] = {}
        self._remote_centres: dict[str, _RemoteCentre] = {}
        self._is_reachable: Callable[[str], bool] = lambda _: False

    def set_reachability(self, reachable: Callable[[str], bool]) -> None:
        """Sets the function that tells whether a data centre is reachable."""
        self._is_reachable = reachable

    def update_inventory(
        self, new_inventory: inventory.Inventory, version: int
    ) -> None:
        """Replaces the inventory and its version."""
        self.version = version
        self.inventory = new_inventory
        self.inventory = new_inventory
        own_instances = [
            i
            for i in new_inventory.instances
            if i.data_centre == self.data_centre
        ]
        self._reported_work.set_senders(len(own_instances))
        self._adapters = {a.name: a for a in new_inventory.adapters}
        self._models = {m.name: m for m in new_inventory.models}
        self.adapter_models = {a.name: a.model for a in new_inventory.adapters}
        own = new_inventory.targets_in(self.data_centre)
        self._targets = {target.name: target for target in own}

    def target(self, name: str) -> inventory.Target | None:
        """Returns a target of this data centre, or None."""
        return self._targets.get(name)

    def adapter(self, name: str) -> inventory.Adapter | None:
        """Returns an adapter of the inventory, or None."""
        return self._adapters.get(name)

    def size_mb(self, model: str) -> int | None:
        """Returns the memory of a model in MB, or None when unknown."""
        listed = self._models.get(model.partition("@")[0])
        return listed.weights_mb if listed else None

    def has_other_copy(self, model: str, target: str) -> bool:
        """Tells whether a model has a copy that is not on this target.

        A copy in another data centre counts, because a model's home data
        centre keeps its copy whatever the others do.
        """
        local_copy = any(
            model in self._served(other)
            for name, other in self._targets.items()
            if name != target
        )
        return local_copy or any(
            remote.models.get(model) for remote in self._remote_centres.values()
        )

    def record_loads(
        self, owner: str, loads: messages.Loads, now: float
    ) -> None:
        """Records the loads that an owner reports."""
        if loads.full:
            self.remove_loads_of(owner)
        for load in loads.targets:
            self._loads[load.target] = (owner, load)
            self._reported_work.report(
                load.target, load.in_flight, load.queued_tokens, now
            )
        for count in loads.counts:
            known = self._loads.get(count.target)
            if known is not None and known[0] == owner:
                self._reported_work.report(
                    count.target, count.in_flight, count.queued_tokens, now
                )

    def remove_loads_of(self, owner: str) -> None:
        """Removes the loads that an instance has reported."""
        for name, (reporter, _) in list(self._loads.items()):
            if reporter == owner:
                del self._loads[name]

    def record_residency(self, message: messages.Residency) -> None:
        """Records the resident models of another data centre."""
        if message.data_centre != self.data_centre:
            remote = self._remote_centres.setdefault(
                message.data_centre, _RemoteCentre()
            )
            remote.models = message.models

    def record_rejection(
        self, data_centre: str, wait_s: float, now: float
    ) -> None:
        """Records that another data centre rejected a request.

        Args:
          data_centre: The other data centre.
          wait_s: Time after which the rejection said to retry, in seconds.
          now: Loop time in seconds.
        """
        remote = self._remote_centres.setdefault(data_centre, _RemoteCentre())
        remote.wait_s = max(REJECTION_MEMORY_S, wait_s)
        remote.wait_until = now + REJECTION_MEMORY_S

    def record_sent_attempt(
        self, target: str, attempt: str, tokens: float
    ) -> None:
        """Counts an attempt at another owner's target until the next report."""
        self._reported_work.record_sent(target, attempt, tokens)

    def record_ended_attempt(self, target: str, attempt: str) -> None:
        """Stops counting an attempt that has ended."""
        self._reported_work.ended(target, attempt)

    def assume_cached(self, target: str, demand: RequestDemand) -> None:
        """Records that a target will have a request's prompt in its cache.

        Cache events reach only the owner of the target, and late.
        """
        if demand.blocks:
            self._prefixes.record_sent_prompt(target, demand.blocks)

    def remote_owner_of(self, target: str) -> str | None:
        """Returns the instance that last reported the target's load.

        Returns None when none has, or when this instance runs the target.
        """
        if target in self._dispatcher.runners:
            return None
        owner_load = self._loads.get(target)
        return owner_load[0] if owner_load else None

    def reachable_models(self) -> set[str]:
        """Returns the models that are resident on any known target.

        Those of other data centres are included.
        """
        found: set[str] = set()
        for name in self._dispatcher.runners:
            found.update(self._models_of(name))
        for _, load in self._loads.values():
            found.update(load.models)
        for remote in self._remote_centres.values():
            found.update(remote.models)
        return found

    def target_views(
        self, demand: RequestDemand, now: float, remote: bool
    ) -> list[routing.TargetView]:
        """Returns the candidates for a request, for the routing policy.

        Args:
          demand: What the request requires.
          now: Loop time in seconds.
          remote: Whether to include other data centres, each as one target.
        """
        found = [
            self._view(target, demand, now)
            for target in self._targets.values()
            if demand.served in self._served(target)
        ]
        if remote:
            found.extend(self._remote_views(demand, now))
        return found

    def _served(self, target: inventory.Target) -> Iterable[str]:
        if target.kind is inventory.Kind.SERVICE:
            return (target.pool,)
        if target.name in self._dispatcher.runners:
            return self._models_of(target.name)
        owner_load = self._loads.get(target.name)
        return owner_load[1].models if owner_load else ()

    def _view(
        self,
        target: inventory.Target,
        demand: RequestDemand,
        now: float,
    ) -> routing.TargetView:
        runner = self._dispatcher.runners.get(target.name)
        adapters: Iterable[str]
        if runner is not None:
            backlog = runner.work.backlog(now)
            adapters = runner.resident_adapters()
            serving = runner.serving
        else:
            backlog = self._reported_work.backlog(target, now)
            owner_load = self._loads.get(target.name)
            adapters = owner_load[1].adapters if owner_load else ()
            serving = owner_load is not None and owner_load[1].serving
        resident = frozenset(adapters)
        load_s = self._adapter_load_s(demand.adapter, resident)
        cached = self._prefixes.cached_share(target.name, demand.blocks)
        slowdown = self._slowdowns.factor(target.name, demand.model)
        work = estimation.Work(
            demand.prompt_tokens, demand.output_tokens, cached, load_s
        )
        cold_tokens = demand.prompt_tokens * (1.0 - cached)
        return routing.TargetView(
            name=target.name,
            models=frozenset((demand.served,)),
            prediction=estimation.predict(target, backlog, work, slowdown),
            adapters=resident,
            uncached_prefill_s=cold_tokens / target.prefill_tokens_per_s,
            in_flight=backlog.in_flight,
            slots=target.slots,
            serving=serving,
            leaving=target.state is inventory.State.LEAVING,
            demoted=self._slowdowns.is_slow(target.name, demand.model),
        )

    def _adapter_load_s(self, adapter: str, resident: frozenset[str]) -> float:
        if not adapter or adapter in resident:
            return 0.0
        listed = self._adapters.get(adapter)
        return listed.load_ms / 1000 if listed else 0.0

    def _remote_views(
        self, demand: RequestDemand, now: float
    ) -> list[routing.TargetView]:
        found = []
        for name, remote in self._remote_centres.items():
            if not remote.models.get(demand.served):
                continue
            if not self._is_reachable(name):
                continue
            wait_s = remote.wait_s if now < remote.wait_until else 0.0
            found.append(self._remote_view(name, wait_s, demand))
        return found

    def _remote_view(
        self,
        data_centre: str,
        wait_s: float,
        demand: RequestDemand,
    ) -> routing.TargetView:
        assert self.inventory is not None
        work = estimation.Work(demand.prompt_tokens, demand.output_tokens)
        backlog = estimation.Backlog(0, wait_s)
        same_region = self.inventory.same_region(self.data_centre, data_centre)
        latency_ms = (
            self.inventory.centre_latency_ms
            if same_region
            else self.inventory.region_latency_ms
        )
        bytes_per_s = self.inventory.region_link_mbit_per_s * 1e6 / 8
        return routing.TargetView(
            name=data_centre,
            models=frozenset((demand.served,)),
            prediction=estimation.predict(
                _ASSUMED_REMOTE_ENGINE, backlog, work
            ),
            slots=REMOTE_SLOTS,
            link=routing.NetworkLink(
                latency_s=latency_ms / 1000,
                bytes_per_s=bytes_per_s if not same_region else 1.25e9,
                billed=not same_region,
            ),
        )
