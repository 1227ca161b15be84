"""Asking the store whether the configuration in force is the latest."""

from collections import deque

from laburnumwood.clock import Clock
from laburnumwood.errors import PlatformError, PlatformRateLimitedError
from laburnumwood.membership.configuration.recent_failure import (
    RecentFailure,
)
from laburnumwood.membership.configuration.status import FROM_STORE
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.shared_call import SharedCall
from laburnumwood.records import ConfigRecord, StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME, to_record

CONFIRMED_FOR_MS = 1_000  # for which an answer of the store counts
CALL_INTERVAL_MS = 500  # at least, from the start of a call to the next
MAX_WAIT_MS = 1_000  # of a request for an answer of the store
_LEAST_PATIENCE_MS = 200
_REMEMBERED_CALLS = 4  # by which the patience is chosen


def has_in_force(directory: Directory, stored: StoredObject) -> bool:
    """Return whether a stored configuration, or a later one, is in force.

    It is not if the node can not use it.  Raises `RecordError` if the object
    is not a configuration.
    """
    record = to_record(ConfigRecord, stored)
    return record.generation <= directory.config.generation


class ConfigConfirmation:
    """Asks the store for the latest configuration, when a request needs it.

    All requests that need an answer of the store share one call.  It counts
    from when the call was made, so that it is no older than it is taken to be.
    """

    def __init__(
        self, store: Store, directory: Directory, clock: Clock
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._call = SharedCall(self._ask, CALL_INTERVAL_MS, clock)
        self._confirmed_at_ms: int | None = None
        self._answer_times_ms: deque[int] = deque(maxlen=_REMEMBERED_CALLS)
        self._failure = RecentFailure(clock)
        self._unanswered_since_ms: int | None = None

    def is_away(self, silence_ms: int) -> bool:
        """Return whether the store can't tell what it has.

        A call failed within the last second: the store refused it, let it time
        out, or has what can't be used.  Or the call under way, and those that
        failed before it, have had no answer for `silence_ms`.
        """
        if self._failure:
            return True
        since_ms = self._unanswered_since_ms
        if since_ms is None or not self._call.is_under_way:
            return False
        return self._clock.now_ms() - since_ms >= silence_ms

    @property
    def usual_patience_ms(self) -> int:
        """Return after how long an answer is later than usual, in ms.

        It is twice the longest time of the last answers: a store or a node
        under load takes its time, and is not away.
        """
        longest_ms = max(self._answer_times_ms, default=0)
        return min(max(2 * longest_ms, _LEAST_PATIENCE_MS), MAX_WAIT_MS)

    def confirm(
        self, patience_ms: int, max_age_ms: int = CONFIRMED_FOR_MS
    ) -> bool:
        """Return whether the configuration in force is the latest.

        An answer of the store within the last `max_age_ms` tells.  Waits up
        to `patience_ms`, and never longer than `MAX_WAIT_MS`, for the store.
        Returns false if the store can not be asked now.
        """
        if self._is_confirmed(max_age_ms):
            return True
        self._call.ensure_started()
        self._call.wait(min(patience_ms, MAX_WAIT_MS))
        return self._is_confirmed(max_age_ms)

    def _is_confirmed(self, max_age_ms: int) -> bool:
        since_ms = self._confirmed_at_ms
        if since_ms is None:
            return False
        return self._clock.now_ms() - since_ms < max_age_ms

    def _ask(self) -> None:
        called_at_ms = self._clock.now_ms()
        if not self._failure:
            self._unanswered_since_ms = called_at_ms
        try:
            is_latest = self._has_latest(self._store.get(CONFIG_NAME))
        except PlatformRateLimitedError:
            self._failure.record(has_failed=False)  # it serves others
            return
        except PlatformError:
            self._failure.record(has_failed=True)
            return  # the guarded store has logged its failures
        self._answer_times_ms.append(self._clock.now_ms() - called_at_ms)
        self._failure.record(has_failed=not is_latest)
        if is_latest:
            monitor = self._directory.config_monitor
            self._confirmed_at_ms = called_at_ms
            monitor.record_latest(FROM_STORE)
            monitor.record_confirmed(FROM_STORE, called_at_ms)

    def _has_latest(self, found: StoredObject | None) -> bool:
        """Apply the stored configuration; return whether it is in force."""
        if found is None:
            return not self._directory.config.generation
        self._directory.apply(found, FROM_STORE)
        return has_in_force(self._directory, found)
