"""The parts of an entry instance and how they are joined."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from carobsail import (
    accountshares,
    adapters,
    admission,
    attempts,
    claimrouting,
    clients,
    configuration,
    directory,
    dispatcher,
    enginememory,
    entrylinks,
    estimation,
    forwarder,
    gateway,
    grants,
    idempotency,
    inventory,
    keyvalue,
    links,
    messages,
    ownedtargets,
    ownership,
    prefixes,
    relay,
    reporting,
    routing,
    suspects,
    targetrunner,
    telemetry,
)


@dataclasses.dataclass(slots=True)
class Surroundings:
    """What an entry instance needs from outside.

    Attributes:
      hello: Own Hello, with role `entry`.
      key_value: Key-value client within the instance's call budget.
      connect: Connects to a peer's address.
      clients: Clients of targets.
      secrets: Secrets shared with peers.
      rng: Source of jitter and tokens.
      wall_clock: Returns seconds since the epoch.
      metrics: Counts and timings.
      log: Receives events.
      routing_policy: Name of the routing policy.
      set_call_rate: Sets the budget of key-value calls a second.
    """

    hello: messages.Hello
    key_value: keyvalue.KeyValueClient
    connect: links.Connect
    clients: clients.Clients
    secrets: list[bytes]
    rng: random.Random
    wall_clock: Callable[[], float]
    metrics: telemetry.Metrics
    log: logging.Logger
    routing_policy: str = "due_time"
    set_call_rate: Callable[[float], None] = lambda rate: None


class EntryParts:
    """Callers' side and owned targets of one instance.

    Attributes:
      hello: Own Hello.
      leaving: Whether the instance is being stopped.
      grants: Ownership granted to this instance.
      state: Configuration documents.
      current: Configuration in force.
      suspects: Crash suspicions.
      dispatcher: Attempts at owned targets.
      owned: Owned targets.
      reporter: What to report to peers and to the leader.
      directory: Known targets.
      links: Links to entry instances.
      forwarder: Requests of callers.
      claims: Claims of idempotency keys.
      gateway: Callers' interface.
    """

    def __init__(self, around: Surroundings) -> None:
        """Joins the parts of a stopped instance."""
        self._around = around
        self.hello = around.hello
        self.leaving = False
        self.grants = grants.GrantHolder()
        self.state = relay.ConfigurationState()
        self.current = configuration.ConfigurationSet()
        self.speeds = estimation.Speeds()
        self.prefixes = prefixes.PrefixIndex()
        self.suspects = suspects.SuspectBook(around.hello.instance)
        self.dispatcher = dispatcher.Dispatcher()
        self.adapter_loads = adapters.LoadsInFlight(1)
        self.owned = ownedtargets.OwnedTargets(
            self.dispatcher, self.grants, self._new_runner, self._new_engine
        )
        self.reporter = reporting.Reporter(self.owned, self.dispatcher, _now())
        self.directory = directory.TargetDirectory(
            around.hello.data_centre,
            self.dispatcher,
            self.owned.models_of,
            self.speeds,
            self.prefixes,
        )
        self.policy = routing.create(around.routing_policy, around.rng)
        self._build_callers_side()

    def _build_callers_side(self) -> None:
        around, instance = self._around, self.hello.instance
        prefix = f"{instance}-{self.hello.incarnation:x}"
        self.admission = admission.Admission(instance)
        self.shares = accountshares.AccountShares(
            instance,
            self.admission,
            lambda account: self.current.policies.get(account),
        )
        issued = idempotency.IssuedKeys(
            instance, self.hello.incarnation, around.secrets, around.rng
        )
        self.claim_writer = idempotency.ClaimWriter(
            around.key_value,
            self.hello.data_centre,
            prefix,
            around.wall_clock,
        )
        receivers = attempts.Receivers()
        self.links = entrylinks.EntryLinks(
            self.directory,
            self.dispatcher,
            receivers,
            lambda: self.grants.owners,
            self.policy,
            around.metrics,
        )
        self.directory.set_gateways(self.links.gateways.__contains__)
        self.forwarder = forwarder.Forwarder(
            prefix,
            self.directory,
            self.policy,
            self.links,
            receivers,
            self.reporter,
            self.suspects,
            around.metrics,
            around.rng,
        )
        self.claims = claimrouting.ClaimRouter(
            instance,
            idempotency.ClaimBook(around.rng),
            issued,
            self.claim_writer,
            self._claim_writers,
            self.links.tell,
        )
        self.gateway = gateway.Gateway(
            instance,
            lambda: self.current,
            self.directory,
            self.admission,
            self.forwarder,
            self.claims,
            issued,
            around.metrics,
            around.log,
        )

    def _new_runner(
        self, target: inventory.Target
    ) -> targetrunner.TargetRunner:
        around = self._around
        shared = targetrunner.Shared(
            self.hello.instance,
            self.suspects,
            self.speeds,
            around.metrics,
            self._on_crash,
        )
        return targetrunner.TargetRunner(
            target,
            around.clients.sender(target),
            lambda model: model in self.owned.models_of(target.name),
            shared,
        )

    def _new_engine(
        self, target: inventory.Target, runner: targetrunner.TargetRunner
    ) -> ownedtargets.OwnedEngine:
        around = self._around
        engine = enginememory.EngineMemory(
            target,
            around.clients.engine(target),
            around.key_value,
            self.grants,
            self.directory,
            runner,
            self.adapter_loads,
            lambda model: _unlimited,
            around.rng,
            around.metrics,
            around.log,
            self._in_use,
        )
        runner.adapters = engine.gate
        return engine

    def _in_use(self, model: str) -> bool:
        """Tells whether a client account uses a model; True if unknown."""
        policies = self.current.policies.values()
        if not policies:
            return True
        return any(model in policy.models for policy in policies)

    def _on_crash(self, target: str) -> None:
        telemetry.log(
            self._around.log,
            "target_crashed",
            level=logging.WARNING,
            target=target,
        )
        self.prefixes.forget(target)
        shared = self.suspects.share(_now())
        self.links.broadcast(shared)
        for link in self.links.gateways.values():
            link.offer(shared)

    def _claim_writers(self) -> list[str]:
        """Returns the instances that may write claims, best first."""
        names = {self.hello.instance, *self.links.peers}
        if self.leaving and len(names) > 1:
            names.discard(self.hello.instance)
        return sorted(
            names, key=lambda n: ownership.score("claims", n), reverse=True
        )


def _unlimited() -> None:
    """Gives nothing back: the leader paces model loads by its plans."""


def _now() -> float:
    return asyncio.get_running_loop().time()
