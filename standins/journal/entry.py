"""One entry of the journal of a worker."""

from enum import StrEnum

from pydantic.dataclasses import dataclass


class Outcome(StrEnum):
    """How a request to run work ended."""

    ran = 'ran'
    refused = 'refused'
    cancelled = 'cancelled'
    cut = 'cut'


@dataclass(slots=True)
class JournalEntry:
    """One request to run work; it has no outcome while it runs.

    Times are milliseconds of CLOCK_BOOTTIME.  `boot` is the random id of
    the process, so (`boot`, `index`) names an entry everywhere.
    """

    boot: str
    index: int
    worker: str
    request: str
    key: str
    service: str
    shard: int | None
    token: int | None
    method: str
    started_ms: float
    finished_ms: float | None = None
    outcome: Outcome | None = None
