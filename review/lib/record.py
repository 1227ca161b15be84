"""The record of a case: what was sent, answered and run, with times."""

import threading
import time
from pathlib import Path


def now_s() -> float:
    """Return the time in seconds, on a clock that counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._lock = threading.Lock()
        self._started_s = now_s()

    def note(self, what: str, **details: object) -> None:
        """Write one line."""
        since_s = now_s() - self._started_s
        fields = ' '.join(f'{name}={each}' for name, each in details.items())
        with self._lock:
            self._file.write(f'{since_s:8.3f} {what} {fields}\n')
            self._file.flush()
