"""A late report of a worker lets a restarted node give away held keys."""

import os
import sys
import time
from pathlib import Path

from review.lib.record import now_s
from review.lib.world import World, run_case

_SERVICE = 'portal'
_NODES = ('p1', 'p2', 'p3', 'p4', 'p5')
_SETTLE_S = 5
_KILLS_BEFORE = 4
_BETWEEN_KILLS_S = 2.0
_RESTART_DELAY_S = 0.1
_LATE_S = 1.0
_WORK_MS = 3_000
_BUDGET_MS = 4_000
_LONGEST_OVERLAP_S = 0.5
_WATCH_S = 6.0

Report = dict[str, object]


def _delay_empty_reports(world: World) -> list[Report]:
    """Hold back every second report without keys, as a slow path does.

    Returns a list with the last one; those before it are lost.
    """
    worker = world.members['p1'].worker
    held_back: list[Report] = []

    def intercept(_body: bytes, content: Report) -> bool:
        is_even = int(str(content['seq'])) % 2 == 0
        if content['holds'] or is_even or now_s() < start_s:
            return True
        held_back[:] = [content]
        world.record.note('report-delayed', seq=content['seq'])
        return False

    start_s = now_s()
    worker.intercept = intercept
    return held_back


def _deliver(world: World, report: Report, until_s: float) -> None:
    """Deliver a delayed report as soon as the node takes connections."""
    worker = world.members['p1'].worker
    while now_s() < until_s:
        if worker.post('Heartbeat', report) is not None:
            # The worker gave this report up long ago: no reply counts.
            world.record.note('report-arrives-late', seq=report['seq'])
            return
        time.sleep(0.002)


def _key_held(world: World) -> int | None:
    """Return a key that the worker beside p1 holds now."""
    worker = world.members['p1'].worker
    held = (
        row.first
        for row in world.ledger.rows
        if row.worker == worker.name
        and row.ended_s is None
        and not row.dropping
    )
    return next(held, None)


def _kill_and_restart(world: World) -> None:
    world.kill('p1')
    time.sleep(_RESTART_DELAY_S)
    world.start('p1')


def _await_keys(world: World) -> int:
    world.wait('keys', lambda: _key_held(world) is not None, 20)
    key = _key_held(world)
    assert key is not None
    return key


def _case(folder: Path, trouble: bool) -> bool:
    world = World(folder, {_SERVICE: True})
    try:
        for number, name in enumerate(_NODES):
            domain = f'zone-{number % 3}'
            world.add(name, domain, _SERVICE, drops_on_close=False)
        world.start_all()
        _await_keys(world)
        time.sleep(_SETTLE_S)
        delayed: list[Report] = []
        for number in range(_KILLS_BEFORE if trouble else 0):
            if number == _KILLS_BEFORE - 1:
                delayed = _delay_empty_reports(world)
            _kill_and_restart(world)
            time.sleep(_BETWEEN_KILLS_S)
        return _run_and_kill(world, delayed, trouble)
    finally:
        world.close()


def _await_report(world: World) -> None:
    """Wait until the worker's next report was answered."""
    worker = world.members['p1'].worker
    answered = worker.answered
    world.wait('a report', lambda: worker.answered > answered, 3)


def _delay_next_report(world: World) -> None:
    """Let the worker's next report, with its keys, be a second late too."""
    worker = world.members['p1'].worker

    def intercept(_body: bytes, content: Report) -> bool:
        worker.intercept = None
        world.record.note('report-delayed', seq=content['seq'])
        world.in_background(lambda: _deliver_after(world, content, _LATE_S))
        return False

    worker.intercept = intercept


def _deliver_after(world: World, report: Report, delay_s: float) -> None:
    time.sleep(delay_s)
    world.members['p1'].worker.post('Heartbeat', report)
    world.record.note('report-arrives-late', seq=report['seq'])


def _run_and_kill(world: World, delayed: list[Report], trouble: bool) -> bool:
    key = _await_keys(world)
    _await_report(world)
    runs_before = len(world.ledger.runs)
    world.in_background(
        lambda: world.ask(
            'p3', _SERVICE, key=key, ms=_WORK_MS, budget_ms=_BUDGET_MS
        )
    )
    world.wait(
        'the request to run', lambda: len(world.ledger.runs) > runs_before, 2
    )
    if trouble:
        _delay_next_report(world)
        world.kill('p1')
        if os.environ.get('LATE', '1') != '0':
            until_s = now_s() + _WATCH_S
            world.in_background(lambda: _deliver(world, delayed[0], until_s))
        time.sleep(_RESTART_DELAY_S)
        world.start('p1')
    time.sleep(_WATCH_S)
    return _judge(world)


def _judge(world: World) -> bool:
    """Return whether no two workers had the same keys against the rule."""
    longest_s = 0.0
    for both_s, row, other in world.ledger.overlaps():
        longest_s = max(longest_s, both_s)
        world.record.note(
            'held-by-two',
            first=row.first,
            by=row.worker,
            and_by=other.worker,
            seconds=f'{both_s:.3f}',
        )
    for each in world.ledger.takeovers:
        world.record.note(
            'taken-while-at-work',
            first=each.row.first,
            by=each.row.worker,
            at_work=each.busy.worker,
            left_s=f'{each.left_s:.3f}',
        )
    world.record.note(
        'judged',
        longest_overlap_s=f'{longest_s:.3f}',
        taken_while_at_work=len(world.ledger.takeovers),
    )
    return longest_s <= _LONGEST_OVERLAP_S and not world.ledger.takeovers


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).resolve().parent))
