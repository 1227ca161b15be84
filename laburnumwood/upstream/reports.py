"""The reports of a worker to its node, and the replies to them."""

from dataclasses import dataclass

from laburnumwood.records import KeyRange, ReleasedRange


@dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that a worker holds or still processes, with their token."""

    keys: KeyRange
    token: int


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """One report of a worker.

    `started_ms` is the start time of its process in milliseconds since the
    Unix epoch and distinguishes instances of the worker.  `sequence_number`
    increases with each report of an instance.  `follows_answer` is whether the
    worker sent it after an answer of this process, as shown by the connection
    that both came on.  Any other report may have been held up since a time
    before this process started.  `warming_ms` is for how much longer the worker
    is cold.
    """

    worker_id: str
    service: str
    started_ms: int
    sequence_number: int
    slots: int
    is_leaving: bool
    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()
    follows_answer: bool = False
    warming_ms: int = 0


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that a worker may hold under a token.

    `handover` is the text that the worker of the last owner left for them.
    """

    keys: KeyRange
    token: int
    handover: str = ''


@dataclass(frozen=True, slots=True)
class GrantReply:
    """The reply to a report: all keys that the worker may hold.

    The grants last for `duration_ms` from the time at which the worker sent
    its report.  If `ranges` is None, earlier grants stay valid until they
    expire and are not renewed.
    """

    ranges: tuple[GrantedRange, ...] | None = None
    duration_ms: int = 0
