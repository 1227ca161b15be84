"""Random simulations with workers that die and start again."""

from hypothesis import strategies
from hypothesis.stateful import rule

from tests.ownership.lives import LivesSimulation
from tests.ownership.network import VMS
from tests.ownership.put_back_machine import PutBackStateMachine
from tests.ownership.world import Simulation

_VMS = strategies.sampled_from(VMS)
_VM_OR_ALL = strategies.sampled_from((*VMS, 'all'))
_SHARDS = strategies.integers(0, 5)
_WORKER_COMMANDS = strategies.sampled_from(
    ('kill-worker', 'start-worker', 'restart-worker', 'replace-worker')
)
_CLOCK_STEPS_MS = strategies.sampled_from((-10_000, -3_000, -1, 0, 5_000))
_DELIVERIES = strategies.sampled_from(('up', 'late', 'unanswered', 'lost'))
_ORDERS = strategies.sampled_from(('in-order', 'reversed'))
_STEP_COUNTS = strategies.sampled_from((1, 4, 12, 24, 40, 70))
_WRITE_COUNTS = strategies.sampled_from((0, 1, 2, 4, 9, 40, 200))
_RECOVERY_STEPS = 400  # 20 s: 15 s for owners, and their workers' reports


class LivesStateMachine(PutBackStateMachine):
    """Lets workers, nodes, VMs and connections fail in each combination."""

    @rule(vm=_VMS, command=_WORKER_COMMANDS, count=_STEP_COUNTS)
    def change_life(self, vm: str, command: str, count: int) -> None:
        """Kill a worker, or begin another life of it."""
        self._run(f'{command} {vm}')
        self._run(f'tick {count}')

    @rule(vm=_VMS, step_ms=_CLOCK_STEPS_MS, count=_STEP_COUNTS)
    def step_clock_between_lives(
        self, vm: str, step_ms: int, count: int
    ) -> None:
        """Begin another life after the clock of the VM was stepped."""
        self._run_all(
            f'kill-worker {vm}',
            f'step-clock {vm} {step_ms}',
            f'tick {count}',
            f'start-worker {vm}',
        )

    @rule(vm=_VMS, delivery=_DELIVERIES, order=_ORDERS, count=_STEP_COUNTS)
    def delay_reports(
        self, vm: str, delivery: str, order: str, count: int
    ) -> None:
        """Deliver the reports of a life after those of the next one."""
        self._run_all(
            f'reports {vm} {delivery}',
            f'tick {count}',
            f'restart-worker {vm}',
            f'reports {vm} up',
            'tick 2',
            f'deliver-reports {vm} {order}',
        )

    @rule(
        vm=_VMS, command=_WORKER_COMMANDS, late=_STEP_COUNTS, count=_STEP_COUNTS
    )
    def restart_beside_late_reports(
        self, vm: str, command: str, late: int, count: int
    ) -> None:
        """Let a process that has just started hear late reports first."""
        self._run_all(
            f'reports {vm} late',
            f'{command} {vm}',
            f'tick {late}',
            f'reports {vm} up',
            f'tick {count}',
            f'restart {vm}',
            f'deliver-reports {vm} in-order',
        )

    @rule(vm=_VM_OR_ALL, count=_STEP_COUNTS, forgotten=_WRITE_COUNTS)
    def lose_vm(self, vm: str, count: int, forgotten: int) -> None:
        """Let VMs lose power, and perhaps the store its last writes."""
        self._run(f'crash-vm {vm}')
        if forgotten:
            self._run(f'put-back {forgotten}')
        self._run(f'tick {count}')
        self._run(f'start-vm {vm}')

    @rule(vm=_VMS, count=_STEP_COUNTS, forgotten=_WRITE_COUNTS)
    def replace_worker_and_node(
        self, vm: str, count: int, forgotten: int
    ) -> None:
        """Begin another life while the node's process is replaced."""
        self._run(f'crash {vm}')
        self._run(f'restart-worker {vm}')
        if forgotten:
            self._run(f'put-back {forgotten}')
        self._run(f'tick {count}')
        self._run(f'restart {vm}')

    @rule(vm=_VMS, other=_VM_OR_ALL, count=_STEP_COUNTS)
    def silence_link(self, vm: str, other: str, count: int) -> None:
        """Let open connections go silent, in one direction or both."""
        self._run(f'silence{"-from" * (count % 2)} {vm} {other}')
        self._run(f'tick {count}')

    @rule(
        vm=_VMS,
        direction=strategies.sampled_from(('requests', 'answers')),
        count=_STEP_COUNTS,
    )
    def silence_store(self, vm: str, direction: str, count: int) -> None:
        """Let the connection of a node to the store go silent."""
        self._run(f'silence-store {vm} {direction}')
        self._run(f'tick {count}')

    @rule(shard=_SHARDS, to_vm=_VMS, count=_STEP_COUNTS)
    def change_shard_of_keys(self, shard: int, to_vm: str, count: int) -> None:
        """Split keys off, and begin new lives of the workers involved."""
        self._run(f'split {shard} {to_vm}')
        self._run(f'tick {count}')
        self._run(f'restart-worker {to_vm}')

    @rule(shard=_SHARDS, to_vm=_VMS)
    def move_any_shard(self, shard: int, to_vm: str) -> None:
        """Move a shard, also one that was split off."""
        self._run(f'move {shard} {to_vm}')

    def _run_all(self, *lines: str) -> None:
        for line in lines:
            self._run(line)

    def _clear_faults_of_vm(self, vm: str) -> None:
        super()._clear_faults_of_vm(vm)
        self._run('end-silence')
        self._run(f'reports {vm} up')
        self._run(f'admit {vm}')
        self._run(f'start-worker {vm}')

    def _recover(self) -> None:
        super()._recover()
        self._run(f'await-holders {_RECOVERY_STEPS}')

    def _make_simulation(self) -> Simulation:
        return LivesSimulation(self.components)
