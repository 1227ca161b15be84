"""A fleet of one service that is broken and mended again."""

import time
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from bench.calls import Call
from bench.deployment import Deployment, Member, Place, wait_for
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.store.client import HttpStore

DOMAINS = ('caerdydd', 'abertawe', 'wrecsam')
SHARDS = 12
KEY_HEADER = 'Kiosk'
_KEYS = 30
_START_S = 90
_STORE_STATES: dict[str, dict[str, Any]] = {
    'out of service': {'outage': True},
    'back in service': {'outage': False},
    'losing answers': {'lose_answers': 6, 'lose_prefix': 'shards/'},
}

Strike = Callable[['Fleet', Member], None]
STRIKES: dict[str, Strike] = {}


def _strike(name: str) -> Callable[[Strike], Strike]:
    def register(strike: Strike) -> Strike:
        STRIKES[name] = strike
        return strike

    return register


class Fleet:
    """Nodes `node-1`, `node-2` ... in three failure domains, all relayed."""

    def __init__(
        self, service: str, nodes: int, *, shards: int = SHARDS
    ) -> None:
        self.service = service
        self.is_trusted = True
        self.struck_incarnation = 0
        self.calls: list[Call] = []
        self.deployment = Deployment()
        self._shards = shards
        self._paused: set[str] = set()
        self._hidden: set[str] = set()
        for number in range(nodes):
            domain = DOMAINS[number % len(DOMAINS)]
            place = Place(f'node-{number + 1}', domain, service)
            self.deployment.add(place, relayed=True)
        key = {'source': 'header', 'name': KEY_HEADER}
        declared = {'services': {service: {'key': key, 'shards': shards}}}
        platform = HttpStore(self.deployment.platform_url)
        replace_configuration(
            platform, {'10-all.json': declared}, 'bench', Clock()
        )

    @property
    def members(self) -> list[Member]:
        """Return all members."""
        return list(self.deployment.members.values())

    def reachable(self) -> list[Member]:
        """Return the members that callers can use."""
        return [
            member
            for member in self.members
            if member.node.is_running
            and member.place.node_id not in self._paused | self._hidden
        ]

    def doors(self) -> Sequence[str]:
        """Return the doors that callers can use."""
        return [member.door for member in self.reachable()]

    def other_door(self, than: Member) -> str:
        """Return the door of another node."""
        return next(door for door in self.doors() if door != than.door)

    def owner_of(self, key: str) -> Member:
        """Return the member whose worker answers for a key."""
        door = self.doors()[0]
        answer = self._ask(door, key)
        return self.deployment.members[answer.json()['worker']]

    def incarnation(self, member: Member) -> int:
        """Return the incarnation under which a node goes."""
        name = self.deployment.page(member, 'status')['node']
        return int(name.partition('#')[2])

    def strike(self, event: str, member: Member) -> None:
        """Let something befall a member."""
        if member.place.node_id not in self._paused:
            self.struck_incarnation = self.incarnation(member)
        STRIKES[event](self, member)

    def hide(self, member: Member) -> None:
        """Let callers use other doors."""
        self._hidden.add(member.place.node_id)

    def pause(self, member: Member) -> None:
        """Stop a node until it is resumed."""
        self._paused.add(member.place.node_id)
        member.node.pause()

    def resume(self, member: Member) -> None:
        """Let a paused node go on."""
        member.node.resume()
        self._paused.discard(member.place.node_id)

    def set_store(self, state: str) -> None:
        """Let the store be out of service, in service, or lose answers."""
        self.deployment.fault(**_STORE_STATES[state])

    def restart(self, member: Member, limit_s: float) -> int:
        """Stop a node gracefully, start it again and wait until it serves."""
        self.hide(member)
        status = member.node.stop(limit_s)
        self.deployment.restart_node(member)
        self._wait_ready(member, limit_s)
        self._hidden.discard(member.place.node_id)
        return status

    def repair(self, limit_s: float) -> None:
        """Restart, resume and clear everything, and wait until it is even."""
        self.deployment.fault(outage=False, lose_answers=0, delay_ms=0)
        for route in self.deployment.routes():
            self.deployment.clear(route)
        for member in self.members:
            self._repair_member(member)
        self._hidden.clear()
        wait_for('settled', self._is_settled, limit_s)

    def wait_served(self, limit_s: float) -> float:
        """Wait until every key is served at every door; return the seconds."""
        started = time.monotonic()
        for member in self.reachable():
            for number in range(_KEYS):
                key = f'kiosk-{number}'
                check = partial(self.is_served, member.door, key)
                wait_for(f'{key} at {member.place.node_id}', check, limit_s)
        return time.monotonic() - started

    def is_served(self, door: str, key: str) -> bool:
        """Tell whether a key is served at a door."""
        answer = self._ask(door, key)
        return answer.status == 200

    def owned_by(self) -> dict[str, str]:
        """Return the owner of each shard as one node sees it."""
        page = self.deployment.page(self.reachable()[0], 'owners')
        return page.get(self.service, {})

    def close(self) -> None:
        """End every process."""
        self.deployment.close()

    def _ask(self, door: str, key: str) -> Any:
        url = f'{door}/{self.service}/x'
        return self.deployment.get(url, headers={KEY_HEADER: key}, timeout=3)

    def _repair_member(self, member: Member) -> None:
        if member.place.node_id in self._paused:
            self.resume(member)
        if not member.worker.is_running:
            self.deployment.restart_worker(member)
        wait_for('a worker', partial(self._thaw_worker, member), _START_S)
        if not member.node.is_running:
            self.deployment.restart_node(member)

    def _thaw_worker(self, member: Member) -> bool:
        self.deployment.worker_switch(member, frozen=False)
        return True

    def _wait_ready(self, member: Member, limit_s: float) -> None:
        def is_ready() -> bool:
            return self.deployment.page(member, 'status')['holds_lease']

        wait_for(member.place.node_id, is_ready, limit_s)

    def _is_settled(self) -> bool:
        return all(self._sees_order(member) for member in self.members)

    def _sees_order(self, member: Member) -> bool:
        status = self.deployment.page(member, 'status')
        backed = len(status['witnesses']) >= min(len(self.members), 3)
        if not backed or not status['holds_lease']:
            return False
        owners = self.deployment.page(member, 'owners')
        owned = Counter(
            owner for owner in owners.get(self.service, {}).values() if owner
        )
        whole = owned.total() == self._shards
        # The balancer may leave any share that is not worth a move.
        return whole and len(owned) == len(self.members)


