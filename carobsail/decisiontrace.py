"""Records what a choice of a target considered, for operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carobsail.targetchoice import Send
    from carobsail.targetregistry import Target


class DecisionTrace:
    """Records nothing: the trace of a caller's request.

    Attributes:
      records: Whether it records anything.
    """

    __slots__ = ()
    records = False

    def keep(
        self, reason: str, targets: Sequence[Target], kept: Sequence[Target]
    ) -> None:
        """Called when only some of the targets are considered further.

        Args:
          reason: Why the others are ruled out.
          targets: The targets before.
          kept: Those that are considered further.
        """

    def consider(self, options: Sequence[Send], usable: Sequence[Send]) -> None:
        """Called after a pass over the targets; the last pass counts.

        Args:
          options: What each target would mean for the request.
          usable: Those among which one is picked.
        """


class RecordedTrace(DecisionTrace):
    """Keeps what a decision considered.

    Attributes:
      ruled_out: Why targets were not considered further, by identity.
      considered: What the others would mean for the request, by identity.
    """

    __slots__ = ("considered", "ruled_out")
    records = True

    def __init__(self) -> None:
        """Creates an empty trace."""
        self.ruled_out: dict[str, str] = {}
        self.considered: dict[str, Send] = {}

    def keep(
        self, reason: str, targets: Sequence[Target], kept: Sequence[Target]
    ) -> None:
        """See base class."""
        identities = {target.entry.identity for target in kept}
        for target in targets:
            if target.entry.identity not in identities:
                self.ruled_out[target.entry.identity] = reason

    def consider(self, options: Sequence[Send], usable: Sequence[Send]) -> None:
        """See base class."""
        identities = {send.target.entry.identity for send in usable}
        for send in options:
            identity = send.target.entry.identity
            self.considered[identity] = send
            self.ruled_out.pop(identity, None)
            if identity not in identities:
                self.ruled_out[identity] = "misses the objective"


# Used where nobody asks for a trace.
NO_TRACE = DecisionTrace()
