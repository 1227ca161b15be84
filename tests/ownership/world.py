"""A simulation of nodes, a network and a store, run by a script."""

from collections.abc import Callable
from contextlib import suppress

from laburnumwood.errors import PlatformError
from laburnumwood.leases.witness import Witness
from laburnumwood.membership.choice import witness_count
from laburnumwood.membership.incarnation_ends import (
    IncarnationStatus,
    incarnation_status,
)
from laburnumwood.membership.node_records import (
    ProcessHistory,
    confirm_lost,
    join,
    record_end,
)
from laburnumwood.records import NodeName, ShardName, ShardRecord
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.objects import (
    SHARD_PREFIX,
    shard_object_name,
    to_value,
)
from laburnumwood.store.writes import new_mark
from tests.ownership.checks import KeyChecks, ServiceChecks
from tests.ownership.clocks import STEP_MS, DriftingClock, SimulatedTime
from tests.ownership.keys import SERVICE, SHARDS, upper_half
from tests.ownership.network import VMS, Message, Network
from tests.ownership.node import Components, FakeNode
from tests.ownership.store import FakeStore, StoreContents
from tests.ownership.worker import SimulatedWorkers

_CLOCK_RATES = (1.0, 1.012, 0.99, 1.005, 0.993)
_STARTUP_STEPS = 30


class NoActingOwnerError(AssertionError):
    """A shard has no owner long after all faults have ended."""


def node_settings(node_id: str) -> DaemonSettings:
    """Return the settings of a VM of the simulation."""
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


def _process_history(
    previous: FakeNode | None, unfinished: list[FakeNode]
) -> ProcessHistory:
    """Return what a process knows of its incarnations.

    The previous one is added to the unfinished ones if it has not ended.
    """
    if previous is None:
        return ProcessHistory()
    ended = previous.name if previous.has_no_grants else None
    if ended is None:
        unfinished.append(previous)
    numbers = tuple(each.name.incarnation for each in unfinished)
    first = previous.witness.name.incarnation
    record = previous.view.directory.node(previous.name)
    confirmed_era = record.confirmed_era if record else 0
    return ProcessHistory(ended, numbers, first, confirmed_era)


