"""Incarnations that can hold no lease because their witnesses are gone.

A lease rests on one of the sets of witnesses that are on record.  A witness
whose process was followed by another renews nothing under its old name.  Once
that is so for a majority of every set, the last renewal is at most one grant
old: when so much time has passed since it was seen, the lease has run out.
The end must then be written over the very version of the record that was
seen, since the holder may have changed its witnesses in between.

An incarnation that is followed by another of its node gave its lease up before
that announced itself.  Its node records the end sooner, unless it is lost.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.records import NodeName, NodeRecord, WitnessSet
from laburnumwood.settings import LeaseSettings

IsWitnessReplaced = Callable[[NodeName], bool]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An open incarnation, by its record and the version of that."""

    name: NodeName
    record: NodeRecord
    version: int
    is_replaced: bool = False


@dataclass(frozen=True, slots=True)
class _Seen:
    version: int
    at_ms: int


def _is_backless(chosen: WitnessSet, has_forgotten: IsWitnessReplaced) -> bool:
    gone = sum(has_forgotten(name) for name in chosen.members)
    return gone >= chosen.majority


def _has_no_backing(found: Candidate, has_forgotten: IsWitnessReplaced) -> bool:
    sets = found.record.witness_sets
    return bool(sets) and all(
        _is_backless(chosen, has_forgotten) for chosen in sets
    )


class QuorumLossDetector:
    """Finds the incarnations whose end may be recorded."""

    def __init__(self, settings: LeaseSettings, clock: Clock) -> None:
        self._wait_ms = settings.grant_ms + settings.drift_margin_ms
        self._clock = clock
        self._seen: dict[NodeName, _Seen] = {}

    def expired(
        self, candidates: Iterable[Candidate], has_forgotten: IsWitnessReplaced
    ) -> tuple[Candidate, ...]:
        """Return the candidates that have been backless for long enough."""
        now_ms = self._clock.now_ms()
        seen: dict[NodeName, _Seen] = {}
        over: list[Candidate] = []
        for each in candidates:
            if not (each.is_replaced or _has_no_backing(each, has_forgotten)):
                continue
            known = self._seen.get(each.name)
            if known is None or known.version != each.version:
                known = _Seen(each.version, now_ms)
            seen[each.name] = known
            if now_ms - known.at_ms >= self._wait_ms:
                over.append(each)
        self._seen = seen
        return tuple(over)
