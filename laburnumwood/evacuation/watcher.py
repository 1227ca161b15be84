"""Following in the store which failure domains are evacuated."""

from collections.abc import Callable
from random import Random

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import CompactedError, PlatformError
from laburnumwood.evacuation.register import NO_PROOF, EvacuationRegister
from laburnumwood.records import StoredObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import EVACUATION_PREFIX

FROM_STORE = 'the store'
_RETRY_MS = 500
_POLL_MS = 500  # between two times that a node finds out whether it watches
_REVIEW_MS = 250
# From this age of the proof on a node asks the store itself, at a time that
# differs from node to node.
_MAX_AGE_MS = 2_500
_SPREAD_MS = 1_000
_LIST_INTERVAL_MS = 1_000  # at least, between two questions of that kind

# Returns for how long a watch of this node waits in ms, None if it has none.
WatchWait = Callable[[], int | None]


def _domain(stored: StoredObject) -> str:
    return stored.name.removeprefix(EVACUATION_PREFIX)


def _with_changes(
    listed: frozenset[str], changes: tuple[StoredObject, ...]
) -> frozenset[str]:
    """Return the evacuated domains after some changes, in their order."""
    domains = set(listed)
    for stored in changes:
        if stored.value is None:
            domains.discard(_domain(stored))
        else:
            domains.add(_domain(stored))
    return frozenset(domains)


class EvacuationWatcher:
    """Keeps a register up to date with the store.

    Some nodes watch the store.  Any node asks it whose proof gets old, because
    the watchers are gone or can't reach the store or this node.
    """

    def __init__(
        self,
        store: Store,
        register: EvacuationRegister,
        watch_wait_ms: WatchWait,
        clock: Clock,
        random: Random,
    ) -> None:
        self._store = store
        self._register = register
        self._watch_wait_ms = watch_wait_ms
        self._clock = clock
        self._random = random
        self._listed_ms = 0
        self._max_age_ms = self._draw_max_age()

    @property
    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return the tasks that have to run until the incarnation ends."""
        return self.watch, self.keep_recent

    def list_domains(self) -> None:
        """Read which domains are evacuated.

        Raises `PlatformError` if the store does not answer.
        """
        asked_ms = self._clock.now_ms()
        self._listed_ms = asked_ms
        objects, version = self._store.list(EVACUATION_PREFIX)
        listed = _with_changes(frozenset(), objects)
        self._register.learn(version, listed, asked_ms, FROM_STORE)

    def watch(self) -> None:
        """Watch the store whenever this node has to; does not return."""
        while True:
            wait_ms = self._watch_wait_ms()
            if wait_ms is None:
                eventlet.sleep(_POLL_MS / MS_PER_SECOND)
                continue
            try:
                self.watch_once(wait_ms)
            except (CompactedError, PlatformError):
                # The guarded store has logged it.
                eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def keep_recent(self) -> None:
        """Ask the store when the proof gets old; does not return."""
        while True:
            eventlet.sleep(_REVIEW_MS / MS_PER_SECOND)
            self.review()

    def watch_once(self, wait_ms: int) -> None:
        """Wait for changes, and list the domains if their history is lost.

        Raises `CompactedError` if it is, and `PlatformError` if the store does
        not answer.
        """
        asked_ms = self._clock.now_ms()
        version, listed = self._register.version, self._register.listed
        try:
            changes, reached = self._store.watch(
                EVACUATION_PREFIX, version, wait_ms
            )
        except CompactedError:
            self.list_domains()
            raise
        waited_ms = self._clock.now_ms() - asked_ms
        # An answer without changes is of the end of the wait.
        is_whole = not changes and waited_ms >= wait_ms
        self._register.learn(
            max(version, reached),
            _with_changes(listed, changes),
            asked_ms + wait_ms if is_whole else asked_ms,
            FROM_STORE,
        )

    def review(self) -> None:
        """Apply the time that has passed, and ask the store if it is due."""
        self._register.review()
        now_ms = self._clock.now_ms()
        if not self._is_old() or now_ms - self._listed_ms < _LIST_INTERVAL_MS:
            return
        self._max_age_ms = self._draw_max_age()
        try:
            self.list_domains()
        except PlatformError:
            return  # what is known holds; the guarded store has logged it

    def _is_old(self) -> bool:
        age_ms = self._register.confirmed_age_ms
        return age_ms == NO_PROOF or age_ms > self._max_age_ms

    def _draw_max_age(self) -> int:
        return _MAX_AGE_MS + self._random.randrange(_SPREAD_MS)
