"""Random simulations, drawn by a state machine of hypothesis."""

from hypothesis import HealthCheck, Phase, strategies
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from tests.ownership.network import VMS
from tests.ownership.node import Components
from tests.ownership.world import STEP_MS, Simulation

_VMS = strategies.sampled_from(VMS)
_VM_OR_ALL = strategies.sampled_from((*VMS, 'all'))
_SHARDS = strategies.integers(0, 1)
_STEP_COUNTS = strategies.sampled_from((1, 2, 4, 8, 16, 36))
_STORE_MODES = strategies.sampled_from(
    ('up', 'up', 'down', 'refused', 'lose-answers', 'late', 'late')
)
_UNCERTAIN_STORE_MODES = strategies.sampled_from(('lose-answers', 'late'))
_FAULTS = strategies.sampled_from(('crash', 'pause', 'cut', 'restart'))
_DELIVERY_MODES = strategies.sampled_from(
    ('once in-order', 'doubled in-order', 'once reversed', 'doubled reversed')
)
_RECOVERY_STEPS = 15_000 // STEP_MS  # users allow 15 s to recover
_START_INDICES = strategies.integers(0, 3)


class SimulationStateMachine(RuleBasedStateMachine):
    """Runs random lines in a simulation.

    Losses in the middle of a move come often.  The class attributes count the
    simulations, their steps and the successful checks by `clear_all_faults`.

    Hypothesis sorts the rules by the number of their arguments, then by name,
    and draws the arguments of a rule in the order of their names, so a new
    name that changes such an order also changes the simulations.
    """

    components = Components()
    has_workers = False
    runs = 0
    steps = 0
    recoveries = 0

    def __init__(self) -> None:
        super().__init__()
        self._simulation = self._make_simulation()

    @rule(count=_STEP_COUNTS)
    def tick(self, count: int) -> None:
        """Run a number of steps."""
        self._run(f'tick {count}')

    @rule(command=strategies.sampled_from(('crash', 'pause')), vm=_VMS)
    def fail_vm(self, command: str, vm: str) -> None:
        """Crash or pause a VM."""
        self._run(f'{command} {vm}')

    @rule(vm=_VMS)
    def replace_process(self, vm: str) -> None:
        """Replace the process on a VM by a new one."""
        self._run(f'restart {vm}')

    @rule(first_vm=_VMS, second_vm=_VMS, count=_STEP_COUNTS)
    def restart_two_vms(
        self, first_vm: str, second_vm: str, count: int
    ) -> None:
        """Crash two VMs at the same moment and restart them soon after."""
        for line in (
            f'crash {first_vm}',
            f'crash {second_vm}',
            f'tick {count}',
        ):
            self._run(line)
        self._run(f'restart {first_vm}')
        self._run(f'restart {second_vm}')

    @rule(vm=_VMS)
    def clear_faults_of_vm(self, vm: str) -> None:
        """End all faults of a VM except a crash."""
        self._clear_faults_of_vm(vm)

    def _clear_faults_of_vm(self, vm: str) -> None:
        for command in ('resume', 'heal', 'resume-updates'):
            self._run(f'{command} {vm}')

    @rule()
    def clear_all_faults(self) -> None:
        """End all faults, so that the next ones hit a working fleet."""
        self._run('store up')
        self._run('network once in-order')
        for vm in VMS:
            self._clear_faults_of_vm(vm)
            if not self._simulation.is_running(vm):
                self._run(f'restart {vm}')
        self._recover()

    @rule(cut_vm=_VMS, other=_VM_OR_ALL)
    def cut_links(self, cut_vm: str, other: str) -> None:
        """Hold the messages between a VM and one or all others."""
        self._run(f'cut {cut_vm} {other}')

    @rule(delivery=_DELIVERY_MODES)
    def disturb_network(self, delivery: str) -> None:
        """Duplicate or reorder messages, or stop doing so."""
        self._run(f'network {delivery}')

    @rule(vm=_VMS)
    def lose_messages(self, vm: str) -> None:
        """Drop the messages on held links and heal the links of a VM."""
        self._run('drop-held')
        self._run(f'heal {vm}')

    @rule(mode=_STORE_MODES)
    def change_store_mode(self, mode: str) -> None:
        """Make the store fail in some way, or work again."""
        self._run(f'store {mode}')

    @rule()
    def perform_late_writes(self) -> None:
        """Apply late writes."""
        self._run('apply-late')

    @rule(
        vm=_VMS,
        command=strategies.sampled_from(('stop-updates', 'replay-updates')),
    )
    def impair_updates(self, vm: str, command: str) -> None:
        """Keep updates of records from a node, or send it old ones again."""
        self._run(f'{command} {vm}')

    @rule(shard=_SHARDS, to_vm=_VMS)
    def move_shard(self, shard: int, to_vm: str) -> None:
        """Move a shard to the node on another VM."""
        self._run(f'move {shard} {to_vm}')

    @rule(shard=_SHARDS)
    def split_shard(self, shard: int) -> None:
        """Split keys off from a shard."""
        self._run(f'split {shard}')

    @rule(vm=_VMS, start_index=_START_INDICES)
    def change_witnesses(self, vm: str, start_index: int) -> None:
        """Change the witnesses of a node.

        The new ones are taken from the sorted names, from an index on.
        """
        self._run(f'witnesses {vm} {start_index}')

    @rule(
        shard=_SHARDS,
        new_owner_index=strategies.integers(0, 2),
        store_mode=_UNCERTAIN_STORE_MODES,
        count=strategies.integers(1, 12),
        fault=_FAULTS,
        cut_updates=strategies.booleans(),
        late_writes_apply=strategies.booleans(),
    )
    def lose_owner_in_move(
        self,
        shard: int,
        new_owner_index: int,
        store_mode: str,
        count: int,
        fault: str,
        cut_updates: bool,
        late_writes_apply: bool,
    ) -> None:
        """Lose an owner while the outcome of its write is unknown."""
        owner, successor = self._simulation.owner_and_successor(shard)
        others = [vm for vm in VMS if vm not in {owner, successor}]
        self._run(f'store {store_mode}')
        if cut_updates:
            self._run(f'stop-updates {successor}')
        self._run(f'move {shard} {others[new_owner_index]}')
        self._run(f'tick {count}')
        self._run(f'{fault} {owner}{" all" if fault == "cut" else ""}')
        self._run('store up')
        for line in (
            'apply-late',
            'tick 36',
            'apply-late',
            'tick 4',
            f'resume-updates {successor}',
        ):
            if late_writes_apply or line != 'apply-late':
                self._run(line)

    @rule(shard=_SHARDS, count=strategies.integers(8, 30))
    def delay_grants(self, shard: int, count: int) -> None:
        """Deliver an owner's grants late, and no messages after them."""
        owner, _ = self._simulation.owner_and_successor(shard)
        self._run(f'cut-to {owner} all')
        self._run('tick 8')
        self._run(f'cut-from {owner} all')
        self._run(f'tick {count}')
        self._run(f'heal-to {owner}')
        self._run('tick 1')
        self._run(f'cut-to {owner} all')
        self._run('tick 36')

    @rule(shard=_SHARDS)
    def restart_sealing_witnesses(self, shard: int) -> None:
        """Restart witnesses that sealed an owner before it learns so."""
        owner, successor = self._simulation.owner_and_successor(shard)
        self._run(f'stop-updates {owner}')
        self._run(f'cut {owner} all')
        self._run('tick 40')
        self._run('drop-held')
        for vm in VMS:
            if vm not in {owner, successor}:
                self._run(f'restart {vm}')
        self._run(f'heal {owner}')
        self._run('tick 8')

    @rule(
        shard=_SHARDS,
        start_index=_START_INDICES,
        count=_STEP_COUNTS,
        cut_vm=_VMS,
        other_cut_vm=_VMS,
    )
    def change_while_cut(
        self,
        shard: int,
        start_index: int,
        count: int,
        cut_vm: str,
        other_cut_vm: str,
    ) -> None:
        """Change an owner's witnesses and cut it off from some old ones."""
        owner, _ = self._simulation.owner_and_successor(shard)
        self._run(f'witnesses {owner} {start_index}')
        self._run(f'tick {count}')
        self._run(f'cut {owner} {cut_vm}')
        self._run(f'cut {owner} {other_cut_vm}')
        self._run('tick 40')

    @rule(shard=_SHARDS, new_owner_index=strategies.integers(0, 1))
    def overtake_move(self, shard: int, new_owner_index: int) -> None:
        """Let others overwrite a move before its writer learns its outcome."""
        owner, _ = self._simulation.owner_and_successor(shard)
        others = [vm for vm in VMS if vm != owner]
        for line in (
            f'stop-updates {owner}',
            'store lose-answers',
            f'move {shard} {others[new_owner_index]}',
            'tick 3',
            f'pause {owner}',
            'store up',
            'tick 4',
            f'move {shard} {others[new_owner_index + 2]}',
            'tick 6',
            f'resume {owner}',
            'tick 8',
            f'resume-updates {owner}',
        ):
            self._run(line)

    def _recover(self) -> None:
        self._run(f'await-owners {_RECOVERY_STEPS}')

    def _make_simulation(self) -> Simulation:
        return Simulation(self.components, has_workers=self.has_workers)

    def teardown(self) -> None:
        """Add this simulation to the counts."""
        machine_class = type(self)
        machine_class.runs += 1
        machine_class.steps += self._simulation.steps
        machine_class.recoveries += self._simulation.recoveries

    def _run(self, line: str) -> None:
        self._simulation.run(line)


def run_random_simulations(
    components: Components,
    runs: int,
    lines: int,
    *,
    has_workers: bool = False,
    base: type[SimulationStateMachine] = SimulationStateMachine,
) -> type[SimulationStateMachine]:
    """Run random simulations, the same ones each time.

    Returns the class that counted them; raises the first failed check.  The
    draws are seeded by the name of this class, which must not change.
    """
    attributes = {'components': components, 'has_workers': has_workers}
    machine_class: type[SimulationStateMachine] = type(
        'CodeDriver', (base,), attributes
    )
    settings = hypothesis_settings(
        max_examples=runs,
        stateful_step_count=lines,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine_class, settings=settings)
    return machine_class
