"""The witness's side of leases."""

from dataclasses import dataclass, field

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Granted, Refused, Renew
from laburnumwood.records import Digest, NodeName, Seal, WitnessSet
from laburnumwood.settings import LeaseSettings

_LATE_TICK_MS = 1_000


@dataclass(slots=True)
class _Grant:
    """What a witness has promised to one holder."""

    until_ms: int = 0
    sets: dict[int, WitnessSet] = field(default_factory=dict)
    superseded: int = 0
    floors: dict[str, int] = field(default_factory=dict)
    seal: Seal | None = None


class Witness:
    """Renews the leases of other nodes and seals those that lapse.

    It lives as long as its process, whichever incarnation that is in, and
    is named by the first.  A seal is a promise never to renew that holder's
    incarnation again.
    """

    def __init__(
        self, name: NodeName, settings: LeaseSettings, clock: Clock
    ) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._grants: dict[NodeName, _Grant] = {}
        self._least_open: dict[str, int] = {}
        self._ticked_ms = clock.now_ms()
        self._patient_until_ms = 0

    @property
    def name(self) -> NodeName:
        """Return the incarnation that gives the promises."""
        return self._name

    def renew(self, request: Renew, digest: Digest) -> Granted | Refused:
        """Answer a holder; `digest` tells it what this node knows."""
        if request.witness != self._name:
            return Refused('another-incarnation')
        if self._has_ended(request.holder):
            return Refused('ended')
        grant = self._grants.setdefault(request.holder, _Grant())
        if grant.seal is not None:
            return Refused('sealed', grant.seal)
        self._learn(grant, request)
        live = [each for each in request.versions if each > grant.superseded]
        if any(version not in grant.sets for version in live):
            return Refused('set-unknown')
        if live:
            grant.until_ms = self._clock.now_ms() + self._settings.grant_ms
        return Granted(digest)

    def seal(self, holder: NodeName) -> Seal | None:
        """Seal a holder that has resigned; None if it is not backed here."""
        grant = self._grants.get(holder)
        if grant is None or not grant.sets:
            return None
        if grant.seal is None:
            grant.seal = Seal(
                holder=holder,
                witness=self._name,
                sets=tuple(grant.sets.values()),
                floors=dict(grant.floors),
            )
        return grant.seal

    def evict_ended(self, node_id: str, least_open: int) -> None:
        """Forget the incarnations of a node that are known to have ended.

        Their number alone is kept, so that none of them is renewed again.
        """
        if least_open <= self._least_open.get(node_id, 0):
            return
        self._least_open[node_id] = least_open
        ended = [name for name in self._grants if self._has_ended(name)]
        for name in ended:
            self._grants.pop(name)

    def _has_ended(self, holder: NodeName) -> bool:
        least_open = self._least_open.get(holder.node_id, 0)
        return holder.incarnation < least_open

    def seal_lapsed(self) -> tuple[Seal, ...]:
        """Seal the holders whose grants have expired; return the new seals.

        Call it often: after a pause of this process it waits a little, so
        that holders can renew first.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms > _LATE_TICK_MS:
            self._patient_until_ms = now_ms + 2 * self._settings.renew_ms
        self._ticked_ms = now_ms
        if now_ms < self._patient_until_ms:
            return ()
        lapsed = [
            holder
            for holder, grant in self._grants.items()
            if grant.sets and grant.seal is None and grant.until_ms <= now_ms
        ]
        seals = (self.seal(holder) for holder in lapsed)
        return tuple(seal for seal in seals if seal is not None)

    def _learn(self, grant: _Grant, request: Renew) -> None:
        grant.superseded = max(grant.superseded, request.supersede)
        for each in request.sets:
            grant.sets[each.version] = each
        for version in tuple(grant.sets):
            if version <= grant.superseded:
                grant.sets.pop(version)
        for shard, epoch in request.floors.items():
            grant.floors[shard] = max(epoch, grant.floors.get(shard, 0))
