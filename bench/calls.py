"""The log of a caller: what it asked and what it was told."""

from dataclasses import dataclass
from enum import StrEnum


class Told(StrEnum):
    """What a caller knows about a request afterwards."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'
    nothing = 'nothing'


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a request; times in ms of CLOCK_BOOTTIME.

    `operation` is the same for all attempts of one request; it is the
    Idempotency-Key where `is_keyed`.  `size` is the length of the download
    that was asked for.
    """

    request: str
    operation: str
    is_keyed: bool
    key: str
    service: str
    method: str
    door: str
    sent_ms: float
    done_ms: float
    told: Told
    status: int
    body: bytes
    size: int | None = None
    checksum: str = ''
