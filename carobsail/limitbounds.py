"""How limits of client accounts are judged over all instances."""

import dataclasses

from carobsail import clientaccounts

# Share of the tolerated excess that is added to the bucket of an account. The
# rest covers requests that are admitted before their grant.
USED_EXCESS_SHARE = 0.6


@dataclasses.dataclass(slots=True, frozen=True)
class LimitBounds:
    """How limits of client accounts are judged.

    Attributes:
      window_s: Window over which they are judged.
      tolerance: Relative excess that is tolerated.
      slack: Absolute excess that is tolerated, in the unit of the limit.
    """

    window_s: float = 8.0
    tolerance: float = 0.1
    slack: float = 0.0

    def hard_bound(self, account: clientaccounts.ClientAccount) -> float:
        """Returns what may be admitted at most in each window."""
        allowed = account.limit_per_s * self.window_s + account.burst
        return allowed * (1.0 + self.tolerance) + self.slack

    def bucket_size(self, account: clientaccounts.ClientAccount) -> float:
        """Returns the size of the bucket of an account over all instances."""
        excess = (
            self.hard_bound(account)
            - account.limit_per_s * self.window_s
            - account.burst
        )
        size = account.burst + USED_EXCESS_SHARE * excess
        # A smaller bucket would never admit any request.
        return max(size, account.charge(0, 0))
