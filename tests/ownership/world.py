"""A world of nodes, a network and a store, driven by lines of text."""

from collections.abc import Callable
from contextlib import suppress

from laburnumwood.errors import PlatformError
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import witness_count
from laburnumwood.membership.endings import (
    IncarnationStatus,
    incarnation_status,
)
from laburnumwood.membership.node_records import confirm_lost, join, record_end
from laburnumwood.records import KeyRange, NodeName, ShardName, ShardRecord
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.objects import shard_object, to_value
from laburnumwood.store.writes import new_mark
from tests.ownership.clocks import DriftingClock, WorldClock
from tests.ownership.network import VMS, Network, Parcel
from tests.ownership.node import SERVICE, Code, FakeNode
from tests.ownership.store import FakeStore
from tests.ownership.worker import WorkerSide

SHARDS = (ShardName(SERVICE, 0), ShardName(SERVICE, 1))
STEP_MS = 50
_RATES = (1.0, 1.012, 0.99, 1.005, 0.993)
_SETTLING_STEPS = 30


class TwoActorsError(AssertionError):
    """More than one incarnation may act for a shard at one moment."""


class NobodyActsError(AssertionError):
    """A shard has no owner long after all faults have ended."""


class TokenFellError(AssertionError):
    """An actor has a fencing token that is not above an earlier one's."""


def node_settings(node_id: str) -> DaemonSettings:
    """Return the settings of a VM of the world."""
    number = VMS.index(node_id)
    return DaemonSettings(
        node_id=node_id,
        failure_domain=f'domain-{number % 3}',
        peer_port=1,
        door_port=1,
        operator_port=1,
        platform_url='http://platform',
        worker_url='http://worker',
        service=SERVICE,
        capacity_owner='team',
        shared_key='not-used-by-tests',
    )


