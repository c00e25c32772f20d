"""Assignment of targets to entry instances, and the grants that enforce it.

Each target has one owner, an entry instance. The leader of the data centre
assigns the owners and gives each of them a grant, which is a short lease on
its targets. Under a grant, the owner may send orders: commands to an engine
to load or unload a model.

`OwnershipTable` holds the leader's assignment and grants, `OwnershipStore`
stores the assignment in the key-value service, and `grants.GrantHolder`
tracks the grant that an entry instance has received.
"""

import math
import random
from collections.abc import Collection, Mapping

import msgspec
import xxhash

from carobsail import errors, keyvalue, messages
from carobsail.grants import GrantHolder

__all__ = [
    "GrantHolder",
    "OwnershipTable",
    "OwnershipMap",
    "OwnershipStore",
    "assign_owners",
    "rendezvous_score",
]

GRANT_VALID_S = 3.0
GRANT_INTERVAL_S = 1.0
# Time to wait after a grant's expiry before its targets get another owner.
GRANT_EXPIRY_MARGIN_S = 1.0
# No owner is assigned more than this multiple of the mean number of targets.
MAX_IMBALANCE = 1.25
# Grants are sent in response to heartbeats. A heartbeat that comes up to half
# a heartbeat interval early must not delay the next grant.
GRANT_INTERVAL_TOLERANCE_S = 0.25


def rendezvous_score(target: str, instance: str) -> int:
    """Returns the rendezvous hash of an instance for a target."""
    return xxhash.xxh3_64_intdigest(f"{target}\0{instance}".encode())


def _highest_scoring(target: str, instances: Collection[str]) -> str:
    """Returns the instance with the highest score for a target."""
    return max((rendezvous_score(target, name), name) for name in instances)[1]


def assign_owners(
    targets: Collection[str],
    instances: Collection[str],
    owners: Mapping[str, str],
) -> dict[str, str]:
    """Assigns targets to instances by rendezvous hashing with bounded load.

    Targets keep an owner that is still among the instances, unless it has
    more targets than the bound allows.

    Args:
      targets: Names of all targets.
      instances: Instances that may own targets.
      owners: Current owner by target.

    Returns:
      The owner of each target; empty when there is no instance.
    """
    if not instances:
        return {}
    bound = math.ceil(MAX_IMBALANCE * len(targets) / len(instances))
    kept: dict[str, list[str]] = {name: [] for name in instances}
    unassigned = []
    for target in sorted(targets):
        owner = owners.get(target)
        if owner in kept:
            kept[owner].append(target)
        else:
            unassigned.append(target)
    for name, owned in kept.items():
        if len(owned) > bound:
            ranked = sorted(
                (rendezvous_score(target, name), target) for target in owned
            )
            unassigned += [target for _, target in ranked[:-bound]]
            owned[:] = [target for _, target in ranked[-bound:]]
    load = {name: len(owned) for name, owned in kept.items()}
    result = {t: name for name, owned in kept.items() for t in owned}
    for target in unassigned:
        candidates = [name for name in instances if load[name] < bound]
        chosen = _highest_scoring(target, candidates)
        result[target] = chosen
        load[chosen] += 1
    return result


class OwnershipMap(msgspec.Struct, frozen=True):
    """Value of the ownership key.

    Attributes:
      epoch: Number of the assignment; increases with each stored map.
      token: Random and different for each write, so that a writer recognises
        its own write after a lost response.
      owners: Owner instance by target.
    """

    epoch: int
    token: str
    owners: dict[str, str]


