"""A late second copy of a refusal makes a request that runs look refused."""

import sys
import time
from collections.abc import Callable
from pathlib import Path

from review.lib.record import now_s
from review.lib.world import CONTACT_S, Reply, World, run_case

_SERVICE = 'docs'
# The doses of both disruptions, within those of the users' site file.
_SHED_SHARE = 0.15
_SHEDS_FOR_S = 8.5
_EXTRA_SHARE = 0.03
_EXTRAS_FOR_S = 5.0
_EXTRA_DELAY_S = 0.06
_PAUSE_S = 3.5
_TIMES = 7
_WORK_MS = 120
_BETWEEN_S = 0.01
_PROMISES = frozenset((408, 421, 429, 503))


def _case(folder: Path, trouble: bool) -> bool:
    world = World(folder, {_SERVICE: False, 'portal': True})
    replies: list[Reply] = []

    def send() -> None:
        replies.append(world.ask('p1', _SERVICE, 'unsafe', ms=_WORK_MS))

    try:
        world.add('p1', 'zone-1', _SERVICE)
        world.add('p2', 'zone-2', 'portal')
        world.add('p3', 'zone-3', 'portal')
        world.start_all()
        time.sleep(CONTACT_S + 1)
        worker = world.members['p1'].worker
        worker.extra_delay_s = _EXTRA_DELAY_S
        for _ in range(_TIMES):
            worker.shed_share = _SHED_SHARE
            worker.extra_share = _EXTRA_SHARE if trouble else 0.0
            _send_for(world, send, _EXTRAS_FOR_S)
            worker.extra_share = 0.0
            _send_for(world, send, _SHEDS_FOR_S - _EXTRAS_FOR_S)
            worker.shed_share = 0.0
            if not _judge(world, replies):
                break
            _send_for(world, send, _PAUSE_S)
        time.sleep(2)
        return _judge(world, replies, note=True)
    finally:
        world.close()


def _send_for(world: World, send: Callable[[], None], lasts_s: float) -> None:
    """Send requests at a steady rate for some time."""
    until_s = now_s() + lasts_s
    while now_s() < until_s:
        world.in_background(send)
        time.sleep(_BETWEEN_S)


def _judge(world: World, replies: list[Reply], *, note: bool = False) -> bool:
    """Return whether nothing ran that was answered with a promise."""
    ran = {run.attempt for run in tuple(world.ledger.runs)}
    broken = [
        reply
        for reply in tuple(replies)
        if reply.status in _PROMISES and reply.attempt in ran
    ]
    if note:
        for reply in broken:
            world.record.note(
                'refused-and-ran', attempt=reply.attempt, status=reply.status
            )
        world.record.note(
            'judged',
            requests=len(replies),
            refused=sum(reply.status in _PROMISES for reply in replies),
            refused_and_ran=len(broken),
        )
    return not broken


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).resolve().parent))
