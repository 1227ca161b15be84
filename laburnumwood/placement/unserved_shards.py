"""The shards that this node holds and does not serve, and why."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import SHARDS_SERVED_AGAIN, SHARDS_UNSERVED
from laburnumwood.leases.lease import Lease
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.records import ShardName
from laburnumwood.upstream.grants import Grants

_REVIEW_INTERVAL_MS = 200
_OVERDUE_MS = 700  # with the interval, reported after less than a second
_NO_GRANT = 'the worker has no grant'


@dataclass(frozen=True, slots=True)
class UnservedShard:
    """A shard that is held and not served: why, and for how long."""

    shard: ShardName
    cause: str
    for_ms: int


@dataclass(slots=True)
class _Pause:
    since_ms: int
    cause: str
    is_reported: bool = False


def _join(shards: Iterable[ShardName]) -> str:
    return ' '.join(str(each) for each in sorted(shards))


class UnservedShards:
    """Finds the shards that an incarnation holds and does not serve.

    A shard is served if it admits requests and the worker has its grant.
    While the lease is not held, no shard counts: another node may serve it.
    """

    def __init__(
        self,
        held_shards: HeldShards,
        grants: Grants,
        lease: Lease,
        clock: Clock,
    ) -> None:
        self._held_shards = held_shards
        self._grants = grants
        self._lease = lease
        self._clock = clock
        self._pauses: dict[ShardName, _Pause] = {}

    def overdue(self) -> tuple[UnservedShard, ...]:
        """Return what was not served for about a second at the last review."""
        now_ms = self._clock.now_ms()
        return tuple(
            UnservedShard(shard, pause.cause, now_ms - pause.since_ms)
            for shard, pause in sorted(self._pauses.items())
            if pause.is_reported
        )

    def watch(self) -> None:
        """Review the shards periodically; does not return."""
        while True:
            self.review()
            eventlet.sleep(_REVIEW_INTERVAL_MS / MS_PER_SECOND)

    def review(self) -> None:
        """Report shards that are not served, and those that are again."""
        causes = dict(self._causes()) if self._lease.is_held() else {}
        self._report_ended(causes)
        now_ms = self._clock.now_ms()
        for shard, cause in causes.items():
            self._pauses.setdefault(shard, _Pause(now_ms, cause)).cause = cause
        self._report_overdue(now_ms)

    def _causes(self) -> Iterator[tuple[ShardName, str]]:
        for shard, token in self._held_shards.tokens().items():
            if self._held_shards.is_closed(shard):
                yield shard, self._held_shards.wait_of(shard)
            elif not self._grants.covers(shard, token):
                yield shard, self._held_shards.wait_of(shard) or _NO_GRANT

    def _report_ended(self, causes: dict[ShardName, str]) -> None:
        ended = self._pauses.keys() - causes.keys()
        reported = [each for each in ended if self._pauses[each].is_reported]
        if reported:
            since_ms = min(self._pauses[each].since_ms for each in reported)
            SHARDS_SERVED_AGAIN.report(
                shards=_join(reported),
                longest_ms=self._clock.now_ms() - since_ms,
            )
        for shard in ended:
            self._pauses.pop(shard)

    def _report_overdue(self, now_ms: int) -> None:
        by_cause: dict[str, list[ShardName]] = {}
        for shard, pause in self._pauses.items():
            if not pause.is_reported and now_ms - pause.since_ms >= _OVERDUE_MS:
                pause.is_reported = True
                by_cause.setdefault(pause.cause, []).append(shard)
        for cause, shards in by_cause.items():
            since_ms = min(self._pauses[each].since_ms for each in shards)
            SHARDS_UNSERVED.report(
                shards=_join(shards), cause=cause, longest_ms=now_ms - since_ms
            )
