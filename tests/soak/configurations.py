"""Finds requests that a node handled by a wrong configuration."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from standins.journal.entry import JournalEntry
from tests.soak.callers import Call
from tests.soak.disturbances import Disturbance, is_in_touch, is_steady
from tests.soak.fleet import ADDED_PREFIX, SPLIT_ROUTE, NodeIncarnation
from tests.soak.manifests import ManifestChange, possible_changes

_DOWNGRADE_MS = 250  # after a worker saw the effect of a configuration
_PAUSED_DOWNGRADE_MS = 2_000  # the same if the process was paused
_MIN_ADDED_COUNT = 20  # requests on added routes
_MIN_ADDED_SHARE = 0.25  # of the share of the first routes that is served
_MIN_SPLIT_COUNT = 200  # requests on a route with several services
_MAX_WEIGHT_ERROR = 0.2
_NOT_FOUND = 404
_OK = 200


@dataclass(frozen=True, slots=True)
class Decision:
    """What a node decided about a request; no service: it found no route."""

    call: Call
    service: str

    @property
    def route(self) -> str:
        """Return the route of the request."""
        return self.call.request.service

    def is_allowed_by(self, change: ManifestChange) -> bool:
        """Return whether a manifest allows it."""
        return change.allows(self.route, self.service)

    def __str__(self) -> str:
        """Return the request, the node and what was decided."""
        call = self.call
        return (
            f'{call.request.attempt_id} on {self.route} at {call.request.node} '
            f'from {call.sent_ms:.0f} to {call.done_ms:.0f}: '
            f'{self.service or "no route"}'
        )


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """What is known of the configurations of a soak and of their use."""

    calls: Sequence[Call]  # on routes that change
    runs: Mapping[str, Sequence[JournalEntry]]
    changes: Sequence[ManifestChange]
    incarnations: Sequence[NodeIncarnation]
    disturbances: Sequence[Disturbance]

    def decisions(self) -> Iterator[Decision]:
        """Yield what was decided about requests, as far as it shows."""
        for call in self.calls:
            for run in self.runs.get(call.request.attempt_id, ()):
                yield Decision(call, run.service)
            if call.status == _NOT_FOUND and not call.stamp:
                yield Decision(call, '')

    def possible(self, call: Call) -> list[ManifestChange]:
        """Return the manifests by which a call may be handled."""
        return possible_changes(self.changes, call.sent_ms, call.done_ms)

    def is_in_touch(self, call: Call) -> bool:
        """Return whether nothing harmed the node, its links or the store."""
        return is_in_touch(call, self.incarnations, self.disturbances)

    def is_steady(self, call: Call) -> bool:
        """Return whether nothing at all was harmed."""
        return is_steady(call, self.disturbances)

    def places(self, decision: Decision) -> list[int]:
        """Return the places of the manifests that allow a decision, so far."""
        return [
            place
            for place, change in enumerate(self.changes)
            if change.is_valid
            and change.since_ms <= decision.call.done_ms
            and decision.is_allowed_by(change)
        ]


def find_late(record: ConfigRecord) -> Iterator[str]:
    """Yield requests that were handled as only an earlier manifest allows."""
    for decision in record.decisions():
        possible = record.possible(decision.call)
        if any(map(decision.is_allowed_by, possible)):
            continue
        if record.places(decision) and record.is_in_touch(decision.call):
            yield str(decision)


def find_invalid(record: ConfigRecord) -> Iterator[str]:
    """Yield requests that were handled as no valid manifest allows."""
    for decision in record.decisions():
        if not record.places(decision):
            yield str(decision)


def find_regressions(record: ConfigRecord) -> Iterator[str]:
    """Yield requests by which a process went back to an earlier manifest."""
    decisions = list(record.decisions())
    for incarnation in record.incarnations:
        served = [
            each for each in decisions if _is_served_by(each.call, incarnation)
        ]
        yield from _find_regressions(record, incarnation, served)


def _is_served_by(call: Call, incarnation: NodeIncarnation) -> bool:
    if call.request.node != incarnation.node:
        return False
    is_started = incarnation.started_ms <= call.sent_ms
    ended_ms = incarnation.ended_ms
    return is_started and (ended_ms is None or call.done_ms <= ended_ms)


def _find_regressions(
    record: ConfigRecord,
    incarnation: NodeIncarnation,
    decisions: Sequence[Decision],
) -> Iterator[str]:
    limit_ms = _PAUSED_DOWNGRADE_MS if incarnation.pauses else _DOWNGRADE_MS
    ended = sorted(decisions, key=lambda each: each.call.done_ms)
    newest, seen = -1, None
    for decision in sorted(decisions, key=lambda each: each.call.sent_ms):
        until_ms = decision.call.sent_ms - limit_ms
        while ended and ended[0].call.done_ms < until_ms:
            earlier = ended.pop(0)
            place = min(record.places(earlier), default=-1)
            if place > newest:
                newest, seen = place, earlier
        if max(record.places(decision), default=newest) < newest:
            yield f'{decision}, after {seen}'


def find_unserved_added(record: ConfigRecord) -> Iterator[str]:
    """Yield the shares served if added routes are served much less."""
    served: dict[bool, list[bool]] = defaultdict(list)
    for call in filter(record.is_in_touch, record.calls):
        route = call.request.service
        if all(route in each.routes for each in record.possible(call)):
            is_added = route.startswith(ADDED_PREFIX)
            served[is_added].append(call.status == _OK and bool(call.stamp))
    added, first = (_mean(served[is_added]) for is_added in (True, False))
    count = len(served[True])
    if count >= _MIN_ADDED_COUNT and added < first * _MIN_ADDED_SHARE:
        yield f'{added:.2f} of {count} on added routes, {first:.2f} on others'


def _mean(flags: Sequence[bool]) -> float:
    return sum(flags) / max(1, len(flags))


def find_wrong_weights(record: ConfigRecord) -> Iterator[str]:
    """Yield the counts of services that run other shares than their weights."""
    counts: dict[tuple[tuple[str, int], ...], Counter[str]] = defaultdict(
        Counter
    )
    for decision in record.decisions():
        if decision.route == SPLIT_ROUTE and record.is_steady(decision.call):
            possible = {
                tuple(sorted(each.routes[SPLIT_ROUTE].items()))
                for each in record.possible(decision.call)
            }
            if len(possible) == 1:
                counts[possible.pop()][decision.service] += 1
    for weights, runs in counts.items():
        if runs.total() >= _MIN_SPLIT_COUNT and _is_off(dict(weights), runs):
            yield f'{dict(runs)} by weights {dict(weights)}'


def _is_off(weights: Mapping[str, int], runs: Counter[str]) -> bool:
    total = sum(weights.values())
    return any(
        abs(runs[name] / runs.total() - weight / total) > _MAX_WEIGHT_ERROR
        for name, weight in weights.items()
    )


ConfigRule = Callable[[ConfigRecord], Iterable[str]]
CONFIG_RULES: dict[str, ConfigRule] = {
    'a request was handled by a replaced configuration': find_late,
    'a request was handled by an invalid configuration': find_invalid,
    'a process went back to an earlier configuration': find_regressions,
    'added routes were served less than the first ones': find_unserved_added,
    'services got other shares than their weights': find_wrong_weights,
}
