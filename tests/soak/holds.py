"""Which keys the workers of a soak held, as logged by the workers."""

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import chain, combinations, pairwise
from operator import itemgetter
from pathlib import Path
from typing import Any

from standins.clock import boottime_ms, monotonic_ms
from standins.reporter.holds import Row
from tests.fences import FenceHistory, Taking

_HELD_PREFIX = '{"held":'


@dataclass(frozen=True, slots=True)
class HeldRange:
    """A range of keys that a worker held, both ends included."""

    first: int
    last: int


@dataclass(slots=True)
class HoldSpan:
    """A period in which a worker held keys, in ms of CLOCK_BOOTTIME."""

    worker: str
    since_ms: float
    until_ms: float


@dataclass(slots=True)
class WorkerIncarnation:
    """One process of a worker; `killed_ms` is None if it was not killed."""

    worker: str
    log: Path
    killed_ms: float | None = None


SpansByRange = dict[HeldRange, list[HoldSpan]]


def log_held(rows: Sequence[Row], until_ms: float) -> None:
    """Log the rows that are held from now until `until_ms` (monotonic ms)."""
    now_ms = boottime_ms()
    until_ms += now_ms - monotonic_ms()
    line = {'held': list(rows), 'at_ms': now_ms, 'until_ms': until_ms}
    print(json.dumps(line), flush=True)


def find_concurrent_holders(
    incarnations: Sequence[WorkerIncarnation],
) -> Iterator[str]:
    """Yield a description of each key that two workers held at one time."""
    spans_by_range = _spans_by_range(incarnations)
    # Ranges that overlap have the higher of their first keys in common.
    for key in sorted({key_range.first for key_range in spans_by_range}):
        spans = [
            spans_by_range[key_range]
            for key_range in spans_by_range
            if key_range.first <= key <= key_range.last
        ]
        for span, other in combinations(chain.from_iterable(spans), 2):
            since_ms = max(span.since_ms, other.since_ms)
            until_ms = min(span.until_ms, other.until_ms)
            if span.worker != other.worker and since_ms < until_ms:
                overlap_ms = until_ms - since_ms
                yield f'key {key} for {overlap_ms:.0f} ms: {span} {other}'


def _life(incarnation: WorkerIncarnation) -> str:
    return f'{incarnation.worker} ({incarnation.log.name})'


def find_repeated_fences(
    incarnations: Sequence[WorkerIncarnation],
) -> Iterator[str]:
    """Yield a description of each key that a life took under an old token.

    Each process of a worker is a life of its own, with its own log.
    """
    lines = [
        (line['at_ms'], _life(incarnation), line['held'])
        for incarnation in incarnations
        for line in _held_lines(incarnation)
    ]
    history = FenceHistory()
    found: dict[str, float] = {}  # by description, when it was first so
    for at_ms, life, rows in sorted(lines, key=itemgetter(0)):
        for row in rows:
            for violation in history.take(Taking(life, *row)):
                found.setdefault(violation, at_ms)
    for description, since_ms in found.items():
        yield f'{description}, at {since_ms:.0f} ms'


def _spans_by_range(incarnations: Sequence[WorkerIncarnation]) -> SpansByRange:
    spans_by_range: SpansByRange = defaultdict(list)
    for incarnation in incarnations:
        last = {'held': [], 'at_ms': float('inf'), 'until_ms': float('inf')}
        for line, following in pairwise([*_held_lines(incarnation), last]):
            end_ms = min(line['until_ms'], following['at_ms'])
            if incarnation.killed_ms is not None:
                end_ms = min(end_ms, incarnation.killed_ms)
            for first, last_key, _ in line['held']:
                span = HoldSpan(incarnation.worker, line['at_ms'], end_ms)
                _append_span(spans_by_range[HeldRange(first, last_key)], span)
    return spans_by_range


def _append_span(spans: list[HoldSpan], span: HoldSpan) -> None:
    """Append a span, or extend the last one if the new one continues it."""
    last = spans[-1] if spans else span
    if last.worker == span.worker and last.until_ms == span.since_ms:
        last.until_ms = span.until_ms
    else:
        spans.append(span)


def _held_lines(incarnation: WorkerIncarnation) -> list[dict[str, Any]]:
    lines = incarnation.log.read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith(_HELD_PREFIX)]
