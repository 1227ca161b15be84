"""How a node announces itself and takes its leave."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from laburnumwood.errors import PlatformConflictError, PlatformError
from laburnumwood.events import LOSS_CONFIRMED
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    StoredObject,
    WitnessSet,
    WriteMark,
)
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import node_object, to_record, to_value
from laburnumwood.store.writes import new_mark, write

Change = Callable[[NodeRecord], NodeRecord]
WitnessSets = tuple[WitnessSet, ...]


def unchanged(record: NodeRecord) -> NodeRecord:
    """Return a record as it is."""
    return record


def _first_record(settings: DaemonSettings) -> NodeRecord:
    return NodeRecord(
        incarnation=0,
        open_incarnations=(),
        host=settings.host,
        peer_port=settings.advertised_peer_port or settings.peer_port,
        door_port=settings.door[1],
        operator_port=settings.operator_port or 0,
        failure_domain=settings.failure_domain,
        service=settings.service,
        capacity_owner=settings.capacity_owner,
        slots=settings.slots,
        connections=settings.connections,
        serves=settings.report_address is None,
    )


def _joined(
    settings: DaemonSettings, before: NodeRecord, witness_as: int | None
) -> NodeRecord:
    incarnation = before.incarnation + 1
    return replace(
        _first_record(settings),
        incarnation=incarnation,
        open_incarnations=(*before.open_incarnations, incarnation),
        witness_as=witness_as or incarnation,
    )


def _written(
    platform: Store, node_id: str, record: NodeRecord, version: int | None
) -> StoredObject:
    name = node_object(node_id)
    written = write(platform, name, record, version)
    return StoredObject(name, to_value(record), written)


def change_record(
    platform: Store,
    node_id: str,
    change: Change,
    mark: WriteMark | None = None,
) -> StoredObject:
    """Change a node's record, again and again until no other write is first.

    Raises `PlatformError` if there is none, or the platform does not answer.
    """
    mark = mark or new_mark(node_id)
    while True:
        stored = platform.get(node_object(node_id))
        if stored is None:
            raise PlatformConflictError(node_id)
        before = to_record(NodeRecord, stored)
        changed = replace(change(before), mark=mark)
        if replace(changed, mark=before.mark) == before:
            return stored
        with suppress(PlatformConflictError):
            return _written(platform, node_id, changed, stored.version)


def _without(record: NodeRecord, ended: NodeName | None) -> NodeRecord:
    gone = ended.incarnation if ended else 0
    still_open = set(record.open_incarnations).difference((gone,))
    return replace(record, open_incarnations=tuple(sorted(still_open)))


def join(
    platform: Store,
    settings: DaemonSettings,
    mark: WriteMark | None = None,
    ended: NodeName | None = None,
    witness_as: int | None = None,
) -> tuple[NodeName, NodeRecord]:
    """Announce this node under a new incarnation and return both.

    `ended` is the earlier one of this process, which acts no more, and
    `witness_as` the first one of this process, None if this is it.
    Raises `PlatformError` if the platform does not answer; then call again
    with the same mark, so that a write whose answer was lost counts.
    """
    mark = mark or new_mark(settings.node_id)
    while True:
        stored = platform.get(node_object(settings.node_id))
        before = to_record(NodeRecord, stored) if stored else None
        if before is not None and before.mark == mark:
            return NodeName(settings.node_id, before.incarnation), before
        known = _without(before or _first_record(settings), ended)
        joined = replace(_joined(settings, known, witness_as), mark=mark)
        version = stored.version if stored else None
        with suppress(PlatformConflictError):
            _written(platform, settings.node_id, joined, version)
            return NodeName(settings.node_id, joined.incarnation), joined


def without_incarnations_up_to(
    record: NodeRecord, incarnation: int
) -> NodeRecord:
    """Return a record by which no incarnation up to a number goes on."""
    kept = [each for each in record.open_incarnations if each > incarnation]
    return replace(record, open_incarnations=tuple(kept))


def _leaving(record: NodeRecord, name: NodeName) -> NodeRecord:
    same = record.incarnation == name.incarnation
    return replace(record, leaving=record.leaving or same)


def announce_leaving(platform: Store, name: NodeName) -> None:
    """Record that nothing more is to be given to an incarnation.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: _leaving(before, name),
    )


def record_end(platform: Store, name: NodeName) -> None:
    """Record that an incarnation has ended.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(platform, name.node_id, lambda before: _without(before, name))


def is_store_reachable(platform: Store, name: NodeName) -> bool:
    """Tell whether a node's record can be read now."""
    try:
        platform.get(node_object(name.node_id))
    except PlatformError:
        return False
    return True


def record_end_if_unchanged(
    platform: Store, name: NodeName, seen: NodeRecord, version: int
) -> StoredObject:
    """Record the end of an incarnation over just the version that was seen.

    Raises `PlatformConflictError` if the record has changed since, and
    `PlatformUnreachableError` if the outcome is not known.
    """
    record = replace(_without(seen, name), mark=new_mark(name.node_id))
    return _written(platform, name.node_id, record, version)


def record_earlier_ends(platform: Store, name: NodeName) -> None:
    """Record that all incarnations of a node before one have ended.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: without_incarnations_up_to(before, name.incarnation - 1),
    )


def confirm_lost(platform: Store, name: NodeName, who: str) -> None:
    """Record that an operator asserts that an incarnation has ended.

    All earlier ones of that node have then ended too.  It must be certain
    that its process acts no more: with this its shards get new owners,
    whatever its witnesses know.  Raises `PlatformError`.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: without_incarnations_up_to(before, name.incarnation),
        new_mark(who),
    )
    LOSS_CONFIRMED.report(node=name, who=who)


def _change_sets(
    platform: Store,
    name: NodeName,
    choose: Callable[[WitnessSets], WitnessSets],
    also: Change,
) -> None:
    def change(before: NodeRecord) -> NodeRecord:
        if before.incarnation != name.incarnation:
            raise PlatformConflictError(str(name))
        sets = choose(before.witness_sets)
        return also(replace(before, witness_sets=sets))

    change_record(platform, name.node_id, change)


def drop_older_witness_sets(
    platform: Store, name: NodeName, chosen: WitnessSet
) -> None:
    """Record that a lease no longer rests on sets older than a chosen one.

    Raises `PlatformError`, also if a later incarnation has joined.
    """

    def kept(sets: WitnessSets) -> WitnessSets:
        return tuple(each for each in sets if each.version >= chosen.version)

    _change_sets(platform, name, kept, unchanged)


def record_witness_sets(
    platform: Store,
    name: NodeName,
    sets: WitnessSets,
    also: Change = unchanged,
) -> None:
    """Record all sets of witnesses that a lease may rest on from now on.

    `also` changes what else is known by then, by the same write.  Raises
    `PlatformError`, also if a later incarnation has joined.
    """
    _change_sets(platform, name, lambda _before: sets, also)
