"""Clients of targets, one for each pair of target and address."""

import abc

from carobsail import (
    enginehttp,
    engines,
    inventory,
    ownedtargets,
    services,
    targetrelay,
)


class TargetClients(abc.ABC):
    """Creates and keeps the clients of targets."""

    @abc.abstractmethod
    def engine(self, target: inventory.Target) -> engines.EngineClient:
        """Returns the client of an engine."""

    @abc.abstractmethod
    def client_of(self, target: inventory.Target) -> targetrelay.TargetClient:
        """Returns the client that sends requests to an engine or service."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the idle connections of all clients."""


class HttpTargetClients(TargetClients):
    """Clients over HTTP."""

    __slots__ = ("_engines", "_services")

    def __init__(self) -> None:
        """Clients are created when they are first asked for."""
        self._engines: dict[tuple[str, str], enginehttp.HttpEngine] = {}
        self._services: dict[tuple[str, str], services.HttpService] = {}

    def engine(self, target: inventory.Target) -> engines.EngineClient:
        """See base class."""
        key = (target.name, target.address)
        if key not in self._engines:
            self._engines[key] = enginehttp.HttpEngine(*key)
        return self._engines[key]

    def client_of(self, target: inventory.Target) -> targetrelay.TargetClient:
        """See base class."""
        if target.kind is inventory.Kind.ENGINE:
            return ownedtargets.EngineTargetClient(self.engine(target))
        key = (target.name, target.address)
        if key not in self._services:
            self._services[key] = services.HttpService(*key)
        return ownedtargets.ServiceTargetClient(
            self._services[key], target.name
        )

    def close(self) -> None:
        """See base class."""
        for engine in self._engines.values():
            engine.close()
        for service in self._services.values():
            service.close()
