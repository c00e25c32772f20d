"""Creates and connects the components of an entry instance."""

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
    configuration,
    configurationrelay,
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
    reporting,
    routing,
    suspects,
    targetclients,
    targetrunner,
    telemetry,
)


@dataclasses.dataclass(slots=True)
class Dependencies:
    """Dependencies of an entry instance.

    Attributes:
      hello: Hello message of the instance, with role `entry`.
      key_value: Key-value client that keeps to the call rate of the instance.
      connect: Connects to the address of a peer.
      clients: Clients of targets.
      secrets: Secrets shared with peers.
      rng: Source of randomness for jitter and tokens.
      wall_clock: Returns the seconds since the Unix epoch.
      metrics: Receives counts and durations.
      log: Receives events.
      routing_policy: Name of the routing policy.
      set_call_rate: Sets the number of key-value calls allowed per second.
    """

    hello: messages.Hello
    key_value: keyvalue.KeyValueClient
    connect: links.Connect
    clients: targetclients.TargetClients
    secrets: list[bytes]
    rng: random.Random
    wall_clock: Callable[[], float]
    metrics: telemetry.Metrics
    log: logging.Logger
    routing_policy: str = "due_time"
    set_call_rate: Callable[[float], None] = lambda rate: None


class EntryParts:
    """Components of an entry instance.

    Attributes:
      hello: Hello message of the instance.
      leaving: Whether the instance is being stopped.
      grants: Ownership granted to this instance.
      state: Configuration documents.
      current: Configuration in force.
      suspects: Requests suspected of crashing targets.
      dispatcher: Runs attempts at owned targets.
      owned: Owned targets.
      reporter: Computes the reports to peers and to the leader.
      directory: Known targets.
      links: Links to other entry instances.
      forwarder: Runs the requests of callers.
      claims: Claims idempotency keys.
      gateway: HTTP interface for callers.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        """Creates the components of an instance that is not started."""
        self._dependencies = dependencies
        self.hello = dependencies.hello
        self.leaving = False
        self.grants = grants.GrantHolder()
        self.state = configurationrelay.ConfigurationState()
        self.current = configuration.ConfigurationSet()
        self.slowdowns = estimation.Slowdowns()
        self.prefixes = prefixes.PrefixIndex()
        self.suspects = suspects.CrashSuspects(dependencies.hello.instance)
        self.dispatcher = dispatcher.Dispatcher()
        self.adapter_loads = adapters.LoadLimiter(1)
        self.owned = ownedtargets.OwnedTargets(
            self.dispatcher,
            self.grants,
            self._create_runner,
            self._create_engine,
        )
        self.reporter = reporting.Reporter(self.owned, self.dispatcher, _now())
        self.directory = directory.TargetDirectory(
            dependencies.hello.data_centre,
            self.dispatcher,
            self.owned.models_of,
            self.slowdowns,
            self.prefixes,
        )
        self.policy = routing.create(
            dependencies.routing_policy, dependencies.rng
        )
        self._create_request_path()

    def _create_request_path(self) -> None:
        dependencies, instance = self._dependencies, self.hello.instance
        process_id = f"{instance}-{self.hello.incarnation:x}"
        self.admission = admission.Admission(instance)
        self.shares = accountshares.AccountShares(
            instance,
            self.admission,
            lambda account: self.current.policies.get(account),
        )
        issued = idempotency.IssuedKeyTable(
            instance,
            self.hello.incarnation,
            dependencies.secrets,
            dependencies.rng,
        )
        self.claim_writer = idempotency.ClaimWriter(
            dependencies.key_value,
            self.hello.data_centre,
            process_id,
            dependencies.wall_clock,
        )
        receivers = attempts.Receivers()
        self.links = entrylinks.EntryLinks(
            self.directory,
            self.dispatcher,
            receivers,
            lambda: self.grants.owners,
            self.policy,
            dependencies.metrics,
        )
        self.directory.set_reachability(self.links.gateways.__contains__)
        self.forwarder = forwarder.Forwarder(
            process_id,
            self.directory,
            self.policy,
            self.links,
            receivers,
            self.reporter,
            self.suspects,
            dependencies.metrics,
            dependencies.rng,
        )
        self.claims = claimrouting.ClaimRouter(
            instance,
            idempotency.ClaimTracker(dependencies.rng),
            issued,
            self.claim_writer,
            self._claim_writers,
            self.links.send_to,
        )
        self.gateway = gateway.Gateway(
            instance,
            lambda: self.current,
            self.directory,
            self.admission,
            self.forwarder,
            self.claims,
            issued,
            dependencies.metrics,
            dependencies.log,
        )

    def _create_runner(
        self, target: inventory.Target
    ) -> targetrunner.TargetRunner:
        dependencies = self._dependencies
        shared = targetrunner.SharedDependencies(
            self.hello.instance,
            self.suspects,
            self.slowdowns,
            dependencies.metrics,
            self._on_crash,
        )
        return targetrunner.TargetRunner(
            target,
            dependencies.clients.client_of(target),
            lambda model: model in self.owned.models_of(target.name),
            shared,
        )

    def _create_engine(
        self, target: inventory.Target, runner: targetrunner.TargetRunner
    ) -> ownedtargets.OwnedEngine:
        dependencies = self._dependencies
        engine = enginememory.EngineMemory(
            target,
            dependencies.clients.engine(target),
            dependencies.key_value,
            self.grants,
            self.directory,
            runner,
            self.adapter_loads,
            lambda model: _release_nothing,
            dependencies.rng,
            dependencies.metrics,
            dependencies.log,
            self._in_use,
        )
        runner.adapters = engine.adapter_loader
        return engine

    def _in_use(self, model: str) -> bool:
        """Tells whether an account uses a model; True without any account."""
        policies = self.current.policies.values()
        if not policies:
            return True
        return any(model in policy.models for policy in policies)

    def _on_crash(self, target: str) -> None:
        telemetry.log(
            self._dependencies.log,
            "target_crashed",
            level=logging.WARNING,
            target=target,
        )
        self.prefixes.forget(target)
        shared = self.suspects.entries_for_peers(_now())
        self.links.broadcast(shared)
        for link in self.links.gateways.values():
            link.try_send(shared)

    def _claim_writers(self) -> list[str]:
        """Returns the instances that may write claims, most preferred first."""
        names = {self.hello.instance, *self.links.peers}
        if self.leaving and len(names) > 1:
            names.discard(self.hello.instance)
        return sorted(
            names,
            key=lambda n: ownership.rendezvous_score("claims", n),
            reverse=True,
        )


def _release_nothing() -> None:
    """Does nothing.

    No permit has to be released, because the leader limits the rate of model
    loads by its plans.
    """


def _now() -> float:
    return asyncio.get_running_loop().time()
