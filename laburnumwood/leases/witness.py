"""The witness's side of leases."""

from dataclasses import dataclass, field

from laburnumwood.clock import Clock
from laburnumwood.protocol.messages import Granted, Refused, Renew
from laburnumwood.protocol.store_messages import RenewedHolder
from laburnumwood.records import Digest, NodeName, Seal, WitnessSet
from laburnumwood.settings import LeaseSettings

# A longer interval between two checks means that this process was paused.
_PAUSE_THRESHOLD_MS = 1_000


@dataclass(slots=True)
class _Grant:
    """What a witness has promised to one holder."""

    expires_at_ms: int = 0
    sets: dict[int, WitnessSet] = field(default_factory=dict)
    superseded_version: int = 0
    floors: dict[str, int] = field(default_factory=dict)
    seal: Seal | None = None


class Witness:
    """Renews the leases of other nodes and seals those that lapse.

    A witness lives as long as its process, through all incarnations of the
    node in that process, and bears the name of the first of these.  A seal is
    a promise never to renew the lease of that incarnation again.
    """

    def __init__(
        self, name: NodeName, settings: LeaseSettings, clock: Clock
    ) -> None:
        self._name = name
        self._settings = settings
        self._clock = clock
        self._grants: dict[NodeName, _Grant] = {}
        self._first_open_incarnations: dict[str, int] = {}
        self._last_check_ms = clock.now_ms()
        self._no_seals_until_ms = 0

    @property
    def name(self) -> NodeName:
        """Return the incarnation in whose name promises are given."""
        return self._name

    def renew(self, request: Renew, digest: Digest) -> Granted | Refused:
        """Answer a renewal; a grant carries `digest`, what this node knows."""
        if request.witness != self._name:
            return Refused('another-incarnation')
        if self._has_ended(request.holder):
            return Refused('ended')
        grant = self._grants.setdefault(request.holder, _Grant())
        if grant.seal is not None:
            return Refused('sealed', grant.seal)
        self._record_request(grant, request)
        live = [
            each for each in request.versions if each > grant.superseded_version
        ]
        if any(version not in grant.sets for version in live):
            return Refused('set-unknown')
        if live:
            grant.expires_at_ms = self._clock.now_ms() + self._settings.grant_ms
        return Granted(digest)

    def renewed_holders(self) -> tuple[RenewedHolder, ...]:
        """Return the holders that count on this witness now."""
        now_ms = self._clock.now_ms()
        return tuple(
            RenewedHolder(holder, max(grant.sets, default=0))
            for holder, grant in self._grants.items()
            if grant.seal is None and grant.expires_at_ms > now_ms
        )

    def seal(self, holder: NodeName) -> Seal | None:
        """Seal a holder that has resigned or lapsed.

        Return None if this witness is in none of its current sets.
        """
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

    def evict_ended(self, node_id: str, first_open_incarnation: int) -> None:
        """Evict the incarnations of a node whose end is on record.

        `first_open_incarnation` is the lowest incarnation that has not ended.
        Only that number is kept, so that no lower one is renewed again.
        """
        if first_open_incarnation <= self._first_open_incarnations.get(
            node_id, 0
        ):
            return
        self._first_open_incarnations[node_id] = first_open_incarnation
        ended = [name for name in self._grants if self._has_ended(name)]
        for name in ended:
            self._grants.pop(name)

    def _has_ended(self, holder: NodeName) -> bool:
        first_open_incarnation = self._first_open_incarnations.get(
            holder.node_id, 0
        )
        return holder.incarnation < first_open_incarnation

    def seal_lapsed(self) -> tuple[Seal, ...]:
        """Seal the holders whose grants have expired; return the new seals.

        Call it several times a second.  After a pause of this process it
        seals nothing for two renewal intervals, so that holders whose
        renewals were delayed by the pause can renew first.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_check_ms > _PAUSE_THRESHOLD_MS:
            self._no_seals_until_ms = now_ms + 2 * self._settings.renew_ms
        self._last_check_ms = now_ms
        if now_ms < self._no_seals_until_ms:
            return ()
        lapsed = [
            holder
            for holder, grant in self._grants.items()
            if grant.sets
            and grant.seal is None
            and grant.expires_at_ms <= now_ms
        ]
        seals = (self.seal(holder) for holder in lapsed)
        return tuple(seal for seal in seals if seal is not None)

    def _record_request(self, grant: _Grant, request: Renew) -> None:
        grant.superseded_version = max(
            grant.superseded_version, request.supersede
        )
        for each in request.sets:
            grant.sets[each.version] = each
        for version in tuple(grant.sets):
            if version <= grant.superseded_version:
                grant.sets.pop(version)
        for shard, epoch in request.floors.items():
            grant.floors[shard] = max(epoch, grant.floors.get(shard, 0))
