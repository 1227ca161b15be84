"""Asking the store whether the configuration in force is the latest."""

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import PlatformError, RecordError
from laburnumwood.membership.config_status import FROM_STORE
from laburnumwood.membership.directory import Directory
from laburnumwood.records import ConfigRecord, StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME, to_record
from laburnumwood.tasks import start

CONFIRMED_FOR_MS = 1_000  # for which an answer of the store counts
CALL_INTERVAL_MS = 500  # at least, from the start of a call to the next
MAX_WAIT_MS = 1_000  # of a request for an answer of the store

ConfigConfirmer = Callable[[int], bool]


def has_in_force(directory: Directory, stored: StoredObject) -> bool:
    """Return whether a stored configuration, or a later one, is in force.

    It is not if the node can not use it.  Raises `RecordError` if the object
    is not a configuration.
    """
    record = to_record(ConfigRecord, stored)
    return record.generation <= directory.config.generation


class ConfigConfirmation:
    """Asks the store for the latest configuration, when a request needs it.

    At most one call is under way at a time; all requests that need its answer
    wait for it.  An answer counts from when the call was made, so that it is
    no older than it is taken to be.
    """

    def __init__(
        self, store: Store, directory: Directory, clock: Clock
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._call: Event | None = None
        self._called_at_ms: int | None = None
        self._confirmed_at_ms: int | None = None

    def confirm(self, patience_ms: int) -> bool:
        """Return whether the configuration in force is the latest.

        Waits up to `patience_ms`, and never longer than `MAX_WAIT_MS`, for the
        store.  Returns false if the store can not be asked now.
        """
        if self._is_confirmed():
            return True
        self._ensure_call()
        if self._call is None:
            return False
        wait_ms = min(patience_ms, MAX_WAIT_MS)
        with eventlet.Timeout(wait_ms / MS_PER_SECOND, exception=False):
            self._call.wait()
        return self._is_confirmed()

    def _is_confirmed(self) -> bool:
        return self._is_within(self._confirmed_at_ms, CONFIRMED_FOR_MS)

    def _is_within(self, since_ms: int | None, span_ms: int) -> bool:
        return (
            since_ms is not None and self._clock.now_ms() - since_ms < span_ms
        )

    def _ensure_call(self) -> None:
        is_paced = self._is_within(self._called_at_ms, CALL_INTERVAL_MS)
        if self._call is None and not is_paced:
            self._call = Event()
            self._called_at_ms = self._clock.now_ms()
            start(self._ask, self._call)

    def _ask(self, call: Event) -> None:
        try:
            called_at_ms = self._clock.now_ms()
            if self._has_latest(self._store.get(CONFIG_NAME)):
                self._record_confirmed(called_at_ms)
        except (PlatformError, RecordError):
            return  # the guarded store has logged its failures
        finally:
            self._call = None
            call.send(None)

    def _record_confirmed(self, called_at_ms: int) -> None:
        monitor = self._directory.config_monitor
        self._confirmed_at_ms = called_at_ms
        monitor.record_latest(FROM_STORE)
        monitor.record_confirmed(FROM_STORE, called_at_ms)

    def _has_latest(self, found: StoredObject | None) -> bool:
        """Apply the stored configuration; return whether it is in force.

        It is not if this node can not use it.
        """
        if found is None:
            return not self._directory.config.generation
        self._directory.apply(found, FROM_STORE)
        return has_in_force(self._directory, found)