class Simulation:
    """Runs the lines of a script and checks ownership after every step.

    The checks see all nodes at the same moment, as no node can.  With
    `has_workers`, each VM has a worker that reports to its node and holds the
    keys it is granted.  All checks raise a subclass of `AssertionError`.
    """

    def __init__(
        self, components: Components, *, has_workers: bool = False
    ) -> None:
        self.steps = 0
        self.recoveries = 0
        self.script: list[str] = []
        self.store = StoreContents()
        self.clients: dict[str, FakeStore] = {}
        self.network = Network()
        self._components = components
        self._time = SimulatedTime()
        self._nodes: dict[str, FakeNode] = {}
        self._unrecorded_ends: dict[str, list[FakeNode]] = {}
        self._checks = KeyChecks(self.script)
        self._service_checks = ServiceChecks(self.script)
        self._clocks = {
            vm: DriftingClock(self._time, number * 977, _CLOCK_RATES[number])
            for number, vm in enumerate(VMS)
        }
        self._workers = (
            SimulatedWorkers(
                self._time,
                self._clocks,
                self.script,
                components.reporting_worker,
            )
            if has_workers
            else None
        )
        self._prepare_store()
        for vm in VMS:
            self._start(vm)
        self._create_shards()
        self._tick(_STARTUP_STEPS)
        self.store.oldest_copy = self.store.revision

    def run(self, line: str) -> None:
        """Run one line, a command and its arguments, and check ownership."""
        self.script.append(line)
        command, *arguments = line.split()
        self._find_command(command)(self, *arguments)
        self._check()

    def owner(self, shard: ShardName) -> NodeName | None:
        """Return the incarnation that may act for a shard, or None."""
        return next(iter(self._acting_owners(shard)), None)

    @property
    def nodes(self) -> tuple[FakeNode, ...]:
        """Return the nodes that run."""
        return tuple(self._nodes.values())

    def node(self, vm: str) -> FakeNode:
        """Return the node whose process runs on a VM."""
        return self._nodes[vm]

    def is_running(self, vm: str) -> bool:
        """Return whether a process runs on a VM."""
        return vm in self._nodes

    def shards(self) -> tuple[ShardName, ...]:
        """Return all shards, those that were split off last."""
        names = {each.name: None for each in self.store.history}
        found = (
            ShardName.parse(name.removeprefix(SHARD_PREFIX))
            for name in names
            if name.startswith(SHARD_PREFIX)
        )
        return tuple(dict.fromkeys((*SHARDS, *found)))

    def owner_and_successor(self, number: int) -> tuple[str, str]:
        """Return the VMs of the first two nodes in a shard's succession."""
        name = shard_object_name(SHARDS[number])
        newest = [each for each in self.store.history if each.name == name][-1]
        names = (newest.value or {})['succession']
        ids = [NodeName.parse(each).node_id for each in names]
        ids.extend(vm for vm in VMS if vm not in ids)
        return ids[0], ids[1]

    def _find_command(self, command: str) -> Callable[..., None]:
        return _COMMANDS[command]

    def _prepare_store(self) -> None:
        """Write what the store has before the first process starts."""

    def _start(self, vm: str, previous: FakeNode | None = None) -> None:
        """Start a process, or the next incarnation of a running one."""
        settings = node_settings(vm)
        if previous is None:
            self._start_process(vm)
        client = self.clients[vm]
        unfinished = self._unrecorded_ends.setdefault(vm, [])
        history = _process_history(previous, unfinished)
        try:
            name, _ = join(client, settings, new_mark(vm), history)
            node = self._make_node(
                name, vm, previous.witness if previous else None
            )
            node.start(previous.silent_witness_ids if previous else frozenset())
        except PlatformError:
            return
        self._nodes[vm] = node

    def _start_process(self, vm: str) -> None:
        self.clients[vm] = FakeStore(self.store)
        if self._workers is not None:
            self._workers.start_process(vm)

    def _make_node(
        self, name: NodeName, vm: str, witness: Witness | None
    ) -> FakeNode:
        return FakeNode(
            name,
            self._components,
            self._clocks[vm],
            self.clients[vm],
            lambda target, action: self._send(vm, target, action),
            witness,
            self._workers.reporting_workers[vm] if self._workers else None,
        )

    def _create_shards(self) -> None:
        for shard, order in zip(SHARDS, ('abc', 'bcd'), strict=True):
            names = tuple(NodeName(vm, 1) for vm in order)
            record = ShardRecord(1, names, era=1, epoch_era=1)
            client = FakeStore(self.store)
            client.create(shard_object_name(shard), to_value(record))
        for node in self._nodes.values():
            node.start()

    def _await_owners(self, max_steps: str) -> None:
        """Run steps until every shard has an owner."""
        for _ in range(int(max_steps)):
            if all(self.owner(shard) for shard in SHARDS):
                self.recoveries += 1
                return
            self._tick(1)
        raise NoActingOwnerError(f'{self.script}')

    def _send(
        self, source: str, target: str, action: Callable[[FakeNode], None]
    ) -> None:
        def deliver() -> None:
            if target in self._nodes:
                action(self._nodes[target])

        self.network.send(Message(source, target, deliver))

    def _tick(self, count: str | int) -> None:
        for _ in range(int(count)):
            self.steps += 1
            self._time.now_ms += STEP_MS
            self.network.deliver_ready()
            self._check()
            for vm, node in tuple(self._nodes.items()):
                if vm not in self.network.paused:
                    self._step(vm, node)
            if self._workers is not None:
                running = set(self._nodes) - self.network.paused
                self._workers.step(running)
            self.network.deliver_ready()
            self._check()

    def _step(self, vm: str, node: FakeNode) -> None:
        self._record_ends(vm)
        status = incarnation_status(node.lease, node.view)
        if status is IncarnationStatus.ACTIVE and node.must_rejoin():
            status = IncarnationStatus.LAPSED
        if status is IncarnationStatus.ACTIVE:
            node.step()
        elif status is IncarnationStatus.REPLACED:
            node.end()
            self._nodes.pop(vm)
        elif self.store.mode == 'up':
            node.end()
            self._start(vm, node)

    def _record_ends(self, vm: str) -> None:
        for previous in tuple(self._unrecorded_ends.get(vm, ())):
            if previous.has_no_grants:
                with suppress(PlatformError):
                    record_end(self.clients[vm], previous.name)
                    self._unrecorded_ends[vm].remove(previous)

    def _acting_owners(self, shard: ShardName) -> dict[NodeName, int]:
        return {
            node.name: node.held_shards.tokens()[shard]
            for node in self._nodes.values()
            if node.lease.is_held() and node.held_shards.is_open(shard)
        }

    def _check(self) -> None:
        if self._workers is not None:
            self._workers.check_holders()
        self._checks.check_keys(self._nodes.values())
        self._service_checks.check(
            self._nodes.values(),
            self._time.now_ms,
            is_faulty=self._is_faulty(),
        )
        for shard in SHARDS:
            self._checks.check_shard(shard, self._acting_owners(shard))

    def _is_faulty(self) -> bool:
        """Return whether the store, a VM or a link fails now."""
        is_any_refused = any(each.is_refused for each in self.clients.values())
        is_store_up = self.store.mode == 'up' and not is_any_refused
        return not is_store_up or self.network.is_faulty

    def _crash(self, vm: str) -> None:
        self._unrecorded_ends.pop(vm, None)
        self._nodes.pop(vm, None)

    def _restart(self, vm: str) -> None:
        self._crash(vm)
        self.network.paused.discard(vm)
        self._start(vm)

    def _owned_shard(self, number: str) -> tuple[ShardName, FakeNode | None]:
        """Return a shard and the node that may act for it, if any."""
        shards = self.shards()
        shard = shards[int(number) % len(shards)]
        owner = self.owner(shard)
        return shard, self._nodes.get(owner.node_id) if owner else None

    def _move(self, number: str, target: str) -> None:
        shard, node = self._owned_shard(number)
        record = node and node.view.directory.nodes.get(target)
        if node is None or not record or target == node.name.node_id:
            return
        node.move(shard, NodeName(target, record.record.incarnation))

    def _split(self, number: str, vm: str = '') -> None:
        shard, node = self._owned_shard(number)
        entry = node and node.view.directory.shard(shard)
        if node is None or not entry:
            return
        target = node.view.directory.nodes.get(vm)
        name = NodeName(vm, target.record.incarnation) if target else None
        for keys in upper_half(shard, entry.record):
            node.split(shard, keys, name)

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


