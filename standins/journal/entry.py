"""An entry in the journal of a worker."""

from enum import StrEnum

from pydantic.dataclasses import dataclass


class Outcome(StrEnum):
    """The outcome of a request to run work."""

    ran = 'ran'
    refused = 'refused'
    cancelled = 'cancelled'
    cut = 'cut'


@dataclass(slots=True)
class JournalEntry:
    """A request to run work; its outcome is None while it runs.

    Times are in milliseconds of CLOCK_BOOTTIME.  `boot` is a random id of
    the worker process, so (`boot`, `index`) is globally unique.
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
