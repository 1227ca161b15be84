"""A simulated store by the words of the platform, with its troubles."""

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from eventlet import Timeout
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    CompactedError,
    PlatformConflictError,
    PlatformError,
    PlatformNotReachedError,
    PlatformRateLimitedError,
    PlatformUnavailableError,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.objects import CONFIG_NAME
from tests.config_fleet.virtual_time import Process, hub

_CALL_TIMEOUT_S = 1.5
_DEAF_S = 1.0  # for which watches hear nothing before history is dropped
_RECORDS = ''
Objects = tuple[StoredObject, ...]
_Reply = Callable[[Any], None]
_Serve = Callable[[_Reply], None]


@dataclass(slots=True)
class _Watch:
    """A call that waits for changes of a scope after a revision."""

    scope: str
    since: int
    lag_s: float
    reply: _Reply


@dataclass(slots=True)
class StoreTroubles:
    """What is wrong with the store now.

    `turned_away` says for nodes how their calls end: `busy`, `many`, `reset`
    or `silent`.  `lost_share` is the share of writes that are done and not
    answered, up to `late_s` later.
    """

    turned_away: dict[str, str] = field(default_factory=dict)
    down: str = ''
    slow_x: float = 1
    lost_share: float = 0
    late_s: float = 0
    deaf_until_s: float = 0
    stale_s: float = 2


@dataclass(slots=True)
class _Change:
    at_s: float
    stored: StoredObject


class SimulatedStore:
    """The objects of a store and all their changes."""

    def __init__(
        self, random: Random, latency_ms: float, reads_per_s: float = 0
    ) -> None:
        self.random = random
        self._reads_per_s = reads_per_s
        self._reads = 0  # in the second that lasts
        self._reads_second = 0
        self.latency_s = latency_ms / MS_PER_SECOND
        self.troubles = StoreTroubles()
        self._revision = 10
        self._objects: dict[str, StoredObject] = {}
        self._changes: list[_Change] = []
        self._oldest_kept = 0
        self._watches: list[_Watch] = []

    def get(self, name: str) -> StoredObject | None:
        """Return an object, None if there is none of that name."""
        return self._objects.get(name)

    def list(self, scope: str) -> tuple[Objects, int]:
        """Return the objects of a scope and the revision."""
        found = filter(partial(_is_in, scope), self._objects.values())
        return tuple(found), self._revision

    def write(
        self, name: str, content: dict[str, Any], condition: int | None
    ) -> int:
        """Write an object if it has a version, None: if it does not exist."""
        known = self._objects.get(name)
        version = known.version if known else None
        if version != condition:
            raise PlatformConflictError(name)
        self._revision += 1
        stored = StoredObject(name, content, self._revision)
        self._objects[name] = stored
        self._changes.append(_Change(hub().now_s, stored))
        self._wake_watches()
        return self._revision

    def take_read(self) -> bool:
        """Count a read; return whether the rate of the store allows it."""
        second = int(hub().now_s)
        if second != self._reads_second:
            self._reads_second, self._reads = second, 0
        self._reads += 1
        return not self._reads_per_s or self._reads <= self._reads_per_s

    def drop_history(self, stale_s: float) -> None:
        """Let watches hear nothing for a second, then cut them."""
        self.troubles.stale_s = stale_s
        self.troubles.deaf_until_s = hub().now_s + _DEAF_S
        hub().call_for(None, _DEAF_S, self._cut_watches)

    def watch(
        self,
        scope: str,
        since: int,
        wait_s: float,
        lag_s: float,
        reply: _Reply,
    ) -> None:
        """Reply with the changes of a scope, or that there are none."""
        if since < self._oldest_kept:
            reply(CompactedError(scope))
            return
        watch = _Watch(scope, since, lag_s, reply)
        self._watches.append(watch)
        hub().call_for(None, wait_s, self._end_watch, watch)
        self._check_watch(watch)

    def silence_watches(self) -> None:
        """Let all watches that wait hear nothing any more."""
        self._watches.clear()

    def deafen_watches(self, span_s: float) -> None:
        """Let watches hear of no change for a time."""
        self.troubles.deaf_until_s = hub().now_s + span_s
        hub().call_for(None, span_s, self._wake_watches)

    def _wake_watches(self) -> None:
        for watch in tuple(self._watches):
            hub().call_for(None, watch.lag_s, self._check_watch, watch)

    def _check_watch(self, watch: _Watch) -> None:
        is_deaf = hub().now_s < self.troubles.deaf_until_s
        found = self._visible_since(watch)
        if watch in self._watches and found and not is_deaf:
            self._answer_watch(watch, found)

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            is_deaf = hub().now_s < self.troubles.deaf_until_s
            found = () if is_deaf else self._visible_since(watch)
            self._answer_watch(watch, found)

    def _answer_watch(self, watch: _Watch, found: Objects) -> None:
        self._watches.remove(watch)
        latest = max((each.version for each in found), default=watch.since)
        watch.reply((found, latest))

    def _visible_since(self, watch: _Watch) -> Objects:
        until_s = hub().now_s - watch.lag_s
        end = bisect_right(self._changes, until_s, key=lambda each: each.at_s)
        found: dict[str, StoredObject] = {}
        for change in self._changes[:end]:
            stored = change.stored
            if stored.version > watch.since and _is_in(watch.scope, stored):
                found[stored.name] = stored
        return tuple(found.values())

    def _cut_watches(self) -> None:
        self._oldest_kept = self._revision
        self._changes.clear()
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.reply(PlatformUnavailableError('the watch was cut off'))


