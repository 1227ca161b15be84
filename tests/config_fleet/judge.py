"""Judges the decisions of a simulated fleet by the rules of the soak."""

from collections.abc import Iterable, Iterator
from dataclasses import replace

from tests.config_fleet.fleet import Decided, SimulatedFleet
from tests.config_fleet.schedule import Strain, World
from tests.soak.configurations import CONFIG_RULES, ConfigRecord, find_late
from tests.soak.manifests import ManifestChange

# Within which a change has to be in force: no proof may be older.
MAX_PROOF_MS = 2_000
# By so much this time grows while the store is disturbed, as long as it is
# neither down nor slow nor loses answers.
_OUTER_MS = 5_000
_OUTER_TROUBLES = frozenset(
    ('the store turns nodes away', 'the store drops its history')
)
_LATE = 'a request was handled by a configuration replaced long ago'
_OLD_PROOF = 'a request was decided by an old proof'
_REJECTED = 'a request was rejected though the fleet was not drowned'
_DROWNED_LOOP_MS = 500  # by more than which turns are late


def find_violations(
    fleet: SimulatedFleet, in_touch: Iterable[Decided]
) -> Iterator[str]:
    """Yield what broke a rule in a run; see `find_in_touch`."""
    record = fleet.record()
    for rule, find in CONFIG_RULES.items():
        for evidence in find(record):
            yield f'{rule}: {evidence}'
    for evidence in find_late(_with_outer_bound(record)):
        yield f'{_LATE}: {evidence}'
    for decided in in_touch:
        is_old = not 0 <= decided.age_ms <= MAX_PROOF_MS
        if is_old and not decided.is_rejected:
            call = decided.call
            where = f'{call.request.node} at {call.sent_ms:.0f}'
            yield (
                f'{_OLD_PROOF}: {decided.age_ms} ms at {where}, last renewal: '
                f'{decided.renewal}'
            )
        if decided.is_rejected and not _is_drowned(fleet.world):
            yield f'{_REJECTED}: {decided.call.request.attempt_id}'


def _is_drowned(world: World) -> bool:
    return world.late_loop_ms > _DROWNED_LOOP_MS or world.strain != Strain()


def find_in_touch(fleet: SimulatedFleet) -> Iterator[Decided]:
    """Yield what was decided while nothing harmed the node or the store."""
    record = fleet.record()
    for decided in fleet.observed.decided:
        if record.is_in_touch(decided.call):
            yield decided


def _with_outer_bound(record: ConfigRecord) -> ConfigRecord:
    return replace(
        record,
        changes=[_settled_later(each) for each in record.changes],
        disturbances=[
            each
            for each in record.disturbances
            if each.fault not in _OUTER_TROUBLES
        ],
    )


def _settled_later(change: ManifestChange) -> ManifestChange:
    settled_ms = change.settled_ms
    assert settled_ms is not None
    return replace(change, settled_ms=settled_ms + _OUTER_MS)
