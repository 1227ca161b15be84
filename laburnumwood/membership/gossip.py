"""Propagating changes of records and seals between nodes."""

from collections.abc import Iterable
from typing import Any

from laburnumwood.errors import LinkError
from laburnumwood.events import NODE_SEALED, RECORD_REFUSED
from laburnumwood.membership.directory import Directory, VersionedRecord
from laburnumwood.membership.sent_objects import from_sent, to_sent
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Done, SealNotice
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.store_messages import Changes, Pull, ShardNotice
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import (
    Digest,
    NodeName,
    Seal,
    ShardName,
    ShardRecord,
    StoredObject,
)
from laburnumwood.store.objects import shard_object_name, to_value
from laburnumwood.store.versions import era_of, make_version, revision_of
from laburnumwood.tasks import start

_CALL_TIMEOUT_MS = 1_000


def shard_notice(
    shard: ShardName, entry: VersionedRecord[ShardRecord]
) -> ShardNotice:
    """Return the message that notifies a node of a shard's record."""
    return ShardNotice(
        str(shard),
        entry.record,
        revision_of(entry.version),
        era_of(entry.version) or None,
    )


def apply_shard_notice(directory: Directory, notice: ShardNotice) -> None:
    """Apply a shard's record that another node sent to a directory.

    A notice that names no shard is logged and ignored.
    """
    try:
        name = shard_object_name(ShardName.parse(notice.shard))
    except ValueError as unnamed:
        RECORD_REFUSED.report(object=notice.shard, reason=unnamed)
        return
    value = to_value(notice.record)
    version = _version(directory, notice.era, notice.version)
    directory.apply(StoredObject(name, value, version))


def _version(directory: Directory, era: int | None, revision: int) -> int:
    """Return the version that a peer names.

    A peer that names no era is of an earlier version of the protocol; it is
    taken to be in the first era that this node knew.
    """
    return make_version(era or directory.first_era, revision)


class Gossip:
    """Pulls missing changes from peers, and notifies peers of new ones."""

    def __init__(
        self, view: FleetView, peers: Peers, dispatcher: Dispatcher
    ) -> None:
        self._view = view
        self._peers = peers
        self._pulling_from: set[NodeName] = set()
        dispatcher.on(Pull)(self._serve_exchange)
        dispatcher.on(SealNotice)(self._serve_seals)
        dispatcher.on(ShardNotice)(self._serve_shard)

    def pull_if_newer(self, peer: NodeName, digest: Digest) -> None:
        """Pull from a peer if its digest shows changes unknown to this node."""
        own = self._view.digest()
        self._view.directory.config_monitor.record_current(
            digest.generation, str(peer)
        )
        directory = self._view.directory
        directory.learn_era(digest.era)
        if digest.evacuations is not None:
            self._view.evacuations.learn_notice(digest.evacuations, str(peer))
        known_version = _version(directory, digest.era, digest.revision)
        newer = (
            known_version > directory.revision
            or digest.generation > own.generation
            or digest.seals != own.seals
        )
        if newer and peer not in self._pulling_from:
            self._pulling_from.add(peer)
            start(self._pull, peer)

    def exchange(self, peers: Iterable[NodeName]) -> None:
        """Pull from peers, which learn by it what is in force here."""
        for peer in peers:
            start(self._pull, peer)

    def add_seals(self, seals: tuple[Seal, ...]) -> None:
        """Apply seals and log the nodes that they prove to have lapsed."""
        for seal in seals:
            if self._view.add_seal(seal):
                NODE_SEALED.report(node=seal.holder)

    def notify(self, names: set[NodeName], message: Any) -> None:
        """Send a message to nodes, each in a task of its own.

        A node that can not be reached gets the change by later digests.
        """
        for name in names:
            start(self._notify_one, name, message)

    def _notify_one(self, name: NodeName, message: Any) -> None:
        try:
            self._peers.call(name, message, _CALL_TIMEOUT_MS)
        except LinkError:
            return  # the digests of later renewals make the peer pull it

    def _pull(self, peer: NodeName) -> None:
        directory = self._view.directory
        since = directory.revision
        request = Pull(
            revision_of(since),
            directory.config.generation,
            tuple(
                revision_of(version)
                for version in directory.versions_since(since)
                if era_of(version) == era_of(since)
            ),
            era_of(since) or None,
        )
        try:
            changes = self._peers.call(peer, request, _CALL_TIMEOUT_MS)
        except LinkError:
            return
        finally:
            self._pulling_from.discard(peer)
        if isinstance(changes, Changes):
            self._apply_changes(changes, str(peer))

    def _apply_changes(self, changes: Changes, source: str) -> None:
        directory = self._view.directory
        for stored in changes.objects:
            directory.apply(from_sent(stored, directory.first_era), source)
        reached = _version(directory, changes.era, changes.revision)
        directory.revision = max(reached, directory.revision)
        self.add_seals(changes.seals)

    def _serve_pull(self, _link: Link, stream: Stream, request: Pull) -> None:
        directory = self._view.directory
        since = _version(directory, request.era, request.revision)
        known = [
            _version(directory, request.era, revision)
            for revision in request.known
        ]
        newer = directory.objects_newer_than(since, request.generation, known)
        stream.send(
            Changes(
                objects=tuple(map(to_sent, newer)),
                revision=revision_of(directory.revision),
                whole=not request.revision,
                seals=self._view.seals.seals(),
                era=era_of(directory.revision) or None,
            )
        )

    def _serve_exchange(
        self, link: Link, stream: Stream, request: Pull
    ) -> None:
        """Serve a pull, and pull in turn from a peer that is ahead."""
        self._serve_pull(link, stream, request)
        directory = self._view.directory
        directory.config_monitor.record_current(
            request.generation, str(link.peer)
        )
        is_behind = request.generation > directory.config.generation
        if is_behind and link.peer not in self._pulling_from:
            self._pulling_from.add(link.peer)
            start(self._pull, link.peer)

    def _serve_seals(
        self, _link: Link, stream: Stream, notice: SealNotice
    ) -> None:
        self.add_seals(notice.seals)
        stream.send(Done())

    def _serve_shard(
        self, _link: Link, stream: Stream, notice: ShardNotice
    ) -> None:
        apply_shard_notice(self._view.directory, notice)
        stream.send(Done())
