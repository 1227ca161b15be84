"""One crash of a worker bars a harmless request for ten minutes."""

import random
import sys
import time
from pathlib import Path

from review.lib.record import now_s
from review.lib.world import CONTACT_S, Reply, World, run_case

_SERVICE = 'docs'
_NODES = ('p1', 'p2', 'p3')
_WORK_MS = 500
_BETWEEN_S = 0.04
_BEFORE_S = 4.0
_DOWN_S = 4.5
_SETTLE_S = 6.0
_JUDGED_S = 12.0
_THINGS = 60_000
_KINDS = ('safe', 'download', 'download')  # sent together
_LEAST_SHARE = 0.25


class Traffic:
    """Requests of two kinds: many things, and one that all ask for."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.replies: dict[str, list[Reply]] = {'safe': [], 'download': []}

    def send_for(self, lasts_s: float) -> None:
        """Send both kinds at a steady rate, and wait for the answers."""
        until_s = now_s() + lasts_s
        threads = []
        while now_s() < until_s:
            for kind in _KINDS:
                threads.append(
                    self._world.in_background(lambda each=kind: self._ask(each))
                )
            time.sleep(_BETWEEN_S)
        for thread in threads:
            thread.join()

    def served_shares(self) -> dict[str, float]:
        """Return the shares that were served, and forget the replies."""
        replies = self.replies
        self.replies = {kind: [] for kind in replies}
        replies['all'] = [each for kind in replies.values() for each in kind]
        return {
            kind: sum(each.status == 200 for each in found) / len(found)
            for kind, found in replies.items()
        }

    def _ask(self, kind: str) -> None:
        thing = 'plan'
        if kind == 'safe':
            thing = str(random.randrange(_THINGS))
        reply = self._world.ask(
            random.choice(_NODES), _SERVICE, kind, ms=_WORK_MS, path=thing
        )
        self.replies[kind].append(reply)


def _case(folder: Path, trouble: bool) -> bool:
    world = World(folder, {_SERVICE: False})
    try:
        for number, name in enumerate(_NODES):
            world.add(name, f'zone-{number}', _SERVICE)
        world.start_all()
        time.sleep(CONTACT_S + 1)
        world.add_downloads()
        time.sleep(CONTACT_S)
        traffic = Traffic(world)
        traffic.send_for(_BEFORE_S)
        world.record.note('before', served=traffic.served_shares())
        sending = world.in_background(lambda: traffic.send_for(_DOWN_S))
        time.sleep(1)
        worker = world.members['p1'].worker
        if trouble:
            worker.crash()
        sending.join()
        if trouble:
            worker.start()
        traffic.send_for(_SETTLE_S)
        traffic.served_shares()
        traffic.send_for(_JUDGED_S)
        shares = traffic.served_shares()
        world.record.note('judged', served=shares)
        return shares['download'] >= _LEAST_SHARE * shares['all']
    finally:
        world.close()


if __name__ == '__main__':
    sys.exit(run_case(_case, Path(__file__).resolve().parent))
