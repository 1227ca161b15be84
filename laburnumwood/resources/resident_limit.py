"""A limit on bodies that follows from the memory that the process takes."""

from collections.abc import Callable

from psutil import Process

from laburnumwood.clock import Clock

# Of what the rest of the process leaves of the VM: the bodies take it while
# answers, links and connections grow as well.
_BODY_SHARE = 3 / 4
_MAX_AGE_MS = 100  # of a measurement
_MAX_CHANGE = 1_048_576  # bytes of bodies since a measurement


def _process_meter() -> Callable[[], int]:
    """Return a function that returns the resident bytes of this process."""
    process = Process()
    return lambda: process.memory_info().rss


class ResidentLimit:
    """What bodies may take of a VM of `vm_bytes`.

    `measure` returns the resident memory of the process in bytes; None: what
    the system says.
    """

    def __init__(
        self,
        vm_bytes: int,
        clock: Clock,
        measure: Callable[[], int] | None = None,
    ) -> None:
        self._vm_bytes = vm_bytes
        self._clock = clock
        self._measure = measure or _process_meter()
        self._measured_ms: int | None = None
        self._measured_held = 0
        self._other_bytes = 0  # of the process, besides bodies

    def allowed_bytes(self, held: int) -> int:
        """Return what bodies may take if they take `held` bytes now."""
        if self._is_outdated(held):
            self._measured_ms = self._clock.now_ms()
            self._measured_held = held
            self._other_bytes = max(0, self._measure() - held)
        left = max(0, self._vm_bytes - self._other_bytes)
        return int(left * _BODY_SHARE)

    def _is_outdated(self, held: int) -> bool:
        if self._measured_ms is None:
            return True
        age_ms = self._clock.now_ms() - self._measured_ms
        changed = abs(held - self._measured_held)
        return age_ms >= _MAX_AGE_MS or changed >= _MAX_CHANGE
