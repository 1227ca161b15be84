"""Goodput, latency and fairness under overload, with real processes.

Each way of admission gets the same load, in one run: from half to three times
what the workers can do, then a hot key, a slow worker, and a load endpoint
that reports zero for ever.
"""

import json
import subprocess
import sys
from collections import Counter
from dataclasses import asdict, dataclass

from rich.console import Console
from rich.table import Table

from bench.deployment import Deployment, Place, wait_for
from bench.plans import WARM_UP_S, Plan, Tally
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.store.client import HttpStore

_SERVICE = 'trader-portal'
_SLOTS = 4
_NODES = 3
_SHARE = 8
_SHARDS = _SHARE * _NODES
_WORK_MS = 80
_DEADLINE_MS = 1_000
_SPAN_S = 4
_LIMIT_S = 60
_CAPACITY = _NODES * _SLOTS * 1_000 / _WORK_MS  # requests a second
_POLICIES = ('adaptive', 'unlimited', 'fixed-queue')
_LEAST_GOODPUT = 0.9  # of the best at any load, by any policy
_LEAST_COLD = 0.9  # of the requests of keys that are not hot
_MOST_RETRIES = 0.1  # of the load
_MOST_LATE_MS = 100  # by which the generator may miss its schedule

Switches = tuple[tuple[str, float | None], ...]
_DEFAULTS: Switches = (('load_fixed', None), ('slow_factor', 1))

console = Console(width=100)


@dataclass(frozen=True, slots=True)
class Case:
    """A load as a multiple of the capacity, and what is wrong."""

    name: str
    load: float
    hot_share: float = 0
    switches: Switches = ()


CASES = (
    Case('0.5x', 0.5),
    Case('1x', 1),
    Case('2x', 2),
    Case('3x', 3),
    Case('hot key', 1, hot_share=0.5),
    Case('zero load', 3, switches=(('load_fixed', 0),)),
    Case('slow worker', 1, switches=(('slow_factor', 10),)),
)
_LOADS = ('0.5x', '1x', '2x', '3x')


class Trial:
    """A deployment with one way of admission."""

    def __init__(self, policy: str) -> None:
        self._deployment = Deployment()
        self._policy = policy
        self.retries: float = 0

    def run(self) -> dict[str, Tally]:
        """Run all cases and return what came back in each."""
        try:
            self._start()
            found = {
                case.name: self._run_case(number, case)
                for number, case in enumerate(CASES)
            }
            self._count_retries(sum(tally.sent for tally in found.values()))
        finally:
            self._deployment.close()
        return found

    def _start(self) -> None:
        for number in range(_NODES):
            place = Place(f'portal-{number}', f'domain-{number}', _SERVICE)
            place = _with_slots(place)
            admission = {'policy': self._policy}
            self._deployment.add(place, admission=admission)
        service = {
            'key': {'source': 'header', 'name': 'Kiosk'},
            'shards': _SHARDS,
        }
        files = {'10-all.json': {'services': {_SERVICE: service}}}
        platform = HttpStore(self._deployment.platform_url)
        replace_configuration(platform, files, 'bench', Clock())
        wait_for('even shares', self._is_settled, _LIMIT_S)

    def _is_settled(self) -> bool:
        for member in self._deployment.members.values():
            owners = self._deployment.page(member, 'owners').get(_SERVICE, {})
            owned = Counter(owner for owner in owners.values() if owner)
            if len(owned) != _NODES or set(owned.values()) != {_SHARE}:
                return False
        return True

    def _run_case(self, seed: int, case: Case) -> Tally:
        self._switch(case.switches)
        members = self._deployment.members.values()
        plan = Plan(
            doors=[member.door for member in members],
            path=f'/{_SERVICE}/allocations?work_ms={_WORK_MS}',
            key_header='Kiosk',
            rate=_CAPACITY * case.load,
            span_s=_SPAN_S,
            deadline_ms=_DEADLINE_MS,
            hot_share=case.hot_share,
            seed=seed,
        )
        command = [sys.executable, '-m', 'bench.openloop']
        finished = subprocess.run(
            [*command, json.dumps(asdict(plan))],
            stdout=subprocess.PIPE,
            check=True,
            timeout=_LIMIT_S,
        )
        self._switch(_DEFAULTS if case.switches else ())
        return Tally(**json.loads(finished.stdout))

    def _switch(self, switches: Switches) -> None:
        if not switches:
            return
        members = list(self._deployment.members.values())
        one_only = switches[0][0] == 'slow_factor'
        for member in members[:1] if one_only else members:
            self._deployment.http.request(
                'POST',
                f'{member.settings["worker_url"]}/switches',
                json=dict(switches),
            )

    def _count_retries(self, sent: int) -> None:
        entries = self._deployment.entries()
        runs = Counter(entry['request'] for entry in entries)
        self.retries = (runs.total() - len(runs)) / sent


