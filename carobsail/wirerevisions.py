"""Revisions of the store in messages between instances.

Inside the program a revision is combined with its era (`storeera`). Messages
carry the two apart, so that instances of the version before, which know no
eras, read the revisions that they expect and ignore the rest. A message of such
an instance has no era and is taken as of the receiver's own era.
"""

import msgspec

from carobsail import storeera, summaries


def encode(message: summaries.Message) -> bytes:
    """Encodes a message with combined revisions as the bytes of a datagram.

    A message has one era for all its changes; changes of another era than its
    `after` are left out. A copy may have a value of the next era shortly before
    it reads that era as a whole, and its receivers then do the same.
    """
    return summaries.encode(_separate(message))


def decode(data: bytes, own_era: int) -> summaries.Message | None:
    """Decodes a datagram to a message with combined revisions.

    Args:
      data: The datagram.
      own_era: Era of the receiver's copy of the store.

    Returns:
      The message; None if it is malformed.
    """
    message = summaries.decode(data)
    return None if message is None else _combine(message, own_era)


def _separate(message: summaries.Message) -> summaries.Message:
    """Returns a message with plain revisions and their eras."""
    if isinstance(message, summaries.StoreChanges):
        era = storeera.era_of(message.after)
        return msgspec.structs.replace(
            message,
            before=storeera.revision_of(message.before),
            after=storeera.revision_of(message.after),
            changes=[
                _with_revision(change, storeera.revision_of(change.revision))
                for change in message.changes
                if storeera.era_of(change.revision) == era
            ],
            era=era,
            before_era=storeera.era_of(message.before),
        )
    if isinstance(message, summaries.FleetUpdate):
        return msgspec.structs.replace(
            message,
            store_revision=storeera.revision_of(message.store_revision),
            era=storeera.era_of(message.store_revision),
        )
    if isinstance(message, summaries.RenewalAnswer):
        copy_era = storeera.era_of(message.store_revision)
        era = copy_era if message.era is None else message.era
        # The lease may be renewed in a later era than that of the sender's
        # copy, whose revision then tells the receiver nothing.
        revision = message.store_revision if era == copy_era else 0
        return msgspec.structs.replace(
            message, store_revision=storeera.revision_of(revision), era=era
        )
    return message


def _combine(message: summaries.Message, own_era: int) -> summaries.Message:
    """Returns a received message with combined revisions."""
    if isinstance(message, summaries.StoreChanges):
        era = own_era if message.era is None else message.era
        before_era = era if message.before_era is None else message.before_era
        return msgspec.structs.replace(
            message,
            before=storeera.combine(before_era, message.before),
            after=storeera.combine(era, message.after),
            changes=[
                _with_revision(change, storeera.combine(era, change.revision))
                for change in message.changes
            ],
            era=None,
            before_era=None,
        )
    if isinstance(message, summaries.FleetUpdate):
        era = own_era if message.era is None else message.era
        return msgspec.structs.replace(
            message,
            store_revision=storeera.combine(era, message.store_revision),
            era=None,
        )
    if isinstance(message, summaries.RenewalAnswer):
        era = own_era if message.era is None else message.era
        return msgspec.structs.replace(
            message,
            store_revision=storeera.combine(era, message.store_revision),
        )
    return message


def _with_revision(
    change: summaries.KeyChange, revision: int
) -> summaries.KeyChange:
    # In era 0, the usual one, both forms are the same.
    if change.revision == revision:
        return change
    return msgspec.structs.replace(change, revision=revision)
