"""Judges a caller's log against the journals of the workers.

The nodes' own word is not asked for.  Every fault names the entries that
show it.
"""

import json
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from bench.calls import Call, Told
from standins.journal.entry import JournalEntry, Outcome
from standins.worker.bodies import body_of, checksum_of

IDEMPOTENT = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_SUCCESS = range(200, 300)

Runs = Sequence[JournalEntry]


@dataclass(frozen=True, slots=True)
class Fault:
    """A broken promise, and what shows it."""

    rule: str
    evidence: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Verdict:
    """All faults, and how much was judged."""

    calls: int
    runs: int
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        """Return a line for each fault."""
        lines = [f'{self.calls} calls, {self.runs} runs']
        lines.extend(f'{each.rule}: {each.evidence}' for each in self.faults)
        return '\n'.join(lines)


Rule = Callable[[Sequence[Call], Runs], Iterable[Fault]]
RULES: list[Rule] = []


def _rule(checked: Rule) -> Rule:
    RULES.append(checked)
    return checked


def _by_request(runs: Runs) -> dict[str, list[JournalEntry]]:
    grouped = defaultdict(list)
    for run in runs:
        grouped[run.request].append(run)
    return grouped


@_rule
def at_most_once(calls: Sequence[Call], runs: Runs) -> Iterator[Fault]:
    """Yield non-idempotent requests and idempotency keys that ran twice."""
    operations = {
        call.request: call.operation for call in calls if call.is_keyed
    }
    grouped = defaultdict(list)
    for run in runs:
        if run.method not in IDEMPOTENT:
            grouped[operations.get(run.request, run.request)].append(run)
    for repeated in grouped.values():
        if len(repeated) > 1:
            yield Fault('ran twice', tuple(repeated))


@_rule
def not_run_is_true(calls: Sequence[Call], runs: Runs) -> Iterator[Fault]:
    """Yield calls that were told `not-run` and yet ran, then or later."""
    grouped = _by_request(runs)
    for call in calls:
        if call.told is Told.not_run and call.request in grouped:
            yield Fault('told not-run, ran', (call, *grouped[call.request]))


@_rule
def answers_are_whole(calls: Sequence[Call], runs: Runs) -> Iterator[Fault]:
    """Yield answers that are not the whole answer to their own request."""
    own = defaultdict(set)
    for call in calls:
        own[call.operation].add(call.request)
    known = set(_by_request(runs))
    for call in filter(_is_success, calls):
        requests = own[call.operation] if call.is_keyed else {call.request}
        if not _is_whole(call, requests):
            yield Fault('not its whole answer', (call,))
        elif known.isdisjoint(requests):
            yield Fault('answered, never ran', (call,))


def _is_success(call: Call) -> bool:
    return call.told is Told.answered and call.status in _SUCCESS


def _is_whole(call: Call, requests: set[str]) -> bool:
    if call.size is not None:
        expected = body_of(call.request, call.size)
        return call.body == expected and call.checksum == checksum_of(expected)
    try:
        receipt = json.loads(call.body)
    except ValueError:
        return False
    return receipt['request'] in requests and receipt['key'] == call.key


@_rule
def one_owner(calls: Sequence[Call], runs: Runs) -> Iterator[Fault]:
    """Yield runs of a shard that overlap on two workers.

    A download whose answer is on its way may outlast a move; that no worker
    starts one after the shard has moved on is for `tokens_rise` to check.
    """
    last_seen = _last_seen(runs)
    downloads = {call.request for call in calls if call.size is not None}
    others = [run for run in runs if run.request not in downloads]
    for ordered in _by_shard(others):
        latest = ordered[0]
        for run in ordered[1:]:
            ended_ms = _ended_ms(latest, last_seen)
            if run.worker != latest.worker and run.started_ms < ended_ms:
                yield Fault('two owners at once', (latest, run))
            if _ended_ms(run, last_seen) > ended_ms:
                latest = run


@_rule
def tokens_rise(calls: Sequence[Call], runs: Runs) -> Iterator[Fault]:
    """Yield runs of a shard whose token is less than that of an earlier."""
    for ordered in _by_shard(runs):
        for before, run in pairwise(ordered):
            if (run.token or 0) < (before.token or 0):
                yield Fault('token went down', (before, run))


def _by_shard(runs: Runs) -> Iterable[list[JournalEntry]]:
    grouped = defaultdict(list)
    for run in sorted(runs, key=lambda each: each.started_ms):
        if run.shard is not None:
            grouped[run.service, run.shard].append(run)
    return grouped.values()


def _last_seen(runs: Runs) -> dict[str, float]:
    seen: dict[str, float] = defaultdict(float)
    for run in runs:
        seen[run.boot] = max(seen[run.boot], run.finished_ms or run.started_ms)
    return seen


def _ended_ms(run: JournalEntry, last_seen: dict[str, float]) -> float:
    # A run without an end died with its worker, of which no more was seen.
    return run.finished_ms or last_seen[run.boot]


def judge(calls: Sequence[Call], entries: Runs) -> Verdict:
    """Check every promise to callers."""
    runs = [entry for entry in entries if entry.outcome != Outcome.refused]
    faults = [fault for rule in RULES for fault in rule(calls, runs)]
    return Verdict(len(calls), len(runs), tuple(faults))
