"""Fenced grants of the worker, renewed with the lease of its node."""

from collections.abc import Callable

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import WORKER_UNREACHABLE
from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ShardName
from laburnumwood.upstream.health import WorkerHealth
from laburnumwood.upstream.worker import Worker

_RENEW_MS = 400
_CHANGE_POLL_MS = 20

Tokens = Callable[[], dict[ShardName, int]]


class Granter:
    """Keeps the worker's grants equal to what its node holds, while it does.

    `tokens` returns what is held, `until_ms` until when; `close` lets no more
    requests in to a shard.
    """

    def __init__(
        self,
        worker: Worker,
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
        self._granted_ms = 0
        self._reachable = True
        self._retired = False
        self._last_until_ms = 0
        self._held_until_ms = 0
        self.health = WorkerHealth(clock)
        self.changes = Notifier()

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Tell whether the worker has a grant for a shard and a token."""
        return self._granted.get(shard) == token

    def next_grants_in_ms(self) -> int:
        """Return in what time the worker will get its next grants."""
        age_ms = self._clock.now_ms() - self._granted_ms
        return max(_CHANGE_POLL_MS, _RENEW_MS - age_ms)

    def withdraw(self, shard: ShardName) -> None:
        """Let no more requests in to a shard that gets another owner."""
        self._close(shard)

    def restore(self, shard: ShardName) -> None:
        """Do nothing: the shard is granted for as long as it is held."""

    def is_released(self, shard: ShardName) -> bool:
        """Return true: the next owner's token fences this worker off."""
        return True

    def handover_for(self, keys: KeyRange) -> str:
        """Return nothing: these workers leave nothing."""
        return ''

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return nothing: these workers leave nothing."""
        return ()

    def held_for_ms(self) -> int:
        """Return for how long the worker may still hold what it was given."""
        return max(0, self._held_until_ms - self._clock.now_ms())

    def retire(self) -> int:
        """Grant nothing more; return when the last grants run out."""
        self._retired = True
        return self._last_until_ms

    def run(self) -> None:
        """Renew the grants and pass on every change; does not return."""
        while True:
            # A silent worker may take late what is sent to it now: until it
            # answers again it is granted nothing.
            may_grant = self._reachable and not self._retired
            wanted = self._tokens() if may_grant else {}
            due = self._clock.now_ms() - self._granted_ms >= _RENEW_MS
            if due or wanted != self._granted:
                self._grant(wanted)
            eventlet.sleep(_CHANGE_POLL_MS / MS_PER_SECOND)

    def _grant(self, wanted: dict[ShardName, int]) -> None:
        until_ms = self._until_ms() if wanted else 0
        started_ms = self._clock.now_ms()
        self._last_until_ms = max(self._last_until_ms, until_ms)
        self._held_until_ms = max(self._held_until_ms, until_ms)
        taken = self._worker.grant(wanted, until_ms)
        self.health.record_call(answered=taken, started_ms=started_ms)
        if taken:
            # It replaces all that was granted before.
            self._held_until_ms = until_ms
            self._granted = wanted
            self._granted_ms = self._clock.now_ms()
            self.changes.notify_all()
        elif self._reachable:
            WORKER_UNREACHABLE.report()
        self._reachable = taken