def _is_in(scope: str, stored: StoredObject) -> bool:
    return (stored.name == CONFIG_NAME) == (scope == CONFIG_NAME)


class StoreClient:
    """The store as the process of a node calls it, as a `Store`."""

    era = 0
    scopes = (_RECORDS, CONFIG_NAME)

    def __init__(
        self,
        store: SimulatedStore,
        node_id: str,
        process: Process,
        link_wait_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._link_wait_s = link_wait_s
        self._node_id = node_id
        self._process = process

    def learn_era(self, _era: int) -> None:
        """Do nothing: the store begins no other era."""

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if no object has that name."""
        return self._call(partial(self._store.get, name))

    def list(self, prefix: str = '') -> tuple[Objects, int]:
        """Return the objects under a prefix and the store's version."""
        return self._call(partial(self._store.list, prefix))

    def create(self, name: str, content: dict[str, Any]) -> int:
        """Create an object and return its version."""
        return self._write(partial(self._store.write, name, content, None))

    def update(self, name: str, content: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        return self._write(partial(self._store.write, name, content, version))

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[Objects, int]:
        """Return the changes under a prefix after a version."""
        wait_s = wait_ms / MS_PER_SECOND
        stale_s = self._store.troubles.stale_s if may_be_stale else 0
        lag_s = self._store.random.uniform(0, stale_s)

        def serve(reply: _Reply) -> None:
            self._store.watch(prefix, since, wait_s, lag_s, reply)

        return self._exchange(
            serve if may_be_stale else partial(self._read, serve),
            wait_s + _CALL_TIMEOUT_S,
        )

    def _call(self, operation: Callable[[], Any]) -> Any:
        return self._exchange(
            partial(self._read, lambda reply: reply(_outcome(operation)))
        )

    def _read(self, serve: _Serve, reply: _Reply) -> None:
        if self._store.take_read():
            serve(reply)
        else:
            reply(PlatformRateLimitedError('the rate'))

    def _write(self, operation: Callable[[], int]) -> int:
        troubles = self._store.troubles

        def serve(reply: _Reply) -> None:
            if self._store.random.random() >= troubles.lost_share:
                reply(_outcome(operation))
            else:
                delay_s = self._store.random.uniform(0, troubles.late_s)
                hub().call_for(None, delay_s, _outcome, operation)

        return int(self._exchange(serve))

    def _exchange(
        self,
        serve: _Serve,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> Any:
        """Let the store serve a call, and return or raise its answer."""
        answered = Event()

        def reply(outcome: Any) -> None:
            hub().call_for(
                self._process, self._delay_s(), answered.send, outcome
            )

        def arrive() -> None:
            rejection = self._rejection()
            if rejection is None:
                serve(reply)
            elif rejection:
                reply(rejection)

        hub().call_for(None, self._link_wait_s() + self._delay_s(), arrive)
        with Timeout(timeout_s, PlatformUnavailableError('no answer')):
            outcome = answered.wait()
        if isinstance(outcome, PlatformError):
            raise outcome
        return outcome

    def _delay_s(self) -> float:
        slow_x = self._store.troubles.slow_x
        return (
            self._store.random.uniform(0.3, 0.7)
            * self._store.latency_s
            * slow_x
        )

    def _rejection(self) -> Any:
        """Return None, an error, or an empty text for silence."""
        troubles = self._store.troubles
        kind = troubles.down or troubles.turned_away.get(self._node_id)
        if kind is None:
            return None
        if kind == 'busy':
            return PlatformNotReachedError('status 503')
        if kind == 'many':
            return PlatformRateLimitedError(kind)
        return '' if kind == 'silent' else PlatformUnavailableError(kind)


def _outcome(operation: Callable[[], Any]) -> Any:
    try:
        return operation()
    except PlatformError as failure:
        return failure
