"""The plan of a generator of load, and what it prints in the end."""

from dataclasses import dataclass

WARM_UP_S = 1


@dataclass(frozen=True, slots=True)
class Plan:
    """What to send; `hot_share` of the requests are of one key."""

    doors: list[str]
    path: str
    key_header: str
    rate: float
    span_s: float
    deadline_ms: int
    hot_share: float = 0
    seed: int = 1


@dataclass(slots=True)
class Tally:
    """What came back.  Good answers came whole within the deadline."""

    sent: int = 0
    good: int = 0
    steady: int = 0  # good, from the end of the warm-up to that of the load
    cold_sent: int = 0
    cold_good: int = 0
    not_run: int = 0
    unknown: int = 0
    without_retry_after: int = 0
    latest_start_ms: float = 0
    p50_ms: float = 0
    p99_ms: float = 0
