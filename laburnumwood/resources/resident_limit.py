"""A limit on bodies that follows from the memory that the process takes."""

from collections.abc import Callable
from functools import cache
from pathlib import Path

from psutil import Error, Process

from laburnumwood.clock import Clock
from laburnumwood.events import MEMORY_UNKNOWN

# Of what the rest of the process leaves of the VM: the bodies take it while
# answers, links and connections grow as well.
_BODY_SHARE = 3 / 4
_MAX_AGE_MS = 100  # of a measurement
_MAX_CHANGE = 1_048_576  # bytes of bodies since a measurement
# The number of this process in /proc need not be the one that it is told.
_SELF = Path('/proc/self')


@cache
def _own_process() -> Process:
    return Process(int(_SELF.readlink().name))


def resident_bytes() -> int:
    """Return the resident memory of this process.

    Raises `OSError`, or psutil's `Error`, where the system does not tell it.
    """
    resident: int = _own_process().memory_info().rss
    return resident


class ResidentLimit:
    """What bodies may take of a VM of `vm_bytes`.

    `measure` is a function like `resident_bytes`.  While the system does not
    tell, the process is taken to hold nothing but bodies.
    """

    def __init__(
        self,
        vm_bytes: int,
        clock: Clock,
        measure: Callable[[], int] = resident_bytes,
    ) -> None:
        self._vm_bytes = vm_bytes
        self._clock = clock
        self._measure = measure
        self._is_unknown = False
        self._measured_ms: int | None = None
        self._measured_held = 0
        self._other_bytes = 0  # of the process, besides bodies

    def allowed_bytes(self, held: int) -> int:
        """Return what bodies may take if they take `held` bytes now."""
        if self._is_outdated(held):
            self._measured_ms = self._clock.now_ms()
            self._measured_held = held
            self._other_bytes = max(0, self._resident_bytes(held) - held)
        left = max(0, self._vm_bytes - self._other_bytes)
        return int(left * _BODY_SHARE)

    def _is_outdated(self, held: int) -> bool:
        if self._measured_ms is None:
            return True
        age_ms = self._clock.now_ms() - self._measured_ms
        changed = abs(held - self._measured_held)
        return age_ms >= _MAX_AGE_MS or changed >= _MAX_CHANGE

    def _resident_bytes(self, held: int) -> int:
        try:
            return self._measure()
        except (Error, OSError) as error:
            if not self._is_unknown:
                MEMORY_UNKNOWN.report(reason=repr(error))
            self._is_unknown = True
            return held