def _with_slots(place: Place) -> Place:
    return Place(
        place.node_id, place.failure_domain, place.service, slots=_SLOTS
    )


def _goodput(tally: Tally) -> float:
    return tally.steady / (_SPAN_S - WARM_UP_S)


def _show(found: dict[str, dict[str, Tally]]) -> None:
    best = _best(found)
    table = Table(title=f'Overload: capacity {_CAPACITY:.0f} requests a second')
    titles = ('policy', 'goodput', '/best', 'p50', 'p99', 'not run', 'cold')
    for title in ('case', *titles, 'late ms'):
        table.add_column(title, justify='right')
    for case in CASES:
        for policy in _POLICIES:
            tally = found[policy][case.name]
            table.add_row(
                case.name,
                policy,
                f'{_goodput(tally):.0f}',
                f'{_goodput(tally) / best:.2f}',
                f'{tally.p50_ms:.0f}',
                f'{tally.p99_ms:.0f}',
                f'{tally.not_run / tally.sent:.1%}',
                f'{tally.cold_good / tally.cold_sent:.1%}',
                f'{tally.latest_start_ms:.0f}',
            )
    console.print(table)


def _best(found: dict[str, dict[str, Tally]]) -> float:
    return max(
        _goodput(tallies[name]) for tallies in found.values() for name in _LOADS
    )


def _misses(found: dict[str, dict[str, Tally]], retries: float) -> list[str]:
    own = found['adaptive']
    ratio = _goodput(own['3x']) / _best(found)
    zero = _goodput(own['zero load']) / _best(found)
    cold = own['hot key'].cold_good / own['hot key'].cold_sent
    untold = sum(tally.without_retry_after for tally in own.values())
    late_ms = max(tally.latest_start_ms for tally in own.values())
    checks = {
        f'goodput at 3x is {ratio:.2f} of the best': ratio < _LEAST_GOODPUT,
        f'with zero reports it is {zero:.2f}': zero < _LEAST_GOODPUT,
        f'beside a hot key {cold:.1%} were served': cold < _LEAST_COLD,
        f'retries are {retries:.1%} of the load': retries > _MOST_RETRIES,
        f'{untold} were shed without Retry-After': untold > 0,
        f'the generator was {late_ms:.0f} ms late': late_ms > _MOST_LATE_MS,
    }
    missed = [text for text, is_missed in checks.items() if is_missed]
    for text in checks:
        console.print('MISSED' if text in missed else 'met', text)
    return missed


def main() -> int:
    """Print the comparison; return 1 if a bound is missed."""
    found = {}
    retries: float = 0
    for policy in _POLICIES:
        trial = Trial(policy)
        found[policy] = trial.run()
        if policy == 'adaptive':
            retries = trial.retries
    _show(found)
    return 1 if _misses(found, retries) else 0


if __name__ == '__main__':
    sys.exit(main())
