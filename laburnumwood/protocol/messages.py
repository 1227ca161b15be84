"""The messages between nodes.

Each message is a plain value with a kind, under which the codec finds it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from laburnumwood.records import (
    Digest,
    NodeName,
    ReleasedRange,
    Seal,
    ShardRecord,
    StoredObject,
    WitnessSet,
)

_Form = TypeVar('_Form', bound=type[Any])

Headers = tuple[tuple[str, str], ...]

KINDS: dict[str, type[Any]] = {}
FREQUENT: set[str] = set()  # kinds whose values are plain, for each request


def message(
    kind: str, *, is_frequent: bool = False
) -> Callable[[_Form], _Form]:
    """Register a class as the message of a kind."""

    def register(form: _Form) -> _Form:
        if kind in KINDS:
            raise ValueError(f'message kind {kind!r} stands twice')
        KINDS[kind] = form
        if is_frequent:
            FREQUENT.add(kind)
        return form

    return register


@message('renew')
@dataclass(frozen=True, slots=True)
class Renew:
    """A holder asks a witness to renew its lease.

    `versions` are the witness sets to renew under; `sets` spells those out
    that the witness may not know.  Sets up to `supersede` are given up.
    """

    holder: NodeName
    witness: NodeName
    versions: tuple[int, ...]
    sets: tuple[WitnessSet, ...]
    supersede: int
    floors: dict[str, int]
    digest: Digest


@message('granted')
@dataclass(frozen=True, slots=True)
class Granted:
    """A witness renewed a lease, counted from when it was asked."""

    digest: Digest


@message('refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """A witness does not renew a lease; with its seal if it gave one."""

    reason: str
    seal: Seal | None = None


@message('resign')
@dataclass(frozen=True, slots=True)
class Resign:
    """A holder that has stopped for good asks a witness to seal it."""

    holder: NodeName


@message('seals')
@dataclass(frozen=True, slots=True)
class SealNotice:
    """Seals that the receiver may not know."""

    seals: tuple[Seal, ...]


@message('pull')
@dataclass(frozen=True, slots=True)
class Pull:
    """Asks for all changes of the store after a revision, and all seals.

    The configuration comes too if it is newer than `generation`.  `known` are
    versions after the revision that the asker was told of already.
    """

    revision: int
    generation: int
    known: tuple[int, ...] = ()


@message('changes')
@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the store up to a revision; `whole` if it is all of it."""

    objects: tuple[StoredObject, ...]
    revision: int
    whole: bool
    seals: tuple[Seal, ...]


@message('shard')
@dataclass(frozen=True, slots=True)
class ShardNotice:
    """The record of a shard as its writer wrote it, with its version."""

    shard: str
    record: ShardRecord
    version: int


@message('left')
@dataclass(frozen=True, slots=True)
class Left:
    """What the sender's worker let go, for those who get the keys next."""

    released: tuple[ReleasedRange, ...]


@message('done')
@dataclass(frozen=True, slots=True)
class Done:
    """An order was carried out."""


@message('work', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Work:
    """A caller's request on its way to the owner of its shard.

    `shard` is negative for a service that is not divided by key.
    `deadline_ms` is what is left of the caller's patience when it is sent.
    A short body comes with it; a longer one follows in chunks.
    `origin` is the service beside the node that took the request in, and
    `priority` the rank of its route, 0 the highest; negative if it has none.
    `objective_ms` is within what time an answer is of full use; 0: any time.
    """

    request_id: str
    service: str
    shard: int
    key: str
    method: str
    target: str
    headers: Headers
    body_length: int
    deadline_ms: int
    idempotent: bool
    idempotency_key: str
    origin: str = ''
    priority: int = -1
    objective_ms: int = 0
    body: bytes = b''

    @property
    def is_whole(self) -> bool:
        """Tell whether the whole body came with the request."""
        return self.body_length == len(self.body)


@message('answer', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Answer:
    """The head of the worker's answer."""

    status: int
    headers: Headers


@message('whole-answer', is_frequent=True)
@dataclass(frozen=True, slots=True)
class WholeAnswer(Answer):
    """The head of the worker's answer together with its whole body."""

    body: bytes


@message('chunk', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a body, of a request or of an answer."""

    content: bytes


@message('end', is_frequent=True)
@dataclass(frozen=True, slots=True)
class End:
    """The end of a body, with the length of all its chunks."""

    length: int


@message('credit', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Credit:
    """Lets the other side send more bytes of a body."""

    size: int


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """What is known of a request with an idempotency key.

    Of two entries of a key the one with the higher attempt is newer, and
    within an attempt the states follow each other as in `RunState`.
    """

    key: str
    fingerprint: str
    attempt: int
    state: str
    age_ms: int
    head: Answer | None = None
    body: bytes = b''


@message('notes')
@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    """Entries of a shard's run ledger, as its owner under an epoch has them.

    `whole` closes a copy of all of them; `handover` says that the sender runs
    nothing more for the shard under that epoch.
    """

    shard: str
    epoch: int
    entries: tuple[LedgerEntry, ...]
    whole: bool
    handover: bool


@message('failure', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request has no answer, and whether it ran.

    `kind` names the type of problem, `ran` is false only where it is proved
    that nothing of the request left for a worker.
    """

    kind: str
    ran: bool
    detail: str
    retry_after_ms: int = 0


@message('cancel')
@dataclass(frozen=True, slots=True)
class Cancel:
    """The asking side no longer wants the answer."""


@message('load-ask')
@dataclass(frozen=True, slots=True)
class LoadAsk:
    """Asks a node how busy it is."""


@message('load')
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The requests in flight on a node, and the slots each shard keeps busy."""

    running: int
    shards: dict[int, float]


@message('suspicion')
@dataclass(frozen=True, slots=True)
class Suspicion:
    """How many workers died under a request; none if it is cleared."""

    fingerprint: str
    deaths: int
