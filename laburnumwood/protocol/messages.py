"""The messages between nodes, but for those about the store."""

from dataclasses import dataclass, field
from typing import Annotated

from annotated_types import Interval

from laburnumwood.protocol.kinds import message
from laburnumwood.records import (
    Digest,
    NodeName,
    ReleasedRange,
    Seal,
    ShardHistory,
    WitnessSet,
    WorkerNotice,
)
from laburnumwood.resources.bodies import Body

FIRST_STATUS = 200
LAST_STATUS = 599
Status = Annotated[int, Interval(ge=FIRST_STATUS, le=LAST_STATUS)]
Headers = tuple[tuple[str, str], ...]


@message('renew')
@dataclass(frozen=True, slots=True)
class Renew:
    """Requests a witness to renew the lease of a holder.

    `versions` are the versions of the witness sets to renew under; `sets`
    holds those that the witness may not know.  Sets with versions up to
    `supersede` are no longer used.
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
    """A witness renewed a lease; it runs from the time of the request."""

    digest: Digest


@message('refused')
@dataclass(frozen=True, slots=True)
class Refused:
    """A witness did not renew a lease; `seal` if it has sealed the holder."""

    reason: str
    seal: Seal | None = None


@message('resign')
@dataclass(frozen=True, slots=True)
class Resign:
    """Requests a witness to seal a holder that has stopped for good."""

    holder: NodeName


@message('seals')
@dataclass(frozen=True, slots=True)
class SealNotice:
    """Sends seals that the receiver may not know."""

    seals: tuple[Seal, ...]


@message('left')
@dataclass(frozen=True, slots=True)
class HandoverNotice:
    """Sends the ranges that the worker released to their next owners."""

    released: tuple[ReleasedRange, ...]


@message('done')
@dataclass(frozen=True, slots=True)
class Done:
    """Confirms that a request was carried out."""


@message('work', is_frequent=True, added=('worker',))
@dataclass(frozen=True, slots=True)
class Work:
    """A caller's request, forwarded to the owner of its shard.

    `shard` is negative for a service that is not sharded by key.
    `deadline_ms` is the time until the caller's deadline when it is sent.
    A short body is included; a longer one follows in chunks.
    `origin` is the service of the node that accepted the request, and
    `priority` the rank of its route: 0 is the highest, negative means none.
    `objective_ms` is the time within which an answer is useful; 0: any time.
    `worker` is what the sender last heard of the worker beside the receiver.
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
    body: Body = b''
    worker: WorkerNotice | None = None

    @property
    def is_whole(self) -> bool:
        """Return whether the request includes the whole body."""
        return self.body_length == len(self.body)

    @property
    def is_call(self) -> bool:
        """Return whether a run of another worker waits for it.

        Such a request has a rank, but is useful until its deadline.
        """
        return self.priority >= 0 and not self.objective_ms


@message('answer', is_frequent=True, added=('worker',))
@dataclass(frozen=True, slots=True)
class Answer:
    """The head of the worker's answer.

    `worker` is what the worker says about itself, None if nothing special.
    """

    status: Status
    headers: Headers
    worker: WorkerNotice | None = field(default=None, kw_only=True)


@message('whole-answer', is_frequent=True, added=('worker',))
@dataclass(frozen=True, slots=True)
class WholeAnswer(Answer):
    """The head of the worker's answer and its whole body."""

    body: bytes


@message('chunk', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Chunk:
    """A part of the body of a request or an answer."""

    content: bytes


@message('end', is_frequent=True)
@dataclass(frozen=True, slots=True)
class End:
    """The end of a body, with the total length of its chunks."""

    length: int


@message('credit', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Credit:
    """Allows the peer to send more bytes of a body."""

    size: int


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """The state of a request with an idempotency key.

    Of two entries with one key, that with the higher attempt is newer; within
    an attempt, the states follow each other in the order of `RunState`.
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
    """Replicates entries of a shard's run ledger as its owner has them.

    The owner owns the shard under `epoch`.  `whole` marks the last message of
    a full copy; `handover` means that the sender runs no more requests for
    the shard under that epoch.  Without entries, a `handover` that is not
    `whole` asks for a `LedgerHistory` up to that epoch: nodes that do not know
    it merge nothing and confirm.
    """

    shard: str
    epoch: int
    entries: tuple[LedgerEntry, ...]
    whole: bool
    handover: bool


@message('history')
@dataclass(frozen=True, slots=True)
class LedgerHistory:
    """The entries of a shard that a node has, sent only to nodes that ask.

    `whole` marks the last message, the only one with `histories`.
    """

    entries: tuple[LedgerEntry, ...]
    whole: bool
    histories: tuple[ShardHistory, ...]


@message('failure', is_frequent=True)
@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request has no answer, and whether it ran.

    `kind` is the type of problem.  `ran` is false only if it is certain that
    no part of the request was sent to a worker.
    """

    kind: str
    ran: bool
    detail: str
    retry_after_ms: int = 0


@message('cancel')
@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a request: nobody waits for its answer any more."""


@message('load-ask')
@dataclass(frozen=True, slots=True)
class LoadRequest:
    """Requests the load of a node."""


@message('load', added=('worker',))
@dataclass(frozen=True, slots=True)
class LoadReport:
    """The requests in flight on a node, and the busy slots of each shard.

    `worker` is what is known of its worker, None if it was not heard yet.
    """

    running: int
    shards: dict[int, float]
    worker: WorkerNotice | None = None


@message('suspicion')
@dataclass(frozen=True, slots=True)
class Suspicion:
    """How many workers died while they ran a request; 0 clears it.

    One without a fingerprint asks for `Suspicions`; older nodes ignore it.
    """

    fingerprint: str
    deaths: int


@dataclass(frozen=True, slots=True)
class KnownSuspect:
    """A suspected request, and for how many ms more it is suspected."""

    fingerprint: str
    deaths: int
    left_ms: int


@message('suspicions')
@dataclass(frozen=True, slots=True)
class Suspicions:
    """The requests that a node suspects, oldest first."""

    suspects: tuple[KnownSuspect, ...]
