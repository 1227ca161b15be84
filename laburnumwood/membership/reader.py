"""Readers: the few nodes of a failure domain that watch the store."""

from collections.abc import Callable
from functools import partial

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    CompactedError,
    PlatformError,
)
from laburnumwood.membership.choice import rendezvous
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, StoredObject
from laburnumwood.store.interface import Store

READERS_PER_DOMAIN = 2
# The configuration seldom changes, and has to reach nodes whose readers the
# store turns away.
CONFIG_READERS_PER_DOMAIN = 32
_WATCH_MS = 10_000
_CONFIG_WATCH_MS = 30_000
_IDLE_MS = 500
_RETRY_MS = 500
_BATCH_MS = 250  # between two watches of records


def is_reader(
    own: NodeName, view: FleetView, count: int = READERS_PER_DOMAIN
) -> bool:
    """Tell whether a node is one of those that watch for its failure domain.

    One that leaves hears no more news by renewals and reads for itself.
    """
    live = dict(view.live())
    record = live.get(own)
    if record is None:
        return True
    domain = record.failure_domain
    near = (
        name for name, each in live.items() if each.failure_domain == domain
    )
    return own in rendezvous(f'reader {domain}', near)[:count]


class Reader:
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
            if self._is_reader_of(scope):
                self._watch_once(scope)
            else:
                eventlet.sleep(_IDLE_MS / MS_PER_SECOND)

    def _is_records(self, scope: str) -> bool:
        return scope == self._platform.scopes[0]

    def _is_reader_of(self, scope: str) -> bool:
        count = CONFIG_READERS_PER_DOMAIN
        if self._is_records(scope):
            count = READERS_PER_DOMAIN
        return is_reader(self._own, self._view, count)

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

    def _watch_once(self, scope: str) -> None:
        try:
            self._watch(scope)
        except PlatformError:
            # The guarded store has told of it.
            eventlet.sleep(_RETRY_MS / MS_PER_SECOND)

    def _watch(self, scope: str) -> None:
        known = self._known(scope)
        wait_ms = _WATCH_MS if self._is_records(scope) else _CONFIG_WATCH_MS
        try:
            changes, revision = self._platform.watch(scope, known, wait_ms)
        except CompactedError:
            self._list(scope)
            return
        self._take(scope, changes, revision)
        if changes and self._is_records(scope):
            # Writers tell their peers; one call can bring many changes.
            eventlet.sleep(_BATCH_MS / MS_PER_SECOND)

    def _known(self, scope: str) -> int:
        """Return the revision up to which a scope is known here."""
        if self._is_records(scope):
            return self._view.directory.revision
        return self._revisions[scope]
