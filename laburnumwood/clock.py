"""Time in milliseconds.

Code that depends on time takes a `Clock`, so that tests can replace it by
one that they control.
"""

import time

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000
_BOOTTIME = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock:
    """The clock of this machine.

    `now_ms` is monotonic.  It includes the time for which the VM is
    suspended if the operating system has such a clock.
    """

    def now_ms(self) -> int:
        """Return milliseconds since an unspecified fixed time."""
        return time.clock_gettime_ns(_BOOTTIME) // NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for logs and records."""
        return time.time_ns() // NANOSECONDS_PER_MS
