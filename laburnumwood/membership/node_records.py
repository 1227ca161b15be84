"""Writing the records of nodes: joining, leaving, ends and witness sets."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace

from laburnumwood.errors import PlatformConflictError, PlatformError
from laburnumwood.events import LOSS_CONFIRMED
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    NumberRange,
    StoredObject,
    WitnessSet,
    WriteMark,
)
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import node_object_name, to_record
from laburnumwood.store.versions import first_number, next_number
from laburnumwood.store.writes import new_mark, write

_MAX_ATTEMPTS = 5  # at a change of a record

RecordChange = Callable[[NodeRecord], NodeRecord]
WitnessSets = tuple[WitnessSet, ...]


def unchanged(record: NodeRecord) -> NodeRecord:
    """Return a record unchanged."""
    return record


def _initial_record(settings: DaemonSettings) -> NodeRecord:
    return NodeRecord(
        incarnation=0,
        open_incarnations=(),
        host=settings.host,
        peer_port=settings.advertised_peer_port or settings.peer_port,
        door_port=settings.caller_address[1],
        operator_port=settings.operator_port or 0,
        failure_domain=settings.failure_domain,
        service=settings.service,
        capacity_owner=settings.capacity_owner,
        slots=settings.slots,
        connections=settings.connections,
        shares_memory=True,
    )


@dataclass(frozen=True, slots=True)
class ProcessHistory:
    """What a process knows of the incarnations that it had itself.

    `ended` is the last one if it has ended, `unfinished` are the numbers of
    those that have not, and `first` is the number of the first one, None if
    there was none.  `confirmed_era` is the last era that it has confirmed: what
    it promised as a witness is known in no later one.
    """

    ended: NodeName | None = None
    unfinished: tuple[int, ...] = ()
    first: int | None = None
    confirmed_era: int = 0


def _record_of_next_incarnation(
    settings: DaemonSettings,
    before: NodeRecord | None,
    history: ProcessHistory,
    era: int,
) -> NodeRecord:
    incarnation = first_number(era)
    if before is not None:
        incarnation = next_number(
            before.incarnation, before.incarnation_era, era
        )
    before = before or _initial_record(settings)
    still_open = {*before.open_incarnations, *history.unfinished}
    if history.ended is not None:
        still_open.discard(history.ended.incarnation)
    return replace(
        _initial_record(settings),
        incarnation=incarnation,
        open_incarnations=(*sorted(still_open), incarnation),
        witness_as=history.first or incarnation,
        confirmed_era=era if history.first is None else history.confirmed_era,
        incarnation_era=era,
        forgotten=_forgotten_numbers(before, history.first or incarnation),
        worker_departures=before.worker_departures,
    )


def _forgotten_numbers(
    before: NodeRecord, own_first: int
) -> NumberRange | None:
    """Return the incarnations that the store may have had and forgotten.

    They are those of earlier processes: a process knows its own, which begin
    with `own_first`.
    """
    first = before.incarnation + 1
    if before.forgotten is not None:
        first = before.forgotten.first
    last = own_first - 1
    return NumberRange(first, last) if first <= last else None


def _write_record(
    platform: Store, node_id: str, record: NodeRecord, condition: int | None
) -> StoredObject:
    return write(platform, node_object_name(node_id), record, condition)


def change_record(
    platform: Store,
    node_id: str,
    change: RecordChange,
    mark: WriteMark | None = None,
) -> StoredObject:
    """Change a node's record, retrying when another write came between.

    Returns the stored record; nothing is written if `change` leaves it equal.
    Raises `PlatformConflictError` if the node has no record or other writes
    come between again and again, as when the store has a record of a form that
    is not known here, and `PlatformError` if the platform does not answer.
    """
    mark = mark or new_mark(node_id)
    for _ in range(_MAX_ATTEMPTS):
        stored = platform.get(node_object_name(node_id))
        if stored is None:
            raise PlatformConflictError(node_id)
        before = to_record(NodeRecord, stored)
        changed = replace(change(before), mark=mark)
        if replace(changed, mark=before.mark) == before:
            return stored
        with suppress(PlatformConflictError):
            return _write_record(
                platform, node_id, changed, stored.write_condition
            )
    raise PlatformConflictError(node_id)


def _without_incarnation(
    record: NodeRecord, ended: NodeName | None
) -> NodeRecord:
    ended_number = ended.incarnation if ended else 0
    still_open = set(record.open_incarnations).difference((ended_number,))
    return replace(record, open_incarnations=tuple(sorted(still_open)))


def _is_joined(record: NodeRecord, mark: WriteMark, era: int) -> bool:
    """Return whether a record is that of a join, with a number of an era.

    The era may become known only by the answer to the write.
    """
    return record.mark == mark and record.incarnation_era >= era


def join(
    platform: Store,
    settings: DaemonSettings,
    mark: WriteMark | None = None,
    history: ProcessHistory | None = None,
    *,
    serves: bool = True,
) -> tuple[NodeName, NodeRecord]:
    """Record a new incarnation of this node; return its name and its record.

    `history` tells of earlier incarnations of this process, None if this is
    its first.  `serves` is whether it is known that the worker accepts work.
    Raises `PlatformError` if the platform does not answer; call again with the
    same mark then, so that a write whose answer was lost is recognised and not
    repeated.
    """
    mark = mark or new_mark(settings.node_id)
    while True:
        stored = platform.get(node_object_name(settings.node_id))
        before = to_record(NodeRecord, stored) if stored else None
        if before is not None and _is_joined(before, mark, platform.era):
            return NodeName(settings.node_id, before.incarnation), before
        next_record = _record_of_next_incarnation(
            settings,
            before,
            history or ProcessHistory(),
            platform.era,
        )
        joined = replace(next_record, mark=mark, serves=serves)
        condition = stored.write_condition if stored else None
        with suppress(PlatformConflictError):
            _write_record(platform, settings.node_id, joined, condition)
            if _is_joined(joined, mark, platform.era):
                return NodeName(settings.node_id, joined.incarnation), joined


def without_incarnations_up_to(
    record: NodeRecord, incarnation: int
) -> NodeRecord:
    """Return a record in which all incarnations up to a number have ended."""
    still_open = [
        number for number in record.open_incarnations if number > incarnation
    ]
    is_over = record.forgotten and record.forgotten.last <= incarnation
    return replace(
        record,
        open_incarnations=tuple(still_open),
        forgotten=None if is_over else record.forgotten,
    )


def _with_leaving(record: NodeRecord, name: NodeName) -> NodeRecord:
    is_current = record.incarnation == name.incarnation
    return replace(record, leaving=record.leaving or is_current)


def announce_leaving(platform: Store, name: NodeName) -> None:
    """Record that an incarnation is leaving, so that it gets no more shards.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: _with_leaving(before, name),
    )