class OwnershipTable:
    """Owners of the targets and grants to them, as the leader decides.

    Attributes:
      epoch: Epoch of the current assignment.
      owners: Owner by target.
      version: Increases within the epoch whenever the targets that are granted
        change.
    """

    __slots__ = (
        "_grant_sent_at",
        "_handed_back_epochs",
        "_released_at",
        "_substitutes",
        "_targets_by_owner",
        "_took_over_at",
        "epoch",
        "owners",
        "version",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.version = 0
        self.owners: dict[str, str] = {}
        # Targets that are being moved and are left out of their owner's
        # grants, with the time at which its earlier grants have expired.
        self._released_at: dict[str, float] = {}
        # Last epoch of which each instance gave up its grants.
        self._handed_back_epochs: dict[str, int] = {}
        # Time of the last grant or renewal sent to each instance.
        self._grant_sent_at: dict[str, float] = {}
        self._took_over_at = 0.0
        self._substitutes: dict[str, str] = {}
        self._targets_by_owner: dict[str, list[str]] | None = None

    def take_over(
        self, epoch: int, owners: Mapping[str, str], now: float
    ) -> None:
        """Replaces the state by a stored map when this process starts to lead.

        The previous leader may have sent grants until `now`.

        Args:
          epoch: Stored epoch.
          owners: Stored owners.
          now: Loop time in seconds.
        """
        self.epoch = epoch
        self.version = 0
        self.owners = dict(owners)
        self._took_over_at = now
        self._released_at.clear()
        self._handed_back_epochs.clear()
        self._grant_sent_at.clear()
        self._substitutes = {}
        self._targets_by_owner = None

    def apply_written(self, epoch: int, owners: Mapping[str, str]) -> None:
        """Makes a map current that has been written to the store."""
        self._released_at = {
            target: at
            for target, at in self._released_at.items()
            if target in owners and owners[target] == self.owners.get(target)
        }
        self.epoch = epoch
        self.version = 0
        self.owners = dict(owners)
        self._substitutes = {}
        self._targets_by_owner = None

    @property
    def has_pending_moves(self) -> bool:
        """Whether the move of a target awaits the expiry of a grant."""
        return bool(self._released_at)

    def record_hand_back(self, instance: str, epoch: int) -> None:
        """Records that an owner gave up its grants of epochs up to `epoch`."""
        self._handed_back_epochs[instance] = epoch

    def compute_assignment(
        self, targets: Collection[str], usable: Collection[str], now: float
    ) -> dict[str, str] | None:
        """Computes a new assignment.

        A target gets another owner only when no grant of the old owner can
        still be valid. Until then, it is left out of the old owner's grants.

        Args:
          targets: Targets of the data centre.
          usable: Instances that may own targets.
          now: Loop time in seconds.

        Returns:
          The new owner by target, to be written with epoch + 1, or None when
          there is nothing to write now.
        """
        if not usable:
            return None
        wanted = assign_owners(targets, usable, self.owners)
        self._withhold_targets(
            {
                target
                for target, owner in self.owners.items()
                if wanted.get(target) != owner
            }
        )
        result = dict(wanted)
        for target, released_at in self._released_at.items():
            owner = self.owners[target]
            if now < released_at and self._retains_grant(owner):
                result[target] = owner
        # A usable owner that gave up its grant has restarted since. It gets
        # a grant again only under a new epoch.
        restarted = {o for o in result.values() if not self._retains_grant(o)}
        if result != self.owners or not restarted.isdisjoint(usable):
            return result
        return None

    def _withhold_targets(self, moving: set[str]) -> None:
        """Leaves exactly these targets out of their owners' grants."""
        if moving == self._released_at.keys():
            return
        for target in self._released_at.keys() - moving:
            del self._released_at[target]
        for target in moving - self._released_at.keys():
            sent_at = self._grant_sent_at.get(
                self.owners[target], self._took_over_at
            )
            self._released_at[target] = (
                sent_at + GRANT_VALID_S + GRANT_EXPIRY_MARGIN_S
            )
        self._increment_version()

    def _retains_grant(self, instance: str) -> bool:
        """Tells whether the instance has not given up its current grant."""
        return self._handed_back_epochs.get(instance, -1) < self.epoch

    def _increment_version(self) -> None:
        self.version += 1
        self._targets_by_owner = None

    def assign_substitutes(self, usable: Collection[str]) -> None:
        """Grants the targets of unusable owners to usable instances.

        Used while the key-value service is down: the substitutes may send
        requests to the targets, but nothing is written, the epoch stays the
        same, and grants must not allow orders.

        Args:
          usable: Instances that may own targets.
        """
        before = self._substitutes
        self._substitutes = {
            target: _highest_scoring(target, usable)
            for target, owner in self.owners.items()
            if owner not in usable and usable
        }
        if self._substitutes != before:
            self._increment_version()

    def respond_to_heartbeat(
        self,
        instance: str,
        heartbeat: messages.Heartbeat,
        now: float,
        orders_allowed: bool,
        calls_per_s: float,
    ) -> messages.Grant | messages.Renewal | None:
        """Returns the response to an entry instance's heartbeat.

        Args:
          instance: Sender of the heartbeat.
          heartbeat: The heartbeat.
          now: Loop time in seconds.
          orders_allowed: Whether the grant allows orders.
          calls_per_s: The instance's share of the key-value call budget.

        Returns:
          A full grant when the instance does not hold the current version, a
          renewal once a second otherwise, or None.
        """
        held = (heartbeat.epoch, heartbeat.grant_version)
        if not self._retains_grant(instance) or heartbeat.epoch > self.epoch:
            return None
        if held > (self.epoch, self.version):
            # A previous leader granted a later version of the same epoch.
            self.version = heartbeat.grant_version
            self._increment_version()
        current = held == (self.epoch, self.version)
        sent_at = self._grant_sent_at.get(instance, float("-inf"))
        if (
            current
            and now - sent_at < GRANT_INTERVAL_S - GRANT_INTERVAL_TOLERANCE_S
        ):
            return None
        self._grant_sent_at[instance] = now
        if current:
            return messages.Renewal(
                self.epoch,
                self.version,
                GRANT_VALID_S,
                orders_allowed,
                calls_per_s,
                heartbeat.seq,
            )
        return messages.Grant(
            self.epoch,
            GRANT_VALID_S,
            self._owned_by(instance),
            self.owners | self._substitutes,
            orders_allowed,
            calls_per_s,
            heartbeat.seq,
            self.version,
        )

    def _owned_by(self, instance: str) -> list[str]:
        if self._targets_by_owner is None:
            self._targets_by_owner = {}
            for target, owner in (self.owners | self._substitutes).items():
                if (
                    target not in self._released_at
                    or target in self._substitutes
                ):
                    self._targets_by_owner.setdefault(owner, []).append(target)
        return self._targets_by_owner.get(instance, [])


class OwnershipStore:
    """Reads and writes the ownership map in the key-value service."""

    __slots__ = ("_key", "_key_value", "_revision", "_rng")

    def __init__(
        self,
        data_centre: str,
        key_value: keyvalue.KeyValueClient,
        rng: random.Random,
    ) -> None:
        self._key = f"/carobsail/dc/{data_centre}/ownership"
        self._key_value = key_value
        self._rng = rng
        self._revision = 0

    async def load(self) -> OwnershipMap | errors.Failure:
        """Reads the map; returns one of epoch 0 when none is stored."""
        result = await self._key_value.range(self._key)
        if isinstance(result, errors.Failure):
            return result
        for found in result.values:
            if found.key == self._key:
                self._revision = found.mod_revision
                return msgspec.json.decode(found.value, type=OwnershipMap)
        self._revision = 0
        return OwnershipMap(0, "", {})

    async def store(
        self, epoch: int, owners: dict[str, str], leader: keyvalue.Compare
    ) -> None | errors.Failure:
        """Replaces the map read last by compare-and-swap.

        When the outcome of the write is unknown, the map is read again; it
        was written if it has the token of this write.

        Args:
          epoch: Epoch of the map.
          owners: Owner by target.
          leader: Condition on the leader key, so that the write of a deposed
            leader fails.

        Returns:
          None, or a Failure of reason CONFLICT when another write came first.
        """
        token = f"{self._rng.getrandbits(64):016x}"
        value = msgspec.json.encode(OwnershipMap(epoch, token, owners))
        result = await self._key_value.transact(
            [keyvalue.Compare(self._key, self._revision), leader],
            [keyvalue.Put(self._key, value)],
        )
        if isinstance(result, errors.Failure):
            if result.outcome == errors.Outcome.NOT_RUN:
                return result
            found = await self.load()
            if isinstance(found, errors.Failure):
                return found
            if found.token == token:
                return None
        elif result.succeeded:
            self._revision = result.revision
            return None
        return errors.Failure(
            errors.Reason.CONFLICT, errors.Step.KEY_VALUE, self._key
        )
