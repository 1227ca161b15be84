"""Watching the store, which only a few nodes of a failure domain do."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random

import eventlet
from xxhash import xxh3_64_intdigest

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import (
    CompactedError,
    PlatformError,
    RecordError,
)
from laburnumwood.evacuation.watcher import EvacuationWatcher
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.configuration.confirmation import has_in_force
from laburnumwood.membership.configuration.status import (
    FROM_STALE_STORE,
    FROM_STORE,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, StoredObject
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME

_SOURCE_POLL_MS = 500
_RETRY_MS = 500
_BATCH_PAUSE_MS = 250  # between two watches of the records
_STALE_PAUSE_MS = 1_000  # between two watches that may be stale
_LIST_INTERVAL_MS = 1_000  # between two lists of a scope that can't be watched


class UpdateSource(Enum):
    """How a node learns of changes in the store."""

    STORE = 'it watches the store'
    STALE_STORE = (
        'it watches what may be seconds old, in case the others are cut off'
    )
    PEERS = 'other nodes tell it'


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """How many nodes watch a scope of the store, and for how long a call waits.

    Of the `watchers_per_domain` nodes of a failure domain that watch, the
    first `fresh_per_domain` want current changes, in at most `fresh_domains`
    domains.  The others accept changes that are seconds old, which costs the
    store little.

    The first node in each of `prompt_domains` domains makes short calls, so
    that a connection that went silent is soon noticed.
    """

    watchers_per_domain: int
    fresh_per_domain: int
    fresh_domains: int
    wait_ms: int
    prompt_domains: int = 2
    prompt_wait_ms: int = 1_500


RECORD_WATCH_POLICY = WatchPolicy(
    watchers_per_domain=2, fresh_per_domain=1, fresh_domains=3, wait_ms=10_000
)
# The configuration rarely changes.  Many nodes watch it, so that it reaches a
# domain even while the store rejects the calls of some of its watchers.
CONFIG_WATCH_POLICY = WatchPolicy(
    watchers_per_domain=32, fresh_per_domain=8, fresh_domains=32, wait_ms=30_000
)
EVACUATION_WATCH_POLICY = WatchPolicy(
    watchers_per_domain=2, fresh_per_domain=2, fresh_domains=32, wait_ms=10_000
)


def _domain_order(domain: str) -> int:
    return xxh3_64_intdigest(f'reader {domain}'.encode())


@dataclass(frozen=True, slots=True)
class _Rank:
    """The rank of a node in its failure domain, and of the domain."""

    of_node: int
    of_domain: int


def _rank(own: NodeName, view: FleetView) -> _Rank | None:
    """Return the rank of a live node, None for any other."""
    live = dict(view.live_nodes())
    if own not in live:
        return None
    domain = live[own].failure_domain
    domain_nodes = (
        name for name, record in live.items() if record.failure_domain == domain
    )
    domains = {record.failure_domain for record in live.values()}
    return _Rank(
        rendezvous_order(f'reader {domain}', domain_nodes).index(own),
        sorted(domains, key=_domain_order).index(domain),
    )


def update_source(
    own: NodeName, view: FleetView, policy: WatchPolicy
) -> UpdateSource:
    """Return how a node learns of changes of a scope.

    This depends on its rank among the live nodes of its failure domain.  A
    node that is not live, such as one that is leaving, watches the store
    itself: renewals no longer bring it changes.
    """
    rank = _rank(own, view)
    if rank is None:
        return UpdateSource.STORE
    if rank.of_node >= policy.watchers_per_domain:
        return UpdateSource.PEERS
    is_fresh = (
        rank.of_node < policy.fresh_per_domain
        and rank.of_domain < policy.fresh_domains
    )
    return UpdateSource.STORE if is_fresh else UpdateSource.STALE_STORE


def watch_wait_ms(own: NodeName, view: FleetView, policy: WatchPolicy) -> int:
    """Return for how long a call of a node waits for changes of a scope."""
    rank = _rank(own, view)
    if rank is None:
        return policy.prompt_wait_ms
    is_prompt = rank.of_node == 0 and rank.of_domain < policy.prompt_domains
    return policy.prompt_wait_ms if is_prompt else policy.wait_ms


def evacuation_wait_ms(own: NodeName, view: FleetView) -> int | None:
    """Return for how many ms a node's watch of the evacuations waits.

    Returns None if other nodes watch them.
    """
    source = update_source(own, view, EVACUATION_WATCH_POLICY)
    if source is UpdateSource.PEERS:
        return None
    return watch_wait_ms(own, view, EVACUATION_WATCH_POLICY)


class StoreWatcher:
    """Keeps a node's directory up to date with the store.

    The first of the store's scopes holds the records of the fleet; only its
    revision is compared between nodes.  Without settings, or if these don't
    ask for it, evacuations of failure domains are not followed.
    """

    def __init__(
        self,
        own: NodeName,
        platform: Store,
        view: FleetView,
        clock: Clock,
        settings: DaemonSettings | None = None,
    ) -> None:
        self._own = own
        self._platform = platform
        self._view = view
        self._clock = clock
        self._revisions = dict.fromkeys(platform.scopes, 0)
        self._listed_at_ms: dict[str, int] = {}
        self._can_use_config = True  # the one that the store has
        self._evacuations = (
            EvacuationWatcher(
                platform,
                view.evacuations,
                lambda: evacuation_wait_ms(own, view),
                clock,
                Random(str(own)),
            )
            if settings is not None and settings.follow_evacuations
            else None
        )

    @property
    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return the tasks that watch the store."""
        scopes = tuple(partial(self.run, scope) for scope in self._revisions)
        if self._evacuations is None:
            return scopes
        return (*scopes, *self._evacuations.tasks)

    def list_all(self) -> None:
        """Read all objects of all scopes.

        Raises `PlatformError` if the store does not answer.
        """
        for scope in self._revisions:
            self._list(scope)
        if self._evacuations is not None:
            self._evacuations.list_domains()

    def run(self, scope: str) -> None:
        """Watch a scope whenever this node has to; does not return."""
        while True:
            source = update_source(
                self._own, self._view, self._watch_policy(scope)
            )
            if source is UpdateSource.PEERS:
                eventlet.sleep(_SOURCE_POLL_MS / MS_PER_SECOND)
            else:
                self._try_watch(
                    scope, may_be_stale=source is UpdateSource.STALE_STORE
                )

    def _is_record_scope(self, scope: str) -> bool:
        return scope == self._platform.scopes[0]

    def _watch_policy(self, scope: str) -> WatchPolicy:
        return (
            RECORD_WATCH_POLICY
            if self._is_record_scope(scope)
            else CONFIG_WATCH_POLICY
        )

    def _list(self, scope: str) -> None:
        asked_ms = self._clock.now_ms()
        objects, version = self._platform.list(scope)
        self._listed_at_ms[scope] = self._clock.now_ms()
        if self._is_record_scope(scope):
            directory = self._view.directory
            directory.learn_era(self._platform.era)
            directory.apply_listing(objects, version, scope)
            directory.revision = version
        else:
            self._apply(scope, objects, FROM_STORE, asked_ms)
        # What was known before may be of a history that the store has lost.
        self._revisions[scope] = version

    def _list_again(self, scope: str) -> None:
        """List a scope that can't be watched from the known version."""
        elapsed_ms = self._clock.now_ms() - self._listed_at_ms.get(scope, 0)
        pause_ms = max(0, _LIST_INTERVAL_MS - elapsed_ms)
        eventlet.sleep(pause_ms / MS_PER_SECOND)
        self._list(scope)

    def _apply(
        self,
        scope: str,
        objects: tuple[StoredObject, ...],
        source: str,
        asked_ms: int,
    ) -> None:
        directory = self._view.directory
        directory.learn_era(self._platform.era)
        for stored in objects:
            directory.apply(stored, source)
        if not self._is_record_scope(scope):
            self._record_latest(objects, source, asked_ms)

    def _record_latest(
        self, objects: tuple[StoredObject, ...], source: str, asked_ms: int
    ) -> None:
        """Record what an answer of the store proves about the configuration.

        A watch that ends without a change proves nothing: it may have heard of
        none.
        """
        monitor = self._view.directory.config_monitor
        monitor.record_latest(source)
        for stored in objects:
            if stored.name == CONFIG_NAME:
                self._can_use_config = self._is_in_force(stored)
        if objects and source == FROM_STORE and self._can_use_config:
            monitor.record_confirmed(source, asked_ms)

    def _is_in_force(self, stored: StoredObject) -> bool:
        try:
            return has_in_force(self._view.directory, stored)
        except RecordError:
            return False

    def _try_watch(self, scope: str, *, may_be_stale: bool) -> None:
        try:
            self._watch(scope, may_be_stale=may_be_stale)
        except PlatformError:
            # The guarded store has logged it.
            eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def _watch(self, scope: str, *, may_be_stale: bool) -> None:
        wait_ms = watch_wait_ms(
            self._own, self._view, self._watch_policy(scope)
        )
        asked_ms = self._clock.now_ms()
        try:
            changes, version = self._platform.watch(
                scope,
                self._known_revision(scope),
                wait_ms,
                may_be_stale=may_be_stale,
            )
        except CompactedError:
            self._list_again(scope)
            return
        source = FROM_STALE_STORE if may_be_stale else FROM_STORE
        self._apply(scope, changes, source, asked_ms)
        self._revisions[scope] = max(version, self._revisions[scope])
        if self._is_record_scope(scope):
            directory = self._view.directory
            directory.revision = max(version, directory.revision)
        if may_be_stale:
            eventlet.sleep(_STALE_PAUSE_MS / MS_PER_SECOND)
        elif changes and self._is_record_scope(scope):
            # Writers notify their peers; the next call brings a whole batch.
            eventlet.sleep(_BATCH_PAUSE_MS / MS_PER_SECOND)

    def _known_revision(self, scope: str) -> int:
        """Return the revision up to which this node knows a scope."""
        if self._is_record_scope(scope):
            return self._view.directory.revision
        return self._revisions[scope]
