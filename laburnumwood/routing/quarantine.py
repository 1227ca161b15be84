"""Quarantine of requests that crash the workers that run them."""

from collections import OrderedDict
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import KnownSuspect

DEATHS_TO_BAR = 2
_SUSPICION_DURATION_MS = 300_000
_BAR_DURATION_MS = 600_000
_MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True)
class _Suspect:
    deaths: int
    until_ms: int


class Quarantine:
    """Numbers of worker deaths by the fingerprint of the request that ran.

    After one death, every request that was in flight is suspected.  A
    suspected request should run alone, so that a second death identifies the
    cause; one that is answered is cleared.  Suspicions expire.

    Of the deaths under a request that did not run alone only one counts.  A
    single crash cuts off several runs of a request that many callers send, and
    several workers may crash at once.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request should run alone on its worker."""
        return self._deaths(fingerprint) > 0

    def is_barred(self, fingerprint: str) -> bool:
        """Return whether a request must not run at all."""
        return self._deaths(fingerprint) >= DEATHS_TO_BAR

    def barred_for_ms(self, fingerprint: str) -> int:
        """Return how many ms a request must not run, 0 if it may."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self.is_barred(fingerprint):
            return 0
        return suspect.until_ms - self._clock.now_ms()

    def record_death(self, fingerprint: str, *, ran_alone: bool) -> int:
        """Record a worker death under a request; return those that count."""
        deaths = self._deaths(fingerprint)
        if ran_alone or not deaths:
            deaths += 1
        self.update(fingerprint, deaths)
        return deaths

    def clear(self, fingerprint: str) -> bool:
        """Clear a suspected request that was answered.

        Returns False if it was not suspected or is barred already.
        """
        if not self.is_suspected(fingerprint) or self.is_barred(fingerprint):
            return False
        self._suspects.pop(fingerprint)
        return True

    def suspects(self, most: int) -> tuple[KnownSuspect, ...]:
        """Return the requests suspected last, at most so many."""
        now_ms = self._clock.now_ms()
        known = tuple(
            KnownSuspect(fingerprint, each.deaths, each.until_ms - now_ms)
            for fingerprint, each in self._suspects.items()
            if each.until_ms > now_ms
        )
        return known[-most:]

    def adopt(self, suspect: KnownSuspect) -> None:
        """Add a request that another node suspects, for as long as it does."""
        if suspect.deaths > self._deaths(suspect.fingerprint):
            until_ms = self._clock.now_ms() + suspect.left_ms
            self._add(suspect.fingerprint, _Suspect(suspect.deaths, until_ms))

    def update(self, fingerprint: str, deaths: int) -> None:
        """Merge the number of deaths known elsewhere; 0 clears a suspect."""
        if not deaths:
            self.clear(fingerprint)
            return
        deaths = max(deaths, self._deaths(fingerprint))
        duration_ms = (
            _BAR_DURATION_MS
            if deaths >= DEATHS_TO_BAR
            else _SUSPICION_DURATION_MS
        )
        until_ms = self._clock.now_ms() + duration_ms
        self._add(fingerprint, _Suspect(deaths, until_ms))

    def _add(self, fingerprint: str, suspect: _Suspect) -> None:
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _deaths(self, fingerprint: str) -> int:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._clock.now_ms() >= suspect.until_ms:
            return 0
        return suspect.deaths
