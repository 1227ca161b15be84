"""The messages in which nodes tell each other what they know of the store."""

from dataclasses import dataclass

from laburnumwood.protocol.kinds import message
from laburnumwood.records import (
    NodeName,
    Seal,
    SentObject,
    ShardRecord,
    WitnessSet,
)


@message('pull', added=('era',))
@dataclass(frozen=True, slots=True)
class Pull:
    """Requests all changes of the store after a revision, and all seals.

    The configuration is included if it is newer than `generation`.  `known`
    are later revisions whose changes the requester has already received.
    `era` is the store's era of all these revisions, None if it names none.
    """

    revision: int
    generation: int
    known: tuple[int, ...] = ()
    era: int | None = None


@message('changes', added=('era',))
@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the store up to a revision; `whole` if it is everything.

    `era` is the era of the revision, None if the store names none.
    """

    objects: tuple[SentObject, ...]
    revision: int
    whole: bool
    seals: tuple[Seal, ...]
    era: int | None = None


@message('shard', added=('era',))
@dataclass(frozen=True, slots=True)
class ShardNotice:
    """Sends the record of a shard that the sender wrote.

    `version` is the revision of the store that wrote it, in `era`; None: the
    store names no era.
    """

    shard: str
    record: ShardRecord
    version: int
    era: int | None = None


@dataclass(frozen=True, slots=True)
class RenewedHolder:
    """A holder whose lease a witness renews.

    `last_set` is the version of the holder's last witness set that it knows.
    """

    holder: NodeName
    last_set: int


@message('config-check', is_added=True)
@dataclass(frozen=True, slots=True)
class ConfigCheck:
    """Requests a proof that a generation of the configuration is the latest.

    A peer that `renews` has its own proof renewed first if it is old.
    """

    generation: int
    renews: bool


@message('config-state', is_added=True)
@dataclass(frozen=True, slots=True)
class ConfigState:
    """The configuration in force, and the age of the proof that none is later.

    `age_ms` is -1 if there is no proof, and `config` is sent only if it is
    later than what the requester knows.
    """

    generation: int
    age_ms: int
    config: SentObject | None


@message('memory-request')
@dataclass(frozen=True, slots=True)
class MemoryRequest:
    """Requests what a node remembers of the store, which began `era`."""

    era: int


@message('memory')
@dataclass(frozen=True, slots=True)
class Memory:
    """What a node remembers of the store, and what depends on the node.

    `objects` are the records of nodes and shards that it knows; `sets` are
    the witness sets of its own lease.
    """

    objects: tuple[SentObject, ...]
    sets: tuple[WitnessSet, ...]
    renewed: tuple[RenewedHolder, ...]
