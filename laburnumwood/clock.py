"""Time in milliseconds.

All decisions take a `Clock`, so that tests can run them on a time of their
own.
"""

import time

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000
_BOOTTIME = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock:
    """The clock of this machine.

    `now_ms` never goes back and counts on while the VM is suspended, where
    the platform has such a clock.
    """

    def now_ms(self) -> int:
        """Return milliseconds since some fixed moment."""
        return time.clock_gettime_ns(_BOOTTIME) // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for people to read."""
        return time.time_ns() // NANOSECONDS_PER_MS
