"""How a node announces itself and takes its leave."""

from collections.abc import Callable
from dataclasses import replace

from laburnumwood.errors import PlatformConflictError
from laburnumwood.platform.client import Platform
from laburnumwood.platform.objects import node_object, to_record
from laburnumwood.platform.writes import marked, write
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.settings import DaemonSettings

Change = Callable[[NodeRecord], NodeRecord]


def _first_record(settings: DaemonSettings) -> NodeRecord:
    return NodeRecord(
        incarnation=0,
        open_incarnations=(),
        host=settings.host,
        peer_port=settings.advertised_peer_port or settings.peer_port,
        door_port=settings.door_port,
        operator_port=settings.operator_port,
        failure_domain=settings.failure_domain,
        service=settings.service,
        capacity_owner=settings.capacity_owner,
        slots=settings.slots,
        connections=settings.connections,
    )


def _joined(settings: DaemonSettings, before: NodeRecord) -> NodeRecord:
    incarnation = before.incarnation + 1
    return replace(
        _first_record(settings),
        incarnation=incarnation,
        open_incarnations=(*before.open_incarnations, incarnation),
    )


def change_record(
    platform: Platform, node_id: str, change: Change, absent: NodeRecord | None
) -> NodeRecord:
    """Change a node's record, again and again until no other write is first.

    `absent` stands for the record if there is none yet.  Raises
    `PlatformError` if the platform does not answer.
    """
    name = node_object(node_id)
    while True:
        stored = platform.get(name)
        before = to_record(NodeRecord, stored) if stored else absent
        if before is None:
            raise PlatformConflictError(name)
        record = marked(change(before), node_id)
        try:
            write(platform, name, record, stored.version if stored else None)
        except PlatformConflictError:
            continue
        return record


def join(
    platform: Platform, settings: DaemonSettings
) -> tuple[NodeName, NodeRecord]:
    """Announce this node under a new incarnation and return both.

    Raises `PlatformError` if the platform does not answer.
    """
    record = change_record(
        platform,
        settings.node_id,
        lambda before: _joined(settings, before),
        _first_record(settings),
    )
    return NodeName(settings.node_id, record.incarnation), record


def _without(record: NodeRecord, incarnation: int) -> NodeRecord:
    still_open = set(record.open_incarnations).difference((incarnation,))
    return replace(record, open_incarnations=tuple(sorted(still_open)))


def leave(platform: Platform, name: NodeName) -> None:
    """Record that an incarnation has ended.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: _without(before, name.incarnation),
        None,
    )
