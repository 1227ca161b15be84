"""The Welsh deployment in small, followed step by step."""

import getpass
import sys
import time
from collections import Counter
from typing import Any

from rich.console import Console
from rich.table import Table

from bench.deployment import Deployment, Member, Place, wait_for
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.store.client import HttpStore

PORTAL = 'trader-portal'
DOCS = 'inspection-docs'
SHARDS = 24
PLACES = (
    Place('portal-1', 'caerdydd', PORTAL, 'traders-team'),
    Place('portal-2', 'abertawe', PORTAL, 'traders-team'),
    Place('portal-3', 'wrecsam', PORTAL, 'traders-team'),
    Place('docs-1', 'caerdydd', DOCS, 'inspections-team'),
    Place('docs-2', 'abertawe', DOCS, 'inspections-team'),
)
FILES: dict[str, dict[str, Any]] = {
    '10-places.json': {
        'failure_domains': ['caerdydd', 'abertawe', 'wrecsam'],
        'capacity_owners': {
            'traders-team': {'contact': 'traders@example.org'},
            'inspections-team': {'contact': 'inspections@example.org'},
        },
    },
    '20-portal.json': {
        'services': {
            PORTAL: {
                'key': {'source': 'header', 'name': 'Kiosk'},
                'shards': SHARDS,
            },
        },
    },
    '30-docs.json': {'services': {DOCS: {}}},
}
_KIOSKS = 60
_LIMIT_S = 60
_PACK = 200_000  # bytes
_OK = 200

console = Console()


def _step(text: str) -> None:
    console.print(f'[bold]{text}[/bold]')


def _owned(deployment: Deployment, member: Member) -> Counter[str]:
    owners = deployment.page(member, 'owners').get(PORTAL, {})
    return Counter(owner or 'nobody' for owner in owners.values())


def _is_complete(deployment: Deployment, count: int) -> bool:
    members = deployment.members.values()
    running = [each for each in members if each.node.is_running]
    for member in running:
        owned = _owned(deployment, member)
        wrong = len(owned) != count or owned.total() != SHARDS
        if wrong or max(owned.values()) - min(owned.values()) > 1:
            return False
    return True


def _serve_kiosks(deployment: Deployment, member: Member) -> Counter[str]:
    served: Counter[str] = Counter()
    for number in range(_KIOSKS):
        answer = deployment.get(
            f'{member.door}/{PORTAL}/allocations',
            headers={'Kiosk': f'kiosk-{number}'},
        )
        worker = answer.json().get('worker', 'nobody')
        served[worker if answer.status == _OK else 'refused'] += 1
    return served


def _show(title: str, counts: Counter[str]) -> None:
    table = Table(title=title)
    table.add_column('who')
    table.add_column('count', justify='right')
    for name, count in sorted(counts.items()):
        table.add_row(name, str(count))
    console.print(table)


def _start(deployment: Deployment) -> None:
    _step('1. five workers start, a node beside each; the files are applied')
    for place in PLACES:
        deployment.add(place)
    platform = HttpStore(deployment.platform_url)
    record = replace_configuration(platform, FILES, getpass.getuser(), Clock())
    console.print(f'accepted as generation {record.generation}')
    taken = wait_for('shards', lambda: _is_complete(deployment, 3), _LIMIT_S)
    console.print(f'every shard has an owner after {taken:.1f} s')


def _use(deployment: Deployment) -> None:
    _step('2. requests by key, through a door that owns none of the keys')
    door = deployment.members['docs-1']
    _show('answers by worker', _serve_kiosks(deployment, door))
    pack = deployment.get(f'{door.door}/{DOCS}/pack?bytes={_PACK}')
    console.print(f'a floor-plan pack of {len(pack.data)} bytes came whole')


def _kill(deployment: Deployment) -> None:
    victim, door = deployment.members['portal-3'], deployment.members['docs-1']
    key = _key_of(deployment, door, victim)
    _step(f'3. {victim.place.node_id}, owner of {key}, is killed')
    started = time.monotonic()
    victim.node.kill()
    headers = {'Kiosk': key}
    wait_for(
        'the key to be served again',
        lambda: deployment.is_serving(door, f'/{PORTAL}/a', headers=headers),
        _LIMIT_S,
    )
    taken = time.monotonic() - started
    console.print(f'{key} is served again {taken:.2f} s after the loss')
    _show('answers by worker', _serve_kiosks(deployment, door))


def _key_of(deployment: Deployment, door: Member, owner: Member) -> str:
    for number in range(_KIOSKS):
        key = f'kiosk-{number}'
        answer = deployment.get(
            f'{door.door}/{PORTAL}/allocations', headers={'Kiosk': key}
        )
        if answer.json().get('worker') == owner.place.node_id:
            return key
    raise LookupError(f'{owner.place.node_id} owns none of the keys')


def _show_idle(deployment: Deployment) -> None:
    _step('4. idle capacity by the owner who pays for it')
    door = deployment.members['docs-1']
    idle: Counter[str] = Counter()
    for each in deployment.page(door, 'nodes'):
        member = deployment.members[each['node'].partition('#')[0]]
        running = deployment.page(member, 'status')['running']
        idle[each['capacity_owner']] += each['slots'] - running
    _show('idle slots now', idle)


def _stop(deployment: Deployment) -> None:
    _step('5. every node stops gracefully, one after another')
    for member in deployment.members.values():
        if member.node.is_running:
            status = member.node.stop()
            console.print(f'{member.place.node_id}: exit status {status}')


def main() -> int:
    """Run the demonstration and return its exit status."""
    deployment = Deployment()
    try:
        for act in (_start, _use, _kill, _show_idle, _stop):
            act(deployment)
    finally:
        deployment.close()
    return 0


if __name__ == '__main__':
    sys.exit(main())
