"""What workers said about themselves in a soak, and who did not heed it."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from itertools import pairwise

from standins.clock import MS_PER_SECOND
from standins.journal.entry import JournalEntry

LIMIT_PER_SECOND = 5
_WINDOW_MS = 4_000
_CONTACT_MS = 3_000  # after a limit was first named
_EXCESS = 1.5  # ratio to the limit that is allowed in a window
_ALLOWANCE = 5  # requests that are allowed in a window besides
_LEAVING_MS = 2_000  # after an answer said that the worker leaves


class SignalKind(StrEnum):
    """What a worker says in its answers."""

    limit = 'limit'
    leaving = 'leaving'


@dataclass(slots=True)
class SignalSpan:
    """A time in which a worker said something; in ms of CLOCK_BOOTTIME."""

    worker: str
    kind: SignalKind
    since_ms: float
    until_ms: float


def find_excess(
    spans: Iterable[SignalSpan], entries: Iterable[JournalEntry]
) -> Iterator[str]:
    """Yield the limits that a worker named and that were exceeded."""
    starts: dict[str, list[float]] = defaultdict(list)
    for entry in entries:
        starts[entry.worker].append(entry.started_ms)
    for span in spans:
        if span.kind is SignalKind.limit:
            most = _most_in_window(span, sorted(starts[span.worker]))
            allowed = (
                _EXCESS * LIMIT_PER_SECOND * _WINDOW_MS / MS_PER_SECOND
                + _ALLOWANCE
            )
            if most > allowed:
                yield f'{most} requests in 4 s, allowed {allowed}: {span}'


def _most_in_window(span: SignalSpan, starts: Sequence[float]) -> int:
    """Return the most requests in a window within a span."""
    begins = [
        start
        for start in starts
        if span.since_ms + _CONTACT_MS <= start
        and start + _WINDOW_MS <= span.until_ms
    ]
    counts = [
        bisect_right(starts, begin + _WINDOW_MS) - bisect_left(starts, begin)
        for begin in begins
    ]
    return max(counts, default=0)


def find_late_requests(
    spans: Iterable[SignalSpan],
    entries: Sequence[JournalEntry],
    sent_ms: Mapping[str, float],
    node_starts: Mapping[str, Sequence[float]],
) -> Iterator[str]:
    """Yield requests that a leaving worker got too late.

    `sent_ms` is when the caller sent each request, `node_starts` when the
    processes of a worker's node were started: each is told for itself.
    """
    for span in spans:
        if span.kind is SignalKind.leaving:
            for part in _split(span, node_starts[span.worker]):
                yield from _find_late(part, entries, sent_ms)


def _split(span: SignalSpan, starts: Sequence[float]) -> Iterator[SignalSpan]:
    """Yield the parts of a span between starts of the worker's node."""
    inner = [at for at in starts if span.since_ms < at < span.until_ms]
    for since_ms, until_ms in pairwise(
        (span.since_ms, *sorted(inner), span.until_ms)
    ):
        yield replace(span, since_ms=since_ms, until_ms=until_ms)


def _find_late(
    span: SignalSpan,
    entries: Sequence[JournalEntry],
    sent_ms: Mapping[str, float],
) -> Iterator[str]:
    runs = [
        entry
        for entry in entries
        if entry.worker == span.worker
        and span.since_ms <= entry.started_ms <= span.until_ms
    ]
    ends = [run.finished_ms for run in runs if run.finished_ms]
    told_ms = min(ends, default=span.until_ms) + _LEAVING_MS
    for run in runs:
        if sent_ms.get(run.request, 0) > told_ms:
            yield f'{run.request} at {run.started_ms}: {span}'
