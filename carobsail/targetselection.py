"""Assembles the inputs of `targetchoice` from what an instance knows.

Requests of callers and the questions of operators (`carobsailctl where`) use
the same inputs, so that an operator sees the decision that a caller would get.
"""

import dataclasses
import math
from collections.abc import Sequence

from carobsail import (
    decisiontrace,
    headercodec,
    latencymodel,
    modeldemand,
    promptcache,
    requestrates,
    routetable,
    targetchoice,
    targetregistry,
)

# Time reserved for a response to reach its caller.
RESPONSE_MARGIN_S = 0.02
# Requests that are still queued this long before the process ends are refused;
# a request that was sent may need this long for its response.
SHUTDOWN_MARGIN_S = 2.0
# Mean staleness of the load of other instances: the coordinator publishes it
# twice a second, from reports that are up to 0.5 s old.
LOAD_REPORT_AGE_S = 0.5
# Assumed for a caller that states no timeout.
DEFAULT_CALLER_TIMEOUT_S = 30.0


def caller_timeout_s(metadata: headercodec.RequestMetadata) -> float:
    """Returns the seconds that a caller waits for its response."""
    if metadata.caller_timeout_s is None:
        return DEFAULT_CALLER_TIMEOUT_S
    return metadata.caller_timeout_s


def make_requirements(
    metadata: headercodec.RequestMetadata,
    route: routetable.Route,
    service: str,
    now: float,
) -> targetchoice.TargetRequirements:
    """Returns what a request that has just arrived requires of a target.

    Args:
      metadata: Contents of its headers.
      route: Its route.
      service: Service that was picked for it.
      now: Time of the event loop's clock in seconds.
    """
    caller_deadline_at = now + caller_timeout_s(metadata)
    return targetchoice.TargetRequirements(
        service,
        metadata.model,
        metadata.adapter,
        metadata.prompt_tokens,
        min(caller_deadline_at, now + route.timeout_s) - RESPONSE_MARGIN_S,
        now + route.latency_objective_s,
        now + route.caller_idle_timeout_s - RESPONSE_MARGIN_S,
        0 if metadata.last_event else metadata.answer_tokens,
    )


def may_outlast(
    stops_at: float | None,
    metadata: headercodec.RequestMetadata,
    route: routetable.Route,
    now: float,
) -> bool:
    """Whether a request that arrives now could last beyond `stops_at`."""
    longest_s = min(route.timeout_s, metadata.caller_timeout_s or math.inf)
    return stops_at is not None and now + longest_s > stops_at


@dataclasses.dataclass(slots=True, frozen=True)
class TargetSelector:
    """Chooses targets by the state of one instance, which it does not change.

    Attributes:
      registry: Known targets.
      location: Location of this instance.
      prompt_cache: Prompts that the targets have cached.
      request_rates: Request rates of the other instances.
      model_demand: Demand for models and adapters.
      latency_models: Learned response times of the targets, by service.
      memory_fill_share: Share of an engine's memory that may be filled; 0 if
        memory is left to the engines.
    """

    registry: targetregistry.TargetRegistry
    location: targetchoice.Location
    prompt_cache: promptcache.PromptCacheIndex
    request_rates: requestrates.RequestRates
    model_demand: modeldemand.ModelDemand
    latency_models: latencymodel.LatencyModels
    memory_fill_share: float = 0.0

    def choose(
        self,
        requirements: targetchoice.TargetRequirements,
        prompt_parts: tuple[tuple[str, int], ...],
        table: routetable.RouteTable,
        instance_count: int,
        stops_at: float | None,
        random_draw: float,
        now: float,
        list_age_s: float,
    ) -> targetchoice.Choice:
        """Completes the requirements of a request and decides on it.

        Args:
          requirements: Requirements of the request.
          prompt_parts: Parts of its prompt with their tokens.
          table: Active configuration.
          instance_count: Number of known instances, including this one.
          stops_at: Time at which the process ends, or None.
          random_draw: Random number in [0, 1).
          now: Time of the event loop's clock in seconds.
          list_age_s: Age of the list of targets.
        """
        targets = self.registry.of_service(requirements.service, now)
        requirements.replacement_due_at = self.registry.replacement_due_at(
            requirements.service, targets, now, list_age_s
        )
        return self.decide(
            requirements,
            prompt_parts,
            table,
            instance_count,
            stops_at,
            random_draw,
            now,
            targets,
            self.latency_models.of_service(requirements.service),
        )

    def decide(
        self,
        requirements: targetchoice.TargetRequirements,
        prompt_parts: tuple[tuple[str, int], ...],
        table: routetable.RouteTable,
        instance_count: int,
        stops_at: float | None,
        random_draw: float,
        now: float,
        targets: Sequence[targetregistry.Target],
        latency_model: latencymodel.LatencyModel,
        trace: decisiontrace.DecisionTrace = decisiontrace.NO_TRACE,
    ) -> targetchoice.Choice:
        """Decides on a request without changing the instance's state.

        Args:
          requirements: Requirements of the request, which are completed.
          prompt_parts: Parts of its prompt with their tokens.
          table: Active configuration.
          instance_count: Number of known instances, including this one.
          stops_at: Time at which the process ends, or None.
          random_draw: Random number in [0, 1).
          now: Time of the event loop's clock in seconds.
          targets: Targets of its service that are not leaving.
          latency_model: Latency model of its service.
          trace: Records what the decision considered.
        """
        service = table.services.get(requirements.service)
        pool = service.pool if service else None
        if requirements.model:
            requirements.cached_tokens = {
                t.entry.identity: self.prompt_cache.cached_tokens(
                    t.entry.identity,
                    f"{requirements.model}/{requirements.adapter}",
                    prompt_parts,
                )
                for t in targets
                if requirements.model in t.held
            }
        others_per_s = self.request_rates.others_per_s(
            requirements.service, requirements.model, instance_count, now
        )
        requirements.expected_remote_requests = LOAD_REPORT_AGE_S * others_per_s
        requirements.remote_requests_per_s = (
            self.request_rates.assumed_others_per_s(
                requirements.service, requirements.model, instance_count, now
            )
        )
        requirements.random_draw = random_draw
        requirements.memory_fill_share = self.memory_fill_share
        requirements.model_ready_in_s = self.model_demand.ready_in_s(
            requirements.service, requirements.model, now
        )
        choice = targetchoice.choose_target(
            requirements,
            targets,
            pool,
            self.location,
            now,
            latency_model,
            trace,
        )
        if isinstance(choice, targetchoice.Wait) and stops_at:
            # A request that is queued when the process ends would get no
            # response.
            if now > stops_at - SHUTDOWN_MARGIN_S:
                return targetchoice.Refuse(
                    "instance_stops", targetchoice.MIN_RETRY_S
                )
        return choice
