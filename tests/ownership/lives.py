"""Simulations whose workers die and start again, and links that go silent."""

from collections.abc import Callable

from laburnumwood.records import ConfigRecord
from laburnumwood.store.objects import CONFIG_NAME, to_value
from tests.ownership.keys import DECLARATION, SERVICE
from tests.ownership.network import VMS
from tests.ownership.node import Components
from tests.ownership.store import FakeStore
from tests.ownership.worker import SimulatedWorkers
from tests.ownership.world import Simulation

_CONFIG = ConfigRecord(
    1,
    {
        'team': {
            'services': {
                SERVICE: DECLARATION.model_dump(
                    mode='json', exclude_defaults=True
                )
            }
        }
    },
)


class NoHolderError(AssertionError):
    """Keys have no worker long after all faults have ended."""


class LivesSimulation(Simulation):
    """A simulation with workers that have several lives.

    The service is declared, so that nodes create the shards anew if the store
    has forgotten all of its records.
    """

    def __init__(self, components: Components) -> None:
        super().__init__(components, has_workers=True)
        self.store.oldest_copy = 1  # with the configuration, and nothing else

    @property
    def workers(self) -> SimulatedWorkers:
        """Return the workers of all VMs."""
        if self._workers is None:
            raise AssertionError
        return self._workers

    def _find_command(self, command: str) -> Callable[..., None]:
        return _COMMANDS.get(command) or super()._find_command(command)

    def _prepare_store(self) -> None:
        FakeStore(self.store).create(CONFIG_NAME, to_value(_CONFIG))

    def _await_holders(self, max_steps: str) -> None:
        """Run steps until some worker holds each key."""
        for _ in range(int(max_steps)):
            if self.workers.are_all_keys_held():
                return
            self._tick(1)
        raise NoHolderError(f'{self.script}')

    def _kill_worker(self, vm: str) -> None:
        self.workers.kill(vm)

    def _start_worker(self, vm: str) -> None:
        if not self.workers.is_running(vm):
            self.workers.start(vm)

    def _restart_worker(self, vm: str) -> None:
        self.workers.start(vm)

    def _replace_worker(self, vm: str) -> None:
        self.workers.change_id(vm)
        self.workers.start(vm)

    def _crash_vm(self, vm: str) -> None:
        for each in VMS if vm == 'all' else (vm,):
            self._crash(each)
            self.workers.kill(each)

    def _start_vm(self, vm: str) -> None:
        for each in VMS if vm == 'all' else (vm,):
            self._restart(each)
            self._start_worker(each)

    def _silence(self, source: str, target: str) -> None:
        others = VMS if target == 'all' else (target,)
        for other in others:
            if other != source:
                self.network.silence(source, other)

    def _silence_both(self, vm: str, other: str) -> None:
        self._silence(vm, other)
        for each in VMS if other == 'all' else (other,):
            if each != vm:
                self.network.silence(each, vm)

    def _end_silence(self) -> None:
        self.network.end_silence()
        for client in self.clients.values():
            client.silence = ''


def _silence_store(
    simulation: LivesSimulation, vm: str, direction: str
) -> None:
    simulation.clients[vm].silence = direction


# The commands besides those of any simulation.
_COMMANDS: dict[str, Callable[..., None]] = {
    'await-holders': LivesSimulation._await_holders,
    'kill-worker': LivesSimulation._kill_worker,
    'start-worker': LivesSimulation._start_worker,
    'restart-worker': LivesSimulation._restart_worker,
    'replace-worker': LivesSimulation._replace_worker,
    'step-clock': lambda simulation, vm, ms: simulation.workers.step_clock(
        vm, int(ms)
    ),
    'reports': lambda simulation, *words: simulation.workers.set_delivery(
        *words
    ),
    'deliver-reports': lambda simulation, *words: (
        simulation.workers.deliver_late(*words)
    ),
    'crash-vm': LivesSimulation._crash_vm,
    'start-vm': LivesSimulation._start_vm,
    'silence': LivesSimulation._silence_both,
    'silence-from': LivesSimulation._silence,
    'silence-store': _silence_store,
    'end-silence': LivesSimulation._end_silence,
}
