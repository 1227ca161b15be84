"""The warm-up of the worker on this VM."""

from laburnumwood.clock import Clock
from laburnumwood.warmup.cold_limiter import ColdLimiter
from laburnumwood.warmup.cold_period import ColdPeriod


class WorkerWarmUp:
    """When the worker is cold, and how much it is sent then.

    It lasts as long as the process of the node: the gates of all incarnations
    send to the same worker.
    """

    def __init__(self, clock: Clock) -> None:
        self.period = ColdPeriod(clock)
        self.limiter = ColdLimiter(self.period, clock)

    @property
    def is_cold(self) -> bool:
        """Return whether the worker is cold or not known to be warm."""
        return self.period.current_terms is not None
