"""What a worker that reports to its node says, and what it is answered."""

from dataclasses import dataclass

from laburnumwood.records import KeyRange, ReleasedRange


@dataclass(frozen=True, slots=True)
class HeldRange:
    """Keys that a worker holds or still works on, with their token."""

    keys: KeyRange
    token: int


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """One report of a worker.

    `started_ms` is when its process began, in milliseconds since the Unix
    epoch, and tells one life of the worker from the next.  `number` rises
    with each report of a life.
    """

    worker_id: str
    service: str
    started_ms: int
    sequence_number: int
    slots: int
    is_leaving: bool
    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()


@dataclass(frozen=True, slots=True)
class GrantedRange:
    """Keys that a worker is to hold under a token."""

    keys: KeyRange
    token: int
    handover: str = ''


@dataclass(frozen=True, slots=True)
class GrantReply:
    """What a worker is answered: all that it is to hold, and for how long.

    `lasts_ms` counts from when the worker sent its report.  With no `ranges`
    at all (None) nothing is renewed and nothing is taken away.
    """

    ranges: tuple[GrantedRange, ...] | None = None
    duration_ms: int = 0
