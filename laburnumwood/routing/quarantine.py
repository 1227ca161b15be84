"""Requests that are suspected of crashing the workers that run them."""

from collections import OrderedDict
from dataclasses import dataclass

from laburnumwood.clock import Clock

DEATHS_TO_BAR = 2
_SUSPICION_DURATION_MS = 300_000
_BAR_DURATION_MS = 600_000
_MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True)
class _Suspect:
    deaths: int
    until_ms: int


class Quarantine:
    """How many workers died under which requests, by their fingerprints.

    A request under which one worker died is suspected: it should run alone,
    so that a second death proves it guilty and clears all that were in
    flight beside it the first time.  Suspicions fade.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()

    def is_suspected(self, fingerprint: str) -> bool:
        """Tell whether a request should run alone on its worker."""
        return self._deaths(fingerprint) > 0

    def is_barred(self, fingerprint: str) -> bool:
        """Tell whether a request must not run at all."""
        return self._deaths(fingerprint) >= DEATHS_TO_BAR

    def barred_for_ms(self, fingerprint: str) -> int:
        """Return for how long a request must not run."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self.is_barred(fingerprint):
            return 0
        return suspect.until_ms - self._clock.now_ms()

    def record_death(self, fingerprint: str) -> int:
        """Take in that a worker died under a request; return its deaths."""
        deaths = self._deaths(fingerprint) + 1
        self.update(fingerprint, deaths)
        return deaths

    def clear(self, fingerprint: str) -> bool:
        """Take in that a request was answered; tell if it was suspected."""
        if not self.is_suspected(fingerprint) or self.is_barred(fingerprint):
            return False
        self._suspects.pop(fingerprint)
        return True

    def update(self, fingerprint: str, deaths: int) -> None:
        """Take in what another node knows; no deaths clear a suspect."""
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
        self._suspects[fingerprint] = _Suspect(deaths, until_ms)
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _deaths(self, fingerprint: str) -> int:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._clock.now_ms() >= suspect.until_ms:
            return 0
        return suspect.deaths