def record_end(platform: Store, name: NodeName) -> None:
    """Record that an incarnation has ended.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: _without_incarnation(before, name),
    )


def confirm_era(
    platform: Store, name: NodeName, era: int, sets: WitnessSets
) -> None:
    """Record that a node has written back what an era had forgotten.

    `sets` are the witness sets of its lease, which the record names besides
    those that it has.  Raises
    `PlatformError` if the platform does not answer, or if a later incarnation
    has joined.
    """

    def change(before: NodeRecord) -> NodeRecord:
        if before.incarnation != name.incarnation:
            raise PlatformConflictError(str(name))
        known = {each.version: each for each in (*before.witness_sets, *sets)}
        all_sets = tuple(each for _, each in sorted(known.items()))
        return replace(before, confirmed_era=era, witness_sets=all_sets)

    change_record(platform, name.node_id, change)


def is_store_reachable(platform: Store, name: NodeName) -> bool:
    """Return whether the store answers a read of a node's record now."""
    try:
        platform.get(node_object_name(name.node_id))
    except PlatformError:
        return False
    return True


def record_end_if_unchanged(
    platform: Store, name: NodeName, expected: NodeRecord, condition: int
) -> StoredObject:
    """Record the end of an incarnation if its node's record is unchanged.

    `expected` is the record as read before, under the version `condition`.
    Raises `PlatformConflictError` if the record has changed since, and
    `PlatformUnavailableError` if the outcome is not known.
    """
    record = replace(
        _without_incarnation(expected, name), mark=new_mark(name.node_id)
    )
    return _write_record(platform, name.node_id, record, condition)


def record_earlier_ends(platform: Store, name: NodeName) -> None:
    """Record that all earlier incarnations of a node have ended.

    Raises `PlatformError` if the platform does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: without_incarnations_up_to(before, name.incarnation - 1),
    )


def confirm_lost(platform: Store, name: NodeName, who: str) -> None:
    """Record an operator's assertion that an incarnation has ended.

    All earlier incarnations of the node count as ended too.  The operator
    `who` must be certain that the process no longer runs: the shards get new
    owners whatever the witnesses know.  Raises `PlatformError` if the platform
    does not answer.
    """
    change_record(
        platform,
        name.node_id,
        lambda before: without_incarnations_up_to(before, name.incarnation),
        new_mark(who),
    )
    LOSS_CONFIRMED.report(node=name, who=who)


def _change_witness_sets(
    platform: Store,
    name: NodeName,
    choose: Callable[[WitnessSets], WitnessSets],
    other_change: RecordChange,
) -> None:
    def change(before: NodeRecord) -> NodeRecord:
        if before.incarnation != name.incarnation:
            raise PlatformConflictError(str(name))
        sets = choose(before.witness_sets)
        return other_change(replace(before, witness_sets=sets))

    change_record(platform, name.node_id, change)


def drop_older_witness_sets(
    platform: Store, name: NodeName, chosen: WitnessSet
) -> None:
    """Record that a lease no longer depends on older witness sets.

    Sets with a version below that of `chosen` are removed from the record.
    Raises `PlatformError`, also if a later incarnation has joined.
    """

    def without_older(sets: WitnessSets) -> WitnessSets:
        return tuple(
            witness_set
            for witness_set in sets
            if witness_set.version >= chosen.version
        )

    _change_witness_sets(platform, name, without_older, unchanged)


def record_witness_sets(
    platform: Store,
    name: NodeName,
    sets: WitnessSets,
    other_change: RecordChange = unchanged,
) -> None:
    """Record all witness sets that a lease may depend on from now on.

    `other_change` is applied to the record in the same write.  Raises
    `PlatformError`, also if a later incarnation has joined.
    """
    _change_witness_sets(platform, name, lambda _before: sets, other_change)
