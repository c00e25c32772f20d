"""Assignment of targets to entry instances, and the grants that enforce it.

`OwnershipBook` decides on the leader's side, `OwnershipStore` keeps the map in
the key-value service, and `grants.GrantHolder` is the receiver's side.
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
    "OwnershipBook",
    "OwnershipMap",
    "OwnershipStore",
    "assign",
    "score",
]

GRANT_VALID_S = 3.0
GRANT_INTERVAL_S = 1.0
# Added to a grant's validity before its targets move to another owner.
MARGIN_S = 1.0
# No owner keeps more than this multiple of the mean number of targets.
MAX_IMBALANCE = 1.25
# Grants arrive every second; half a heartbeat of jitter must not delay them.
GRANT_TOLERANCE_S = 0.25


def score(target: str, instance: str) -> int:
    """Returns the rendezvous score of an instance for a target."""
    return xxhash.xxh3_64_intdigest(f"{target}\0{instance}".encode())


def _highest(target: str, instances: Collection[str]) -> str:
    """Returns the instance with the highest score for a target."""
    return max((score(target, name), name) for name in instances)[1]


def assign(
    targets: Collection[str],
    instances: Collection[str],
    owners: Mapping[str, str],
) -> dict[str, str]:
    """Assigns targets to instances by rendezvous hashing with bounded load.

    Targets of a remaining owner stay where they are, except those beyond the
    owner's bound.

    Args:
      targets: Names of all targets.
      instances: Instances that may own targets.
      owners: Present owner by target.

    Returns:
      The owner of each target; empty when there is no instance.
    """
    if not instances:
        return {}
    bound = math.ceil(MAX_IMBALANCE * len(targets) / len(instances))
    kept: dict[str, list[str]] = {name: [] for name in instances}
    homeless = []
    for target in sorted(targets):
        owner = owners.get(target)
        if owner in kept:
            kept[owner].append(target)
        else:
            homeless.append(target)
    for name, owned in kept.items():
        if len(owned) > bound:
            ranked = sorted((score(target, name), target) for target in owned)
            homeless += [target for _, target in ranked[:-bound]]
            owned[:] = [target for _, target in ranked[-bound:]]
    load = {name: len(owned) for name, owned in kept.items()}
    result = {t: name for name, owned in kept.items() for t in owned}
    for target in homeless:
        free = [name for name in instances if load[name] < bound]
        chosen = _highest(target, free)
        result[target] = chosen
        load[chosen] += 1
    return result


class OwnershipMap(msgspec.Struct, frozen=True):
    """Value of the ownership key.

    Attributes:
      epoch: Number of the assignment.
      token: Differs with each write, to recognise a write whose response was
        lost.
      owners: Owner instance by target.
    """

    epoch: int
    token: str
    owners: dict[str, str]


class OwnershipBook:
    """The leader's decisions about owners and grants.

    Attributes:
      epoch: Epoch of the assignment in force.
      owners: Owner by target.
      version: Number of the contents within the epoch.
    """

    __slots__ = (
        "_free_at",
        "_handed_back",
        "_owned",
        "_sent_at",
        "_substitutes",
        "_taken_at",
        "epoch",
        "owners",
        "version",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.version = 0
        self.owners: dict[str, str] = {}
        # Targets withheld from their owner, and when its grant has ended.
        self._free_at: dict[str, float] = {}
        self._handed_back: dict[str, int] = {}
        # Last grant or renewal sent to each instance.
        self._sent_at: dict[str, float] = {}
        self._taken_at = 0.0
        self._substitutes: dict[str, str] = {}
        self._owned: dict[str, list[str]] | None = None

    def take_over(
        self, epoch: int, owners: Mapping[str, str], now: float
    ) -> None:
        """Starts from a stored map.

        Grants of the previous leader may be as recent as `now`.

        Args:
          epoch: Stored epoch.
          owners: Stored owners.
          now: Loop time in seconds.
        """
        self.epoch = epoch
        self.version = 0
        self.owners = dict(owners)
        self._taken_at = now
        self._free_at.clear()
        self._handed_back.clear()
        self._sent_at.clear()
        self._substitutes = {}
        self._owned = None

    def adopt(self, epoch: int, owners: Mapping[str, str]) -> None:
        """Puts a map into force that has been written."""
        self._free_at = {
            target: at
            for target, at in self._free_at.items()
            if target in owners and owners[target] == self.owners.get(target)
        }
        self.epoch = epoch
        self.version = 0
        self.owners = dict(owners)
        self._substitutes = {}
        self._owned = None

    @property
    def moving(self) -> bool:
        """Whether targets wait for the end of their owner's grant."""
        return bool(self._free_at)

    def handed_back(self, instance: str, epoch: int) -> None:
        """Records that a leaving owner ended its grants up to `epoch`."""
        self._handed_back[instance] = epoch

    def propose(
        self, targets: Collection[str], usable: Collection[str], now: float
    ) -> dict[str, str] | None:
        """Decides on a new map.

        A target leaves its owner only once no grant for it can be valid; it
        is withheld from the owner's grants until then.

        Args:
          targets: Targets of the data centre.
          usable: Instances that may own targets.
          now: Loop time in seconds.

        Returns:
          The new owner by target, to be written with epoch + 1, or None when
          nothing may change now.
        """
        if not usable:
            return None
        wanted = assign(targets, usable, self.owners)
        self._withhold(
            {
                target
                for target, owner in self.owners.items()
                if wanted.get(target) != owner
            }
        )
        result = dict(wanted)
        for target, free_at in self._free_at.items():
            owner = self.owners[target]
            if now < free_at and self._holds(owner):
                result[target] = owner
        # A usable owner that handed its grant back has restarted since; only
        # a new epoch lets it be granted its targets again.
        restarted = {o for o in result.values() if not self._holds(o)}
        if result != self.owners or not restarted.isdisjoint(usable):
            return result
        return None

    def _withhold(self, moving: set[str]) -> None:
        if moving == self._free_at.keys():
            return
        for target in self._free_at.keys() - moving:
            del self._free_at[target]
        for target in moving - self._free_at.keys():
            sent_at = self._sent_at.get(self.owners[target], self._taken_at)
            self._free_at[target] = sent_at + GRANT_VALID_S + MARGIN_S
        self._change_contents()

    def _holds(self, instance: str) -> bool:
        """Tells whether the instance has not handed back its grant."""
        return self._handed_back.get(instance, -1) < self.epoch

    def _change_contents(self) -> None:
        self.version += 1
        self._owned = None

    def substitute(self, usable: Collection[str]) -> None:
        """Lets live instances serve the targets of dead ones, frozen.

        Used while the key-value service is down: nothing is written, the
        epoch stays, and grants must not allow orders.

        Args:
          usable: Instances that may serve.
        """
        before = self._substitutes
        self._substitutes = {
            target: _highest(target, usable)
            for target, owner in self.owners.items()
            if owner not in usable and usable
        }
        if self._substitutes != before:
            self._change_contents()

    def grant(
        self,
        instance: str,
        beat: messages.Heartbeat,
        now: float,
        orders_allowed: bool,
        calls_per_s: float,
    ) -> messages.Grant | messages.Renewal | None:
        """Answers an entry instance's heartbeat.

        Args:
          instance: Sender of the heartbeat.
          beat: The heartbeat.
          now: Loop time in seconds.
          orders_allowed: Whether the leader may order now.
          calls_per_s: The instance's share of the key-value call budget.

        Returns:
          A full grant when the instance does not hold the current contents, a
          renewal once a second otherwise, or None.
        """
        held = (beat.epoch, beat.grant_version)
        if not self._holds(instance) or beat.epoch > self.epoch:
            return None
        if held > (self.epoch, self.version):
            # A previous leader granted later contents of the same epoch.
            self.version = beat.grant_version
            self._change_contents()
        current = held == (self.epoch, self.version)
        sent_at = self._sent_at.get(instance, float("-inf"))
        if current and now - sent_at < GRANT_INTERVAL_S - GRANT_TOLERANCE_S:
            return None
        self._sent_at[instance] = now
        if current:
            return messages.Renewal(
                self.epoch,
                self.version,
                GRANT_VALID_S,
                orders_allowed,
                calls_per_s,
                beat.seq,
            )
        return messages.Grant(
            self.epoch,
            GRANT_VALID_S,
            self._owned_by(instance),
            self.owners | self._substitutes,
            orders_allowed,
            calls_per_s,
            beat.seq,
            self.version,
        )

    def _owned_by(self, instance: str) -> list[str]:
        if self._owned is None:
            self._owned = {}
            for target, owner in (self.owners | self._substitutes).items():
                if target not in self._free_at or target in self._substitutes:
                    self._owned.setdefault(owner, []).append(target)
        return self._owned.get(instance, [])


class OwnershipStore:
    """The ownership map in the key-value service."""

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
        """Reads the map; an absent one has epoch 0."""
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
        """Writes a map by compare-and-swap on the one read last.

        A lost response is read back: the own token means success.

        Args:
          epoch: Epoch of the map.
          owners: Owner by target.
          leader: Compare of the leader key, which fences a deposed leader.

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
