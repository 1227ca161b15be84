"""Time in milliseconds, comparable between the processes of a machine."""

import time

MS_PER_SECOND = 1_000
_NS_PER_US = 1_000


def boottime_ms() -> float:
    """Return milliseconds of CLOCK_BOOTTIME, to the microsecond."""
    nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return nanoseconds // _NS_PER_US / MS_PER_SECOND


def monotonic_ms() -> float:
    """Return milliseconds of the process's own monotonic clock."""
    return time.monotonic() * MS_PER_SECOND
