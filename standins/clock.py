"""Clocks in milliseconds."""

import time

MS_PER_SECOND = 1_000
_NS_PER_US = 1_000


def boottime_ms() -> float:
    """Return CLOCK_BOOTTIME in milliseconds, truncated to microseconds.

    Its values are comparable between the processes of a machine.
    """
    nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return nanoseconds // _NS_PER_US / MS_PER_SECOND


def monotonic_ms() -> float:
    """Return the monotonic clock of the process in milliseconds."""
    return time.monotonic() * MS_PER_SECOND
