"""State of a request in progress."""

import dataclasses

from carobsail import (
    clientaccounts,
    crashes,
    errors,
    eventstream,
    headercodec,
    httpserver,
    latencymodel,
    retrydecision,
    routetable,
    targetchoice,
    targetregistry,
)


@dataclasses.dataclass(slots=True)
class Call:
    """One caller's request in progress.

    Attributes:
      request: The request as received.
      responder: Writes the response to the caller.
      metadata: Contents of its headers.
      progress: State of its sends to targets.
      requirements: Its requirements on a target.
      arrived_at: When it was received.
      caller_deadline_at: When its caller stops waiting.
      cursor: Position in the event stream of its response.
      traits: What it may have in common with other requests; see `crashes`.
      account: Client account; None if the configuration that admitted it has
        no accounts, or its route needs no key.
      has_accounts: Whether the configuration that admitted it has accounts.
      counts_as_demand: Whether it counts as demand for its model; a retry of a
        refused request does not.
      charge: What its account was charged for it.
      targets: Identities of the targets that it was sent to, in order.
      forecast: Predicted response time of the last send.
      predicted_s: Conservative estimate of the seconds to the first event of
        the last send, with the cost of the network link; see `Send.cost_s`.
      late: Whether the last send was queued behind requests that can meet
        their objective.
      begun_at_crash: Whether the target of its last send crashed when it began
        to answer.
      lost_at_crash: Whether the target of its last send crashed before it
        answered.
      head_received: Whether the target of the last send has begun to respond.
      first_event_s: Measured seconds to the first event of the last send.
      sent_at: When it was last sent.
      last_event_at: When the last event was written to the caller.
      longest_pause_s: Longest time between two events so far.
      waiting_for: What it waits for: `model`, `adapter`, or empty.
      waiting_since: When the wait began.
      failure: Why the last send or the choice of a target failed.
      failure_response: Error response of a target, forwarded to the caller if
        no later send succeeds.
    """

    request: httpserver.Request
    responder: httpserver.Responder
    metadata: headercodec.RequestMetadata
    progress: retrydecision.Progress
    requirements: targetchoice.TargetRequirements
    arrived_at: float
    caller_deadline_at: float
    cursor: eventstream.EventCursor
    traits: crashes.Traits = crashes.Traits()
    account: clientaccounts.ClientAccount | None = None
    has_accounts: bool = False
    counts_as_demand: bool = False
    charge: float = 0.0
    targets: list[str] = dataclasses.field(default_factory=list)
    forecast: targetchoice.Forecast | None = None
    predicted_s: float = 0.0
    late: bool = False
    begun_at_crash: bool = False
    lost_at_crash: bool = False
    head_received: bool = False
    first_event_s: float | None = None
    sent_at: float = 0.0
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    waiting_for: str = ""
    waiting_since: float = 0.0
    failure: errors.Failure | None = None
    failure_response: tuple[int, headercodec.Headers, bytes] | None = None

    def complete_requirements(self, instance_count: int) -> None:
        """Completes the requirements; see `complete_requirements`."""
        complete_requirements(
            self.requirements,
            self.metadata,
            self.route,
            self.rank,
            instance_count,
        )

    @property
    def held_tokens(self) -> int:
        """Tokens that it holds at its target; 0 if they are not looked at."""
        if self.forecast is None or self.forecast.held_tokens is None:
            return 0
        return self.requirements.memory_tokens

    def record_delivered_event(self, now: float) -> None:
        """Records that an event was written to the caller."""
        if self.last_event_at:
            pause_s = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_at = now
        self.requirements.next_event_due_at = (
            now + self.route.caller_idle_timeout_s
        )

    def record_pace(
        self, target: targetregistry.Target, measured_s: float
    ) -> None:
        """Records how long the last send took until what was predicted.

        A late request yields to those that arrived after it, so its time says
        nothing.

        Args:
          target: Target of the last send.
          measured_s: Seconds to its first event, or of the whole response of a
            plain service.
        """
        expected = self.forecast
        if expected is not None and not self.late:
            target.pace.record_measured(
                measured_s,
                expected.first_s,
                expected.pace / expected.stated_pace,
            )

    def final_failure(self, refusal: errors.Failure) -> errors.Failure:
        """Returns why the request fails if no further target is chosen.

        Args:
          refusal: Why none is chosen.

        Returns:
          The failure of the last send, if there was one; with the time of the
          refusal if all targets are leaving or gone.
        """
        if self.failure is None:
            return refusal
        if self.requirements.replacement_due_at is None:
            return self.failure
        return dataclasses.replace(
            self.failure, retry_after_s=refusal.retry_after_s
        )

    def latency_sample(
        self, now: float, served: bool
    ) -> latencymodel.LatencySample | None:
        """Returns what the last send to an engine says about its service.

        Args:
          now: Time at which the response ended.
          served: Whether the response was complete.
        """
        expected, first_s = self.forecast, self.first_event_s
        if expected is None or first_s is None or self.late:
            return None  # A late request yields to those that arrived later.
        return latencymodel.LatencySample(
            self.requirements.service,
            round(expected.prompt_tokens),
            round(expected.uncached_tokens),
            expected.in_flight,
            expected.usual_s(first_s),
            self.metadata.answer_tokens if served else 0,
            expected.usual_s(now - self.sent_at - first_s),
            expected.usual_s(expected.generation_s),
            self.requirements.stream_kind,
            self.requirements.model if expected.generation_s else "",
        )

    @property
    def route(self) -> routetable.Route:
        """Route of the request."""
        return self.progress.route

    @property
    def account_header(self) -> str | None:
        """Name of the client account; see `headercodec.TargetHeaders`."""
        if not self.has_accounts:
            return None
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """Rank of the request: its account's, or else its route's."""
        return request_rank(self.route, self.account)


def request_rank(
    route: routetable.Route, account: clientaccounts.ClientAccount | None
) -> int:
    """Returns the rank of an account's requests on a route, 0 the highest."""
    if account is not None and account.rank is not None:
        return account.rank
    return route.priority


def complete_requirements(
    requirements: targetchoice.TargetRequirements,
    metadata: headercodec.RequestMetadata,
    route: routetable.Route,
    rank: int,
    instance_count: int,
) -> None:
    """Completes the requirements of a request by what its headers state.

    Args:
      requirements: The requirements.
      metadata: Contents of its headers.
      route: Its route.
      rank: Its rank.
      instance_count: Number of instances that send to the targets.
    """
    requirements.instance_count = instance_count
    requirements.memory_tokens = metadata.prompt_tokens + metadata.answer_tokens
    requirements.stream_kind = latencymodel.stream_kind(
        rank, route.latency_objective_s
    )
