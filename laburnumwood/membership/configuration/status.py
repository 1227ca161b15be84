"""What a node knows about its configuration: from whom, and since when."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumwood.clock import Clock
from laburnumwood.metrics import CONFIG_RENEWALS

FROM_STORE = 'the store'
FROM_STALE_STORE = 'the store, perhaps seconds old'
FROM_OWN_WRITE = 'a write of this node'
FROM_NOBODY = 'nobody'


class RenewalEnd(StrEnum):
    """How a renewal of the proof ended, which tells load from an outage."""

    NONE = 'none'  # there was no renewal yet
    PROVED = 'proved'
    STORE_FAILED = 'store-failed'  # it refused a call, or let it time out
    STORE_LATE = 'store-late'  # not away: nothing came yet, or too many called


@dataclass(frozen=True, slots=True)
class ConfigStatus:
    """The configuration in force on a node, and how the node knows it.

    `version` is that of the stored object, and `source` says who sent it.
    `current_from` is who last said to know no later configuration, which proves
    nothing: it may not have heard of one.  `confirmed_by` is who last proved
    that the store had none, and `confirmed_age_ms` how old that proof is.  Ages
    are in ms, -1 if there is none.  `renewal` tells how the last renewal of the
    proof ended, and `renewal_ms` how long it took.
    """

    generation: int
    version: int
    source: str
    in_force_for_ms: int
    current_from: str
    current_age_ms: int
    confirmed_by: str
    confirmed_age_ms: int
    renewal: RenewalEnd
    renewal_ms: int


class ConfigMonitor:
    """Records when a configuration came into force and was last confirmed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._generation = 0
        self._version = 0
        self._source = FROM_NOBODY
        self._in_force_since_ms: int | None = None
        self._current_from = FROM_NOBODY
        self._current_at_ms: int | None = None
        self._confirmed_by = FROM_NOBODY
        self._confirmed_at_ms: int | None = None
        self._renewal = RenewalEnd.NONE
        self._renewal_ms = -1

    @property
    def confirmed_age_ms(self) -> int:
        """Return the age of the last proof that there is no later one.

        It is -1 if there is none.
        """
        return self._age_ms(self._confirmed_at_ms)

    def is_confirmed_within(self, span_ms: int) -> bool:
        """Return whether the last proof is no older than a time."""
        return 0 <= self.confirmed_age_ms <= span_ms

    def record_in_force(
        self, generation: int, version: int, source: str
    ) -> None:
        """Record that a configuration from a source is in force now."""
        self._generation = generation
        self._version = version
        self._source = source
        self._in_force_since_ms = self._clock.now_ms()
        self.record_current(generation, source)

    def record_current(self, generation: int, source: str) -> None:
        """Record that a source knows no later generation than this one."""
        if generation == self._generation:
            self._current_from = source
            self._current_at_ms = self._clock.now_ms()

    def record_latest(self, source: str) -> None:
        """Record that a source knows no later configuration than this node."""
        self.record_current(self._generation, source)

    def record_confirmed(self, source: str, at_ms: int) -> None:
        """Record that the store had no later configuration at some time.

        This stays true when a later configuration comes into force.
        """
        if self._confirmed_at_ms is None or at_ms > self._confirmed_at_ms:
            self._confirmed_by = source
            self._confirmed_at_ms = at_ms

    def record_renewal(self, end: RenewalEnd, began_ms: int) -> None:
        """Record how a renewal of the proof ended, and when it began."""
        self._renewal = end
        self._renewal_ms = self._clock.now_ms() - began_ms
        CONFIG_RENEWALS.record(1, {'end': end})

    def status(self) -> ConfigStatus:
        """Return what is known now."""
        return ConfigStatus(
            self._generation,
            self._version,
            self._source,
            self._age_ms(self._in_force_since_ms),
            self._current_from,
            self._age_ms(self._current_at_ms),
            self._confirmed_by,
            self.confirmed_age_ms,
            self._renewal,
            self._renewal_ms,
        )

    def _age_ms(self, since_ms: int | None) -> int:
        return -1 if since_ms is None else self._clock.now_ms() - since_ms
