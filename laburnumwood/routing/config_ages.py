"""How old what a door knew of the configuration was when it decided."""

from collections.abc import Callable

from laburnumwood.events import CONFIG_UNCONFIRMED
from laburnumwood.membership.configuration.status import ConfigStatus
from laburnumwood.metrics import CONFIG_DECISIONS

ConfigStatusProvider = Callable[[], ConfigStatus]

_REPORTED_AGE_MS = 1_000  # from which requests are reported
_BOUNDS_MS = (100, 250, 500, _REPORTED_AGE_MS, 2_000, 4_000)
_NO_BOUND = 'inf'


def _bound(age_ms: int) -> str:
    if age_ms < 0:
        return _NO_BOUND
    fitting = (str(bound) for bound in _BOUNDS_MS if age_ms <= bound)
    return next(fitting, _NO_BOUND)


class ConfigAges:
    """Counts the requests of a door by the age of the last confirmation."""

    def __init__(self, get_status: ConfigStatusProvider) -> None:
        self._get_status = get_status
        self._count = 0
        self._oldest: ConfigStatus | None = None

    def record(self, age_ms: int) -> None:
        """Count a request that is decided now; -1: nothing is confirmed."""
        CONFIG_DECISIONS.record(1, {'le': _bound(age_ms)})
        if 0 <= age_ms <= _REPORTED_AGE_MS:
            return
        self._count += 1
        oldest = self._oldest
        if oldest is None or age_ms > oldest.confirmed_age_ms:
            self._oldest = self._get_status()

    def report(self) -> None:
        """Log what was decided by an old confirmation since the last report."""
        count, self._count = self._count, 0
        oldest, self._oldest = self._oldest, None
        if oldest is not None:
            CONFIG_UNCONFIRMED.report(
                requests=count,
                generation=oldest.generation,
                age_ms=oldest.confirmed_age_ms,
                confirmed_by=oldest.confirmed_by,
                current_from=oldest.current_from,
                current_age_ms=oldest.current_age_ms,
                renewal=oldest.renewal,
                renewal_ms=oldest.renewal_ms,
            )
