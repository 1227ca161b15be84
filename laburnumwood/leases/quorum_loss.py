"""Detection of leases that have expired because their witnesses are gone.

A lease is granted by a majority of each witness set on record.  A witness
lives as long as its process: once a new process of the same node has taken
its place, the old witness renews nothing.  When that is so for a majority of
every set on record, the last renewal is at most one grant old, and the lease
has expired once that much time has passed since this was observed.  The end
must then be written conditionally on the observed version of the record,
since the holder may have changed its witnesses in between.

An incarnation that was replaced by another of its node gave up its lease
before the new one announced itself.  Usually its own node records the end
sooner; this covers the case that the node is lost.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.records import NodeName, NodeRecord, WitnessSet
from laburnumwood.settings import LeaseSettings

IsWitnessReplaced = Callable[[NodeName], bool]


@dataclass(frozen=True, slots=True)
class Candidate:
    """An incarnation without a recorded end, with its node's record.

    `version` is the version of the record, under which it may be replaced;
    `is_replaced` is set if the node has announced a later incarnation.
    """

    name: NodeName
    record: NodeRecord
    version: int
    is_replaced: bool = False


@dataclass(frozen=True, slots=True)
class _Observation:
    version: int
    at_ms: int


def _has_lost_majority(
    witness_set: WitnessSet, is_witness_replaced: IsWitnessReplaced
) -> bool:
    replaced = sum(is_witness_replaced(name) for name in witness_set.members)
    return replaced >= witness_set.majority


def has_lost_quorum(
    record: NodeRecord, is_witness_replaced: IsWitnessReplaced
) -> bool:
    """Return whether the witnesses on record can't renew a lease any more."""
    sets = record.witness_sets
    return bool(sets) and all(
        _has_lost_majority(witness_set, is_witness_replaced)
        for witness_set in sets
    )


class QuorumLossDetector:
    """Finds the incarnations whose end may be recorded."""

    def __init__(self, settings: LeaseSettings, clock: Clock) -> None:
        self._wait_ms = settings.grant_ms + settings.drift_margin_ms
        self._clock = clock
        self._observations: dict[NodeName, _Observation] = {}

    def expired(
        self,
        candidates: Iterable[Candidate],
        is_witness_replaced: IsWitnessReplaced,
    ) -> tuple[Candidate, ...]:
        """Return the candidates whose lease has expired for certain.

        Call it regularly with all candidates: the wait of a candidate that is
        left out, or whose record has a new version, starts over.
        """
        now_ms = self._clock.now_ms()
        observations: dict[NodeName, _Observation] = {}
        expired: list[Candidate] = []
        for candidate in candidates:
            if not (
                candidate.is_replaced
                or has_lost_quorum(candidate.record, is_witness_replaced)
            ):
                continue
            known = self._observations.get(candidate.name)
            if known is None or known.version != candidate.version:
                known = _Observation(candidate.version, now_ms)
            observations[candidate.name] = known
            if now_ms - known.at_ms >= self._wait_ms:
                expired.append(candidate)
        self._observations = observations
        return tuple(expired)