def _confirm_lost(simulation: Simulation, vm: str) -> None:
    confirm_lost(FakeStore(simulation.store), NodeName(vm, 1), 'operator')


def _stop_updates(simulation: Simulation, vm: str) -> None:
    if simulation.is_running(vm):
        simulation.node(vm).misses_updates = True


def _resume_updates(simulation: Simulation, vm: str) -> None:
    if simulation.is_running(vm):
        simulation.node(vm).misses_updates = False


def _replay_updates(simulation: Simulation, vm: str) -> None:
    if simulation.is_running(vm):
        for stored in simulation.store.history:
            simulation.node(vm).view.directory.apply(stored)


def _pause(simulation: Simulation, vm: str) -> None:
    simulation.network.paused.add(vm)


def _resume(simulation: Simulation, vm: str) -> None:
    simulation.network.paused.discard(vm)


def _set_store(simulation: Simulation, mode: str) -> None:
    simulation.store.mode = mode


def _apply_late_writes(simulation: Simulation) -> None:
    simulation.store.apply_late_writes()


def _put_back(simulation: Simulation, count: str) -> None:
    simulation.store.put_back(int(count))


def _refuse(simulation: Simulation, vm: str) -> None:
    simulation.clients[vm].is_refused = True


def _admit(simulation: Simulation, vm: str) -> None:
    simulation.clients[vm].is_refused = False


def _start_duplicate(simulation: Simulation, vm: str) -> None:
    join(FakeStore(simulation.store), node_settings(vm))


def _corrupt(simulation: Simulation, number: str) -> None:
    simulation.store.corrupt(shard_object_name(SHARDS[int(number)]))


# The commands of scripts.  VMs are named `a` to `e`, shards 0 and 1;
# 2 and above are those that were split off.
_COMMANDS: dict[str, Callable[..., None]] = {
    'tick': Simulation._tick,
    'await-owners': Simulation._await_owners,
    'crash': Simulation._crash,
    'restart': Simulation._restart,
    'confirm-lost': _confirm_lost,
    'duplicate': _start_duplicate,
    'corrupt': _corrupt,
    'pause': _pause,
    'resume': _resume,
    'cut': lambda simulation, *vms: simulation.network.cut(*vms),
    'cut-from': lambda simulation, *vms: simulation.network.cut_from(*vms),
    'cut-to': lambda simulation, *vms: simulation.network.cut_to(*vms),
    'heal': lambda simulation, *vms: simulation.network.heal(*vms),
    'heal-to': lambda simulation, *vms: simulation.network.heal_to(*vms),
    'drop-held': lambda simulation, *vms: simulation.network.drop_held(*vms),
    'network': lambda simulation, *modes: simulation.network.set_delivery(
        *modes
    ),
    'store': _set_store,
    'apply-late': _apply_late_writes,
    'put-back': _put_back,
    'refuse': _refuse,
    'admit': _admit,
    'stop-updates': _stop_updates,
    'resume-updates': _resume_updates,
    'replay-updates': _replay_updates,
    'move': Simulation._move,
    'split': Simulation._split,
    'witnesses': Simulation._witnesses,
}
