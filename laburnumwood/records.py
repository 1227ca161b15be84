"""The records that nodes share.

They are kept in the platform's store or told from node to node, and they are
plain values: what they mean is decided in the packages that use them.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from typing import Any

from pydantic import GetCoreSchemaHandler
from pydantic_core import CoreSchema, core_schema

_SEPARATOR = '#'


@dataclass(frozen=True, slots=True, order=True)
class NodeName:
    """One run of a node: its id and the number of its incarnation.

    Text form: `id#number`.  Incarnation numbers of an id only rise.
    """

    node_id: str
    incarnation: int

    def __str__(self) -> str:
        """Return the text form."""
        return f'{self.node_id}{_SEPARATOR}{self.incarnation}'

    @classmethod
    def parse(cls, text: object) -> 'NodeName':
        """Return the name that a text form stands for.

        Raises `ValueError` for anything else than the text form.
        """
        if isinstance(text, NodeName):
            return text
        node_id, separator, number = str(text).rpartition(_SEPARATOR)
        if not node_id or not separator or not number.isdecimal():
            raise ValueError(f'{text!r} is not of the form id#number')
        return cls(node_id, int(number))

    @classmethod
    def __get_pydantic_core_schema__(
        cls,
        source: Any,
        handler: GetCoreSchemaHandler,
    ) -> CoreSchema:
        """Validate from, and serialize to, the text form."""
        return core_schema.no_info_plain_validator_function(
            cls.parse,
            serialization=core_schema.to_string_ser_schema(when_used='always'),
        )


@dataclass(frozen=True, slots=True, order=True)
class ShardName:
    """A shard of a service, numbered from zero.  Text form: `service/n`."""

    service: str
    number: int

    def __str__(self) -> str:
        """Return the text form."""
        return f'{self.service}/{self.number}'

    @classmethod
    def parse(cls, text: str) -> 'ShardName':
        """Return the name that a text form stands for, or `ValueError`."""
        service, _, number = text.rpartition('/')
        return cls(service, int(number))


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Neighbouring keys that are numbers, from the first to the last."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ReleasedRange:
    """Keys that a worker let go, and what the next holder gets for them."""

    keys: KeyRange
    handover: str


@dataclass(frozen=True, slots=True)
class WitnessSet:
    """The witnesses of a node; versions of a node's sets only rise."""

    version: int
    members: tuple[NodeName, ...]

    @property
    def majority(self) -> int:
        """Return how many members are more than half."""
        return len(self.members) // 2 + 1

    def without(self, gone: Set[NodeName]) -> 'WitnessSet':
        """Return the same version without some of its members."""
        left = tuple(name for name in self.members if name not in gone)
        return WitnessSet(self.version, left)


@dataclass(frozen=True, slots=True)
class Seal:
    """A witness's promise never to renew a holder's lease again.

    It counts under each of `sets`; `floors` maps the text form of a shard to
    the least epoch that may have been written for it.
    """

    holder: NodeName
    witness: NodeName
    sets: tuple[WitnessSet, ...]
    floors: dict[str, int]


@dataclass(frozen=True, slots=True)
class WriteMark:
    """Who made a write and which one, so that a lost answer can be settled."""

    writer: str
    write_id: str


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Who owns a shard and who follows when the owner's lease has lapsed.

    `handovers` are what the last owner's worker left for the next one, by
    stripe; empty if it left nothing.  `split_off` are ranges of keys that
    became shards of their own; such a shard has just the range `keys`.
    `shards` is the number of shards that its service was divided into when
    it got the first one, 0 where that is just as declared; so is
    `stripe_width`, the number of neighbouring keys that stay together.
    """

    epoch: int
    succession: tuple[NodeName, ...]
    handovers: tuple[str, ...] = ()
    keys: KeyRange | None = None
    split_off: tuple[KeyRange, ...] = ()
    mark: WriteMark | None = None
    shards: int = 0
    stripe_width: int = 0


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a node announces of itself.

    `open_incarnations` are those not known to have ended; every other number
    up to `incarnation` has.  `witness_sets` holds, for the incarnation that
    the record is of, every set that its lease may rest on: a set is written
    here before it is used.  `witness_as` is the first incarnation of the
    node's process: what it promised as a witness under that name it keeps
    for as long as the process runs.  A node that does not serve has no worker
    to give shards or requests to, but takes part in all else.
    """

    incarnation: int
    open_incarnations: tuple[int, ...]
    host: str
    peer_port: int
    door_port: int
    operator_port: int
    failure_domain: str
    service: str
    capacity_owner: str
    slots: int
    connections: int
    witness_sets: tuple[WitnessSet, ...] = ()
    witness_as: int = 0
    leaving: bool = False
    mark: WriteMark | None = None
    serves: bool = True

    @property
    def least_open(self) -> int:
        """Return the number below which every incarnation has ended."""
        return min(self.open_incarnations, default=self.incarnation + 1)

    def has_ended(self, incarnation: int) -> bool:
        """Tell whether an incarnation is known to have ended."""
        known = incarnation <= self.incarnation
        return known and incarnation not in self.open_incarnations


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's store; a deleted one has no value."""

    name: str
    value: dict[str, Any] | None
    version: int


@dataclass(frozen=True, slots=True)
class Digest:
    """How much a node knows, for others to compare with what they know."""

    generation: int = 0
    revision: int = 0
    seals: int = 0


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """An accepted configuration: the team files by their names.

    `replaced` holds the files that this change replaced as they were before
    (None: there was none), and `from_version` the version of the object that
    it replaced, so that anyone can complete the audit trail.
    """

    generation: int
    files: dict[str, dict[str, Any]] = field(default_factory=dict)
    who: str = ''
    when_ms: int = 0
    mark: WriteMark | None = None
    replaced: dict[str, dict[str, Any] | None] = field(default_factory=dict)
    from_version: int | None = None
    reason: str = ''


@dataclass(frozen=True, slots=True)
class FileChange:
    """A file before and after a change (None: there was or is none)."""

    before: dict[str, Any] | None
    after: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """What one accepted change did; written once and never again."""

    generation: int
    who: str
    when_ms: int
    from_version: int | None
    changes: dict[str, FileChange]
    reason: str = ''