class World:
    """Runs the lines of a script and judges after every step.

    It knows all nodes at one moment, which no node does.  With workers, each
    VM has one that reports to its node and holds what it is answered.
    """

    def __init__(self, code: Code, *, has_workers: bool = False) -> None:
        self.steps = 0
        self.calms = 0
        self.script: list[str] = []
        self.store = FakeStore()
        self.network = Network()
        self._code = code
        self._time = WorldClock()
        self._nodes: dict[str, FakeNode] = {}
        self._ending: dict[str, list[FakeNode]] = {}
        self._tokens: dict[ShardName, tuple[int, NodeName]] = {}
        self._clocks = {
            vm: DriftingClock(self._time, number * 977, _RATES[number])
            for number, vm in enumerate(VMS)
        }
        self._workers = (
            WorkerSide(self._time, self._clocks) if has_workers else None
        )
        for vm in VMS:
            self._start(vm)
        self._create_shards()
        self._tick(_SETTLING_STEPS)

    def run(self, line: str) -> None:
        """Carry out one line: a command and its arguments."""
        self.script.append(line)
        command, *arguments = line.split()
        _COMMANDS[command](self, *arguments)
        self._judge()

    def owner(self, shard: ShardName) -> NodeName | None:
        """Return who may act for a shard."""
        return next(iter(self._actors(shard)), None)

    @property
    def nodes(self) -> tuple[FakeNode, ...]:
        """Return the nodes that run."""
        return tuple(self._nodes.values())

    def node(self, vm: str) -> FakeNode:
        """Return the node on a VM."""
        return self._nodes[vm]

    def is_up(self, vm: str) -> bool:
        """Tell whether a process runs on a VM."""
        return vm in self._nodes

    def first_two(self, number: int) -> tuple[str, str]:
        """Return the VMs of a shard's owner and first successor."""
        name = shard_object(SHARDS[number])
        newest = [each for each in self.store.history if each.name == name][-1]
        names = (newest.value or {})['succession']
        ids = [NodeName.parse(each).node_id for each in names]
        ids.extend(vm for vm in VMS if vm not in ids)
        return ids[0], ids[1]

    def _start(self, vm: str, before: FakeNode | None = None) -> None:
        """Start a process, or the next incarnation of one that runs."""
        settings = node_settings(vm)
        if self._workers is not None and before is None:
            self._workers.begin_process(vm)
        ended = before.name if before and before.may_be_followed else None
        if before is not None and ended is None:
            self._ending.setdefault(vm, []).append(before)
        first = before.witness.name.incarnation if before else None
        try:
            name, _ = join(self.store, settings, new_mark(vm), ended, first)
            node = self._make(name, vm, before.witness if before else None)
            node.start(before.silent_ids if before else frozenset())
        except PlatformError:
            return
        self._nodes[vm] = node

    def _make(
        self, name: NodeName, vm: str, witness: Witness | None
    ) -> FakeNode:
        return FakeNode(
            name,
            self._code,
            self._clocks[vm],
            self.store,
            lambda target, what: self._send(vm, target, what),
            witness,
            self._workers.reporting[vm] if self._workers else None,
        )

    def _create_shards(self) -> None:
        for shard, order in zip(SHARDS, ('abc', 'bcd'), strict=True):
            names = tuple(NodeName(vm, 1) for vm in order)
            record = ShardRecord(1, names)
            self.store.create(shard_object(shard), to_value(record))
        for node in self._nodes.values():
            node.start()

    def _await_owners(self, most: str) -> None:
        """Let time pass until every shard has an owner."""
        for _ in range(int(most)):
            if all(self.owner(shard) for shard in SHARDS):
                self.calms += 1
                return
            self._tick(1)
        raise NobodyActsError(f'{self.script}')

    def _send(
        self, source: str, target: str, what: Callable[[FakeNode], None]
    ) -> None:
        def arrive() -> None:
            if target in self._nodes:
                what(self._nodes[target])

        self.network.send(Parcel(source, target, arrive))

    def _tick(self, count: str | int) -> None:
        for _ in range(int(count)):
            self.steps += 1
            self._time.now_ms += STEP_MS
            self.network.deliver()
            self._judge()
            for vm, node in tuple(self._nodes.items()):
                if vm not in self.network.paused:
                    self._step(vm, node)
            if self._workers is not None:
                awake = set(self._nodes) - self.network.paused
                self._workers.step(awake)
            self.network.deliver()
            self._judge()

    def _step(self, vm: str, node: FakeNode) -> None:
        self._record_ends(vm)
        known = incarnation_status(node.lease, node.view)
        if known is IncarnationStatus.ACTIVE and node.stands_still():
            known = IncarnationStatus.LAPSED
        if known is IncarnationStatus.ACTIVE:
            node.step()
        elif known is IncarnationStatus.REPLACED:
            node.end()
            self._nodes.pop(vm)
        elif self.store.mode == 'up':
            node.end()
            self._start(vm, node)

    def _record_ends(self, vm: str) -> None:
        for before in tuple(self._ending.get(vm, ())):
            if before.may_be_followed:
                with suppress(PlatformError):
                    record_end(self.store, before.name)
                    self._ending[vm].remove(before)

    def _actors(self, shard: ShardName) -> dict[NodeName, int]:
        return {
            node.name: node.held_shards.tokens()[shard]
            for node in self._nodes.values()
            if node.lease.is_held() and node.held_shards.is_open(shard)
        }

    def _judge(self) -> None:
        for shard in SHARDS:
            if self._workers is not None:
                self._workers.judge(shard, self.script)
            actors = self._actors(shard)
            if len(actors) > 1:
                raise TwoActorsError(f'{shard}: {actors} {self.script}')
            for name, token in actors.items():
                self._judge_token(shard, token, name)

    def _judge_token(
        self, shard: ShardName, token: int, name: NodeName
    ) -> None:
        highest, holder = self._tokens.get(shard, (0, name))
        if token < highest or (token == highest and name != holder):
            raise TokenFellError(f'{shard}: {name} {token} {self.script}')
        self._tokens[shard] = (token, name)

    def _crash(self, vm: str) -> None:
        self._ending.pop(vm, None)
        self._nodes.pop(vm, None)

    def _restart(self, vm: str) -> None:
        self._crash(vm)
        self.network.paused.discard(vm)
        self._start(vm)

    def _confirm(self, vm: str) -> None:
        confirm_lost(self.store, NodeName(vm, 1), 'operator')

    def _deaf(self, vm: str) -> None:
        if vm in self._nodes:
            self._nodes[vm].is_deaf = True

    def _hear(self, vm: str) -> None:
        if vm in self._nodes:
            self._nodes[vm].is_deaf = False

    def _stale(self, vm: str) -> None:
        if vm in self._nodes:
            for stored in self.store.history:
                self._nodes[vm].view.directory.apply(stored)

    def _move(self, number: str, target: str) -> None:
        shard = SHARDS[int(number)]
        owner = self.owner(shard)
        node = self._nodes.get(owner.node_id) if owner else None
        record = node and node.view.directory.nodes.get(target)
        if node is None or not record or target == node.name.node_id:
            return
        node.move(shard, NodeName(target, record.record.incarnation))

    def _split(self, number: str) -> None:
        shard = SHARDS[int(number)]
        owner = self.owner(shard)
        node = self._nodes.get(owner.node_id) if owner else None
        record = node and node.view.directory.shard(shard)
        if node is not None and record:
            place = len(record.record.split_off) * len(SHARDS) + int(number)
            node.split(shard, KeyRange(place, place))

    def _witnesses(self, vm: str, first: str) -> None:
        node = self._nodes.get(vm)
        if node is None or node.lease.is_changing or not node.lease.is_held():
            return
        witnesses = sorted(node.view.witnesses())
        live = [name for name in witnesses if name.node_id != vm]
        order = live[int(first) :] + live[: int(first)]
        chosen = tuple(order[: witness_count(len(live))])
        if chosen:
            node.change_witnesses(chosen)


def _pause(world: World, vm: str) -> None:
    world.network.paused.add(vm)


def _resume(world: World, vm: str) -> None:
    world.network.paused.discard(vm)


def _set_store(world: World, mode: str) -> None:
    world.store.mode = mode


def _land(world: World) -> None:
    world.store.land()


def _twin(world: World, vm: str) -> None:
    join(world.store, node_settings(vm))


def _spoil(world: World, number: str) -> None:
    world.store.spoil(shard_object(SHARDS[int(number)]))


_COMMANDS: dict[str, Callable[..., None]] = {
    'tick': World._tick,
    'owned': World._await_owners,
    'crash': World._crash,
    'restart': World._restart,
    'confirm': World._confirm,
    'twin': _twin,
    'spoil': _spoil,
    'pause': _pause,
    'resume': _resume,
    'cut': lambda world, *vms: world.network.cut(*vms),
    'cut-from': lambda world, *vms: world.network.cut_from(*vms),
    'cut-to': lambda world, *vms: world.network.cut_to(*vms),
    'heal': lambda world, *vms: world.network.heal(*vms),
    'heal-to': lambda world, *vms: world.network.heal_to(*vms),
    'lose': lambda world, *vms: world.network.lose(*vms),
    'network': lambda world, *how: world.network.disturb(*how),
    'store': _set_store,
    'land': _land,
    'deaf': World._deaf,
    'hear': World._hear,
    'stale': World._stale,
    'move': World._move,
    'split': World._split,
    'witnesses': World._witnesses,
}
