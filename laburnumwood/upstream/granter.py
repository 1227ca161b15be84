"""Grants that are sent to the worker and renewed with its node's lease."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import WORKER_UNREACHABLE
from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.health import WorkerHealth
from laburnumwood.upstream.worker import WorkerClient

_RENEW_MS = 400
_POLL_MS = 20

Tokens = Callable[[], dict[ShardName, int]]


class Granter:
    """Keeps the worker's grants equal to the shards that its node holds.

    `tokens` returns the shards held with their tokens and `until_ms` the time
    at which the lease ends; `close` stops admitting requests to a shard.
    """

    def __init__(
        self,
        worker: WorkerClient,
        tokens: Tokens,
        until_ms: Callable[[], int],
        close: Callable[[ShardName], None],
        clock: Clock,
    ) -> None:
        self._worker = worker
        self._tokens = tokens
        self._close = close
        self._until_ms = until_ms
        self._clock = clock
        self._granted: dict[ShardName, int] = {}
        self._granted_at_ms = 0
        self._reachable = True
        self._retired = False
        self._has_answered = False
        self._latest_sent_until_ms = 0
        self._latest_held_until_ms = 0
        self.health = WorkerHealth(clock)
        self.changes = Notifier()

    @property
    def has_answered(self) -> bool:
        """Return whether the worker has accepted any grants yet."""
        return self._has_answered

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Return whether the worker has a grant of a shard under a token."""
        return self._granted.get(shard) == token

    def next_grants_in_ms(self) -> int:
        """Return the time until the worker is expected to get new grants."""
        age_ms = self._clock.now_ms() - self._granted_at_ms
        return max(_POLL_MS, _RENEW_MS - age_ms)

    def withdraw(self, shard: ShardName) -> None:
        """Stop admitting requests to a shard that is to move."""
        self._close(shard)

    def restore(self, shard: ShardName) -> None:
        """Do nothing: a shard is granted for as long as the node holds it."""

    def is_released(self, shard: ShardName) -> bool:
        """Return True, since the next owner's token fences off this worker."""
        return True

    def handover_for(self, keys: KeyRange) -> str:
        """Return '': workers that are sent their grants leave no handovers."""
        return ''

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return (): workers that are sent their grants leave no handovers."""
        return ()

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold any of its grants."""
        return max(0, self._latest_held_until_ms - self._clock.now_ms())

    def retire(self) -> int:
        """Stop granting; return the time at which the last grant expires."""
        self._retired = True
        return self._latest_sent_until_ms

    def probe(self) -> None:
        """Learn whether the worker answers, by sending it an empty grant."""
        self._grant({})

    def run(self) -> None:
        """Renew the grants and send every change; does not return."""
        while True:
            # A worker that does not answer may process a call much later, so
            # it is granted nothing until it answers again.
            may_grant = self._reachable and not self._retired
            wanted = self._tokens() if may_grant else {}
            is_due = self._clock.now_ms() - self._granted_at_ms >= _RENEW_MS
            if is_due or wanted != self._granted:
                self._grant(wanted)
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)

    def _grant(self, wanted: dict[ShardName, int]) -> None:
        until_ms = self._until_ms() if wanted else 0
        started_ms = self._clock.now_ms()
        self._latest_sent_until_ms = max(self._latest_sent_until_ms, until_ms)
        self._latest_held_until_ms = max(self._latest_held_until_ms, until_ms)
        accepted = self._worker.grant(wanted, until_ms)
        self.health.record_call(answered=accepted, started_ms=started_ms)
        if accepted:
            self._has_answered = True
            # The call replaced all earlier grants.
            self._latest_held_until_ms = until_ms
            self._granted = wanted
            self._granted_at_ms = self._clock.now_ms()
            self.changes.notify_all()
        elif self._reachable:
            WORKER_UNREACHABLE.report()
        self._reachable = accepted
