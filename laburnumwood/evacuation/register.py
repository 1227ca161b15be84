"""What a node knows of the evacuation of failure domains."""

from collections.abc import Callable, Set

from laburnumwood.clock import Clock
from laburnumwood.events import DOMAIN_EVACUATED, DOMAIN_TAKEN_BACK
from laburnumwood.records import EvacuationNotice
from laburnumwood.store.versions import era_of

NO_PROOF = -1  # in place of an age, if there is no proof
# A store that came back from an older copy may have forgotten an evacuation.
# It holds for this time, in which the operator can write it again.
_FORGOTTEN_HOLD_MS = 10_000
# Owners go on for these parts of the limit of an evacuation at most: since the
# domain was last proved not to be evacuated, and since this node has known of
# the evacuation, because that proof may have been long on its way.
_OWNER_PART = 0.5
_OWNER_PART_OF_NEWS = 0.25
# A domain that is taken back gets its share in steps.
_RETURN_STEPS = 4
_RETURN_STEP_MS = 1_000

_NO_DOMAINS: frozenset[str] = frozenset()


def _ignore_change() -> None:
    """Do nothing: the default listener for changes."""


class EvacuationRegister:
    """Keeps the latest known list of the evacuated failure domains.

    Lists of the store are told by watchers and by other nodes, each with the
    version of the store and the time at which it was the latest.
    `change_count` increases with each change of `usable_share`; `on_change` is
    called when a domain is evacuated or taken back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._version = 0
        self._listed = _NO_DOMAINS
        self._confirmed_at_ms: int | None = None
        self._earlier_proof_ms: int | None = None  # before the last one
        # By evacuated domain: since when this node has known of it, and when
        # it was last proved not to be evacuated.
        self._since_ms: dict[str, int] = {}
        self._not_before_ms: dict[str, int] = {}
        # By domain that a store which came back has forgotten.
        self._held_until_ms: dict[str, int] = {}
        self._returned_ms: dict[str, int] = {}
        self._shares: dict[str, float] = {}
        self.change_count = 0
        self.on_change: Callable[[], None] = _ignore_change

    @property
    def version(self) -> int:
        """Return the version of the store that is known, 0 for none."""
        return self._version

    @property
    def listed(self) -> frozenset[str]:
        """Return the domains that the store lists at `version`."""
        return self._listed

    @property
    def domains(self) -> Set[str]:
        """Return the evacuated domains."""
        return self._since_ms.keys()

    @property
    def confirmed_age_ms(self) -> int:
        """Return how old the proof is that `domains` are the latest.

        Returns `NO_PROOF` if there is none.
        """
        if self._confirmed_at_ms is None:
            return NO_PROOF
        return max(0, self._clock.now_ms() - self._confirmed_at_ms)

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether workers of a domain must not get requests."""
        return failure_domain in self._since_ms

    def known_for_ms(self, failure_domain: str) -> int:
        """Return for how long a domain has been known as evacuated."""
        now_ms = self._clock.now_ms()
        return now_ms - self._since_ms.get(failure_domain, now_ms)

    def may_owners_serve(self, failure_domain: str, limit_ms: int) -> bool:
        """Return whether owners in an evacuated domain may still serve.

        `limit_ms` after its evacuation its workers must not get any requests.
        """
        earliest_ms = self._not_before_ms.get(failure_domain)
        if earliest_ms is None:
            return False
        now_ms = self._clock.now_ms()
        return (
            now_ms - earliest_ms < limit_ms * _OWNER_PART
            and self.known_for_ms(failure_domain)
            < limit_ms * _OWNER_PART_OF_NEWS
        )

    def usable_share(self, failure_domain: str) -> float:
        """Return the share of a domain's slots that may be used now, 0 to 1.

        It is 0 for an evacuated domain, and rises by steps afterwards: the
        workers of a domain that is taken back may be cold.
        """
        return self._shares.get(failure_domain, 1)

    def notice(self) -> EvacuationNotice | None:
        """Return what to tell other nodes, None without any proof."""
        age_ms = self.confirmed_age_ms
        if age_ms == NO_PROOF:
            return None
        return EvacuationNotice(
            self._version, age_ms, tuple(sorted(self._listed))
        )

    def learn_notice(self, notice: EvacuationNotice, source: str) -> None:
        """Learn what another node, the `source`, tells."""
        self.learn(
            notice.version,
            frozenset(notice.domains),
            self._clock.now_ms() - notice.age_ms,
            source,
        )

    def learn(
        self,
        version: int,
        listed: frozenset[str],
        confirmed_at_ms: int,
        source: str,
    ) -> None:
        """Learn that the store listed some domains at a version.

        It listed the same at `confirmed_at_ms`.  An earlier version than the
        known one changes nothing if it differs.
        """
        if version < self._version and listed != self._listed:
            return
        if version >= self._version:
            self._replace(version, listed)
        known_ms = self._confirmed_at_ms
        self._earlier_proof_ms = known_ms
        self._confirmed_at_ms = (
            confirmed_at_ms
            if known_ms is None
            else max(known_ms, confirmed_at_ms)
        )
        self._update_domains(source)

    def review(self) -> None:
        """Apply what changes by time alone; call it a few times a second."""
        self._update_domains('the time since the store forgot it')

    def _replace(self, version: int, listed: frozenset[str]) -> None:
        if era_of(version) > era_of(self._version):
            until_ms = self._clock.now_ms() + _FORGOTTEN_HOLD_MS
            for domain in self._listed - listed:
                self._held_until_ms[domain] = until_ms
        self._version = version
        self._listed = listed

    def _update_domains(self, source: str) -> None:
        now_ms = self._clock.now_ms()
        self._held_until_ms = {
            domain: until_ms
            for domain, until_ms in self._held_until_ms.items()
            if now_ms < until_ms and domain not in self._listed
        }
        in_force = self._listed | self._held_until_ms.keys()
        begun = in_force - self._since_ms.keys()
        ended = self._since_ms.keys() - in_force
        for evacuated in sorted(begun):
            self._begin(evacuated, source)
        for returned in sorted(ended):
            self._end(returned, source)
        # Nodes that only hear of evacuations have no other occasion for it.
        self._update_shares()
        if begun or ended:
            self.on_change()

    def _begin(self, domain: str, source: str) -> None:
        self._since_ms[domain] = self._clock.now_ms()
        self._returned_ms.pop(domain, None)
        if self._earlier_proof_ms is not None:
            self._not_before_ms[domain] = self._earlier_proof_ms
        DOMAIN_EVACUATED.report(
            failure_domain=domain,
            source=source,
            proof_age_ms=self.confirmed_age_ms,
        )

    def _end(self, domain: str, source: str) -> None:
        now_ms = self._clock.now_ms()
        since_ms = self._since_ms.pop(domain)
        self._not_before_ms.pop(domain, None)
        self._returned_ms[domain] = now_ms
        DOMAIN_TAKEN_BACK.report(
            failure_domain=domain, source=source, after_ms=now_ms - since_ms
        )

    def _update_shares(self) -> None:
        shares = {
            domain: self._share_after(returned_ms)
            for domain, returned_ms in self._returned_ms.items()
        }
        shares.update(dict.fromkeys(self._since_ms, 0))
        if shares != self._shares:
            self._shares = shares
            self.change_count += 1

    def _share_after(self, returned_ms: int) -> float:
        steps = 1 + (self._clock.now_ms() - returned_ms) // _RETURN_STEP_MS
        return min(steps, _RETURN_STEPS) / _RETURN_STEPS
