"""Readers: the few nodes of a failure domain that watch the store."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

import eventlet
from xxhash import xxh3_64_intdigest

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    CompactedError,
    PlatformError,
)
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, StoredObject
from laburnumwood.store.interface import Store

_IDLE_MS = 500
_RETRY_MS = 500
_BATCH_MS = 250  # between two watches of records
_STALE_PAUSE_MS = 1_000  # between two watches that may be stale


class UpdateSource(Enum):
    """How a node learns of changes in the store."""

    STORE = 'it watches the store'
    STALE_STORE = (
        'it watches what may be seconds old, in case the others are cut off'
    )
    PEERS = 'other nodes tell it'


@dataclass(frozen=True, slots=True)
class WatchPolicy:
    """How many nodes watch a scope, and for how long at a time.

    Of the readers of a failure domain the first `fresh` watch the store
    itself, in no more than `domains` domains.  The others accept changes that
    come seconds late, which costs the store little.
    """

    watchers_per_domain: int
    fresh_per_domain: int
    fresh_domains: int
    wait_ms: int


RECORD_WATCH_POLICY = WatchPolicy(
    watchers_per_domain=2, fresh_per_domain=1, fresh_domains=3, wait_ms=10_000
)
# The configuration seldom changes, and has to reach nodes whose readers the
# store turns away.
CONFIG_WATCH_POLICY = WatchPolicy(
    watchers_per_domain=32, fresh_per_domain=8, fresh_domains=32, wait_ms=30_000
)


def _domain_order(domain: str) -> int:
    return xxh3_64_intdigest(f'reader {domain}'.encode())


def update_source(
    own: NodeName, view: FleetView, readers: WatchPolicy
) -> UpdateSource:
    """Return how a node learns of changes, by its place among the live nodes.

    One that leaves hears no more news by renewals and reads for itself.
    """
    live = dict(view.live_nodes())
    if own not in live:
        return UpdateSource.STORE
    domain = live[own].failure_domain
    near = (
        name for name, each in live.items() if each.failure_domain == domain
    )
    place = rendezvous_order(f'reader {domain}', near).index(own)
    if place >= readers.watchers_per_domain:
        return UpdateSource.PEERS
    domains = {each.failure_domain for each in live.values()}
    first = sorted(domains, key=_domain_order)[: readers.fresh_domains]
    is_fresh = place < readers.fresh_per_domain and domain in first
    return UpdateSource.STORE if is_fresh else UpdateSource.STALE_STORE


class StoreWatcher:
    """Keeps a node's directory up to date with the store.

    The first of the store's scopes holds the records of the fleet; only its
    revision counts for what nodes tell each other.
    """

    def __init__(self, own: NodeName, platform: Store, view: FleetView) -> None:
        self._own = own
        self._platform = platform
        self._view = view
        self._revisions = dict.fromkeys(platform.scopes, 0)

    @property
    def tasks(self) -> tuple[Callable[[], None], ...]:
        """Return what has to run to watch the store."""
        return tuple(partial(self.run, each) for each in self._revisions)

    def list_all(self) -> None:
        """Read the whole store once; raises `PlatformError`."""
        for scope in self._revisions:
            self._list(scope)

    def run(self, scope: str) -> None:
        """Watch a scope while this node is a reader; does not return."""
        while True:
            reading = update_source(self._own, self._view, self._readers(scope))
            if reading is UpdateSource.PEERS:
                eventlet.sleep(_IDLE_MS / MS_PER_SECOND)
            else:
                self._watch_once(
                    scope, may_be_stale=reading is UpdateSource.STALE_STORE
                )

    def _is_records(self, scope: str) -> bool:
        return scope == self._platform.scopes[0]

    def _readers(self, scope: str) -> WatchPolicy:
        return (
            RECORD_WATCH_POLICY
            if self._is_records(scope)
            else CONFIG_WATCH_POLICY
        )

    def _list(self, scope: str) -> None:
        objects, revision = self._platform.list(scope)
        self._take(scope, objects, revision)

    def _take(
        self, scope: str, objects: tuple[StoredObject, ...], revision: int
    ) -> None:
        directory = self._view.directory
        for stored in objects:
            directory.apply(stored)
        self._revisions[scope] = max(revision, self._revisions[scope])
        if self._is_records(scope):
            directory.revision = max(revision, directory.revision)

    def _watch_once(self, scope: str, *, may_be_stale: bool) -> None:
        try:
            self._watch(scope, may_be_stale=may_be_stale)
        except PlatformError:
            # The guarded store has told of it.
            eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def _watch(self, scope: str, *, may_be_stale: bool) -> None:
        wait_ms = self._readers(scope).wait_ms
        try:
            changes, revision = self._platform.watch(
                scope, self._known(scope), wait_ms, may_be_stale=may_be_stale
            )
        except CompactedError:
            self._list(scope)
            return
        self._take(scope, changes, revision)
        if may_be_stale:
            eventlet.sleep(_STALE_PAUSE_MS / MS_PER_SECOND)
        elif changes and self._is_records(scope):
            # Writers tell their peers; one call can bring many changes.
            eventlet.sleep(_BATCH_MS / MS_PER_SECOND)

    def _known(self, scope: str) -> int:
        """Return the revision up to which a scope is known here."""
        if self._is_records(scope):
            return self._view.directory.revision
        return self._revisions[scope]