def imbalance(owners: dict[str, str]) -> float:
    """Return the largest share of shards by the mean share."""
    owned = Counter(owners.values())
    return max(owned.values()) * len(owned) / owned.total()


def _hinder_pair(
    fleet: Fleet, source: Member, sink: Member, **how: Any
) -> None:
    only = f'Laburnumwood-Node: {source.place.node_id}#'
    fleet.deployment.hinder(f'{sink.place.node_id}.peer', only=only, **how)


@_strike('killed')
def _kill(fleet: Fleet, member: Member) -> None:
    member.node.kill()


@_strike('told to stop')
def _terminate(fleet: Fleet, member: Member) -> None:
    fleet.hide(member)
    member.node.terminate()


@_strike('frozen')
def _freeze(fleet: Fleet, member: Member) -> None:
    fleet.pause(member)


@_strike('thawed')
def _thaw(fleet: Fleet, member: Member) -> None:
    fleet.resume(member)


@_strike('left with a frozen worker')
def _freeze_worker(fleet: Fleet, member: Member) -> None:
    fleet.deployment.worker_switch(member, frozen=True)


@_strike('cut from its witnesses')
def _cut_witnesses(fleet: Fleet, member: Member) -> None:
    for other in fleet.members:
        if other is not member:
            _hinder_pair(fleet, member, other, cut=True)


@_strike('out of reach of all others')
def _cut_peers(fleet: Fleet, member: Member) -> None:
    fleet.deployment.hinder(f'{member.place.node_id}.peer', cut=True)


@_strike('silently cut from its witnesses')
def _silence_witnesses(fleet: Fleet, member: Member) -> None:
    for other in fleet.members:
        if other is not member:
            _hinder_pair(fleet, member, other, silent=True, silent_new=True)


@_strike('cut from one other node')
def _cut_pair(fleet: Fleet, member: Member) -> None:
    other = next(each for each in fleet.members if each is not member)
    _hinder_pair(fleet, member, other, cut=True)
    _hinder_pair(fleet, other, member, cut=True)


@_strike('cut from the store')
def _cut_store(fleet: Fleet, member: Member) -> None:
    fleet.deployment.hinder(f'{member.place.node_id}.platform', cut=True)


@_strike('left with silent links')
def _silence_links(fleet: Fleet, member: Member) -> None:
    fleet.deployment.hinder(f'{member.place.node_id}.peer', silent=True)


@_strike('left with links that break in mid-request')
def _break_requests(fleet: Fleet, member: Member) -> None:
    _break_often(fleet, member, 'to_target')


@_strike('left with links that break in mid-answer')
def _break_answers(fleet: Fleet, member: Member) -> None:
    _break_often(fleet, member, 'to_client')


def _break_often(fleet: Fleet, member: Member, direction: str) -> None:
    route = f'{member.place.node_id}.peer'
    for size in range(200, 4_200, 400):
        fleet.deployment.hinder(route, cut_after=size, cut_direction=direction)
        time.sleep(0.15)
