"""The records that nodes share.

They are kept in the platform's store or sent between nodes.  They are plain
values without behaviour, which is implemented by the packages that use them.
"""

from collections.abc import Set
from dataclasses import dataclass, field
from typing import Any

from pydantic import GetCoreSchemaHandler
from pydantic_core import CoreSchema, core_schema

_SEPARATOR = '#'


@dataclass(frozen=True, slots=True, order=True)
class NodeName:
    """An incarnation of a node: the id of the node and a number.

    Text form: `id#number`.  The incarnation numbers of an id only increase.
    """

    node_id: str
    incarnation: int

    def __str__(self) -> str:
        """Return the text form."""
        return f'{self.node_id}{_SEPARATOR}{self.incarnation}'

    @classmethod
    def parse(cls, text: object) -> 'NodeName':
        """Return the name with a text form.

        Raises `ValueError` for any other text.
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
        """Return a schema that uses the text form."""
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
        """Return the name with a text form; raises `ValueError`."""
        service, _, number = text.rpartition('/')
        return cls(service, int(number))


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """A range of numeric keys, from the first to the last inclusive."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class ReleasedRange:
    """Keys that a worker released, and its handover for the next holder."""

    keys: KeyRange
    handover: str


@dataclass(frozen=True, slots=True)
class NumberRange:
    """A range of numbers, from the first to the last inclusive."""

    first: int
    last: int

    def __contains__(self, number: int) -> bool:
        """Return whether a number is in the range."""
        return self.first <= number <= self.last


@dataclass(frozen=True, slots=True)
class WitnessSet:
    """The witnesses of a node; versions of a node's sets only increase."""

    version: int
    members: tuple[NodeName, ...]

    @property
    def majority(self) -> int:
        """Return the least number of members that is a majority."""
        return len(self.members) // 2 + 1

    def without(self, removed: Set[NodeName]) -> 'WitnessSet':
        """Return a copy with the same version without some members."""
        remaining = tuple(name for name in self.members if name not in removed)
        return WitnessSet(self.version, remaining)


@dataclass(frozen=True, slots=True)
class Seal:
    """A witness's promise never to renew a holder's lease again.

    It is valid for each of `sets`.  `floors` maps the text form of a shard to
    the least epoch that may have been written for it.
    """

    holder: NodeName
    witness: NodeName
    sets: tuple[WitnessSet, ...]
    floors: dict[str, int]


@dataclass(frozen=True, slots=True)
class WriteMark:
    """Identifies a write, to recognize it if its answer is lost."""

    writer: str
    write_id: str


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """The owner of a shard and its successors if the owner's lease expires.

    `succession` lists the owner first.  `handovers` are the handovers of the
    last owner's worker for the next one, by stripe; empty if there are none.
    `split_off` are ranges of keys that became shards of their own; such a
    shard consists of the range `keys`.  `shards` is the number of shards of
    the service when its first shard was claimed, 0 if it is as declared.
    `stripe_width`, the number of consecutive keys that stay in one shard, is
    recorded in the same way.  `era` is the era of the store for which the
    record was written, and `epoch_era` that in which its epoch began: a record
    is written again when the store has forgotten it.  0: the store names none.
    """

    epoch: int
    succession: tuple[NodeName, ...]
    handovers: tuple[str, ...] = ()
    keys: KeyRange | None = None
    split_off: tuple[KeyRange, ...] = ()
    mark: WriteMark | None = None
    shards: int = 0
    stripe_width: int = 0
    era: int = 0
    epoch_era: int = 0


@dataclass(frozen=True, slots=True)
class ShardHistory:
    """What a process can tell about the entries of a shard up to an epoch.

    It has every entry that the incarnations in `names` have admitted, which
    admit no more.  It has all entries of the last `known_ms`; below 0: any may
    be missing.  `is_current`: it will be told of each entry until a newer
    record is written.
    """

    names: tuple[NodeName, ...]
    known_ms: int
    is_current: bool


