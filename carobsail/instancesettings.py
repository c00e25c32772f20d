"""Settings of a serving instance."""

from typing import Annotated

import msgspec

from carobsail import settings

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class InstanceSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one instance; docs/configuration.md explains each.

    Attributes:
      instance: Name of the instance.
      address: IP address that the other instances reach.
      data_centre: Data centre of the instance.
      regions: Region of each data centre.
      callers_listen: `host:port` for callers.
      readiness_listen: `host:port` for readiness probes.
      peers_listen: `host:port` for other instances and operators.
      metrics_listen: `host:port` for metrics; not served if empty.
      first_port: First of the ports for datagrams between instances.
      seeds: `host:port` of instances whose copy of the store is read at the
        start while the store does not answer.
      store: `host:port` of the platform's key-value store.
      link_mbps: Bandwidth of the instance's own link in Mbit/s.
      grace_s: Seconds from the stop signal until the process ends.
      order_turn_ms: Least time in ms between the orders of two instances to
        one engine.
      repeat_ratio: Retries allowed per request, over all instances.
      repeat_allowance: Retries allowed in a window beyond that ratio.
      repeat_window_s: Window in seconds over which retries are counted.
      load_window_s: Window in seconds over which loads from the weight store
        are counted.
      limit_window_s: Window in seconds over which the limits of client accounts
        are judged.
      limit_tolerance: Relative excess of a limit that is tolerated.
      limit_slack: Absolute excess that is tolerated, in the limit's unit.
      engine_memory_fill_share: Share of the memory of engines that state their
        pace which the instances together may fill with predicted tokens; 0
        leaves this to the engines, which queue what exceeds their memory.
      memory_mb: Memory of the machine in MB, from which the limit of the bytes
        held for callers and targets is derived; 0 if not stated.
      max_descriptors: File descriptors that the process may open, from which
        the number of connections of callers is derived; 0 if not stated.
      log_level: `debug`, `info`, `warning` or `error`.
    """

    instance: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    data_centre: str
    regions: dict[str, str]
    callers_listen: str
    readiness_listen: str
    peers_listen: str
    metrics_listen: str = ""
    first_port: _Port
    seeds: list[str] = []
    store: str
    link_mbps: _Positive = 1000.0
    grace_s: _Positive = 8.0
    order_turn_ms: _Positive = 3000.0
    repeat_ratio: _NotNegative = 0.2
    repeat_allowance: _NotNegative = 50.0
    repeat_window_s: _Positive = 10.0
    load_window_s: _Positive = 5.0
    limit_window_s: _Positive = 8.0
    limit_tolerance: _NotNegative = 0.1
    limit_slack: _NotNegative = 0.0
    engine_memory_fill_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    memory_mb: _NotNegative = 0.0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
    log_level: str = "info"

    def __post_init__(self) -> None:
        """Checks the addresses.

        Raises:
          ValueError: An address is malformed.
        """
        addresses = [
            self.callers_listen,
            self.readiness_listen,
            self.peers_listen,
            self.store,
            *self.seeds,
        ]
        if self.metrics_listen:
            addresses.append(self.metrics_listen)
        for text in addresses:
            settings.parse_address(text)