@dataclass(frozen=True, slots=True)
class WorkerDeparture:
    """An instance of a worker that has said that it is about to end.

    `started_ms` is its start time in milliseconds since the Unix epoch, None
    if it was not known, and `said_ms` the time at which it said so, on the
    clock of its VM.
    """

    worker_id: str
    started_ms: int | None
    said_ms: int


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a node announces about itself.

    `open_incarnations` are those not known to have ended; all others up to
    `incarnation` have ended.  `witness_sets` holds every set that the lease
    of `incarnation` may depend on: a set is written here before it is used.
    `witness_as` is the first incarnation of the node's process: its promises
    as a witness are made under this name and kept while the process runs.
    A node with `serves` false has no worker and gets no shards or requests,
    but does everything else.  `era` is the era of the store for which the
    record was written, and `incarnation_era` that in which the incarnation
    joined; 0: the store names none.  `confirmed_era` is the last era in
    which the node itself has written back what the store had forgotten.
    Incarnations in `forgotten` may have been recorded and forgotten by the
    store, so that they are not known to have ended.  A node with
    `shares_memory` tells other nodes what it remembers of the store.
    `worker_departures` are those of its worker's last instances that have left:
    a process that starts may hear them again by reports that were held up.
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
    era: int = 0
    confirmed_era: int = 0
    incarnation_era: int = 0
    forgotten: NumberRange | None = None
    shares_memory: bool = False
    worker_departures: tuple[WorkerDeparture, ...] = ()

    @property
    def first_open_incarnation(self) -> int:
        """Return a number below which every incarnation has ended."""
        first = min(self.open_incarnations, default=self.incarnation + 1)
        return min(first, self.forgotten.first) if self.forgotten else first

    def has_ended(self, incarnation: int) -> bool:
        """Return whether an incarnation is known to have ended."""
        if incarnation > self.incarnation:
            return False
        if self.forgotten and incarnation in self.forgotten:
            return False
        return incarnation not in self.open_incarnations


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the platform's store; a deleted one has no value.

    `version` is when the value was written.  `condition` is the version under
    which the store has the object, to be named by a conditional write; it is
    another one if the store has come back from an older copy since, and None
    if the object was not read from the store.
    """

    name: str
    value: dict[str, Any] | None
    version: int
    condition: int | None = None

    @property
    def write_condition(self) -> int:
        """Return the version that a conditional write has to name."""
        return self.version if self.condition is None else self.condition


@dataclass(frozen=True, slots=True)
class SentObject:
    """An object of the store as nodes send it to each other.

    `version` is the revision of the store that wrote it, in `era`; 0: the
    sender names no era.
    """

    name: str
    value: dict[str, Any] | None
    version: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class EvacuationNotice:
    """The evacuated failure domains, as nodes tell each other.

    The store listed them at `version`, and still did `age_ms` ago.
    """

    version: int
    age_ms: int
    domains: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """Summarizes what a node knows, for comparison with other nodes.

    `revision` is a revision of the store in `era`; 0: it names no era.
    `evacuations` is None if nothing is known of any.
    """

    generation: int = 0
    revision: int = 0
    seals: int = 0
    era: int = 0
    evacuations: EvacuationNotice | None = None


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """An accepted configuration: the team files by name.

    `replaced` holds the former content of the files that this change replaced
    (None: a file did not exist), and `from_version` the version of the object
    that it replaced, so that any node can complete the audit trail.
    `added_files` declare what nodes of an earlier version would refuse; such
    nodes ignore them.  Sections of `optional_files` that a node does not know
    are ignored by it, as is the whole field by nodes of earlier versions.
    """

    generation: int
    files: dict[str, dict[str, Any]] = field(default_factory=dict)
    who: str = ''
    when_ms: int = 0
    mark: WriteMark | None = None
    replaced: dict[str, dict[str, Any] | None] = field(default_factory=dict)
    from_version: int | None = None
    reason: str = ''
    added_files: dict[str, dict[str, Any]] = field(default_factory=dict)
    optional_files: dict[str, dict[str, Any]] = field(default_factory=dict)

    @property
    def all_files(self) -> dict[str, dict[str, Any]]:
        """Return all files of the configuration by name."""
        return {**self.files, **self.added_files}


@dataclass(frozen=True, slots=True)
class FileChange:
    """A file before and after a change (None: it does not exist)."""

    before: dict[str, Any] | None
    after: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """An accepted change of the configuration; never modified."""

    generation: int
    who: str
    when_ms: int
    from_version: int | None
    changes: dict[str, FileChange]
    reason: str = ''


@dataclass(frozen=True, slots=True)
class WorkerNotice:
    """What a worker says about itself, as nodes tell each other.

    `worker_id` and `started_ms` name the instance of the worker: a restarted
    one may have the id of the one before.  `limit_per_second` is the rate of
    requests that it accepts from all nodes together, None if it names no
    limit.  `usable_slots` is how many of its slots that rate keeps busy, None
    if not known.  `leaving_for_ms` is how long ago it said that it is leaving,
    `warming_ms` for how much longer it is cold, and `pace` how long work takes
    on its VM, where 1 is as usual; None if not known.
    """

    worker_id: str
    started_ms: int
    is_leaving: bool
    limit_per_second: float | None = None
    usable_slots: float | None = None
    leaving_for_ms: int | None = None
    warming_ms: int | None = None
    pace: float | None = None
