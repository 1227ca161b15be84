"""The holder's side of a lease."""

from collections.abc import Set

from laburnumwood.clock import Clock
from laburnumwood.leases.quorum import QuorumTracker
from laburnumwood.protocol.messages import Renew
from laburnumwood.records import Digest, NodeName, WitnessSet
from laburnumwood.settings import LeaseSettings

_CHANGE_PATIENCE_MS = 2_000


class Lease:
    """The lease of one incarnation, renewed by a majority of its witnesses.

    While a change of witnesses is under way, a majority of both the old and
    the new set is needed for everything.
    """

    def __init__(
        self, holder: NodeName, settings: LeaseSettings, clock: Clock
    ) -> None:
        self._holder = holder
        self._settings = settings
        self._clock = clock
        self._current = WitnessSet(0, ())
        self._next: WitnessSet | None = None
        self._next_since_ms = 0
        self._superseding = False
        self._passed_over: Set[NodeName] = frozenset()
        self._backings = QuorumTracker()
        self._floors: dict[str, int] = {}
        self._resigned = False
        self._until_ms: int | None = 0  # None: to be found out anew

    @property
    def holder(self) -> NodeName:
        """Return the incarnation that this lease is of."""
        return self._holder

    @property
    def witnesses(self) -> WitnessSet:
        """Return the set of witnesses that stands."""
        return self._current

    @property
    def is_changing(self) -> bool:
        """Tell whether a change of witnesses is under way."""
        return self._next is not None

    @property
    def renewal_targets(self) -> tuple[NodeName, ...]:
        """Return the witnesses to ask for renewals now."""
        names = {name for each in self._active for name in each.members}
        return tuple(sorted(names))

    @property
    def lost_witnesses(self) -> frozenset[NodeName]:
        """Return the witnesses that will never renew again."""
        return self._backings.lost()

    @property
    def silent_witnesses(self) -> frozenset[NodeName]:
        """Return the witnesses whose last grant has run out."""
        now_ms = self._clock.now_ms()
        return frozenset(
            name
            for each in self._active
            for name in each.members
            if self._backings.of(name).until_ms.get(each.version, 0) <= now_ms
        )

    @property
    def is_over(self) -> bool:
        """Tell whether too many witnesses are lost for it to be renewed."""
        return self._resigned or not self.can_renew_without(frozenset())

    def can_renew_without(self, gone: Set[NodeName]) -> bool:
        """Tell whether it can be renewed with some witnesses gone."""
        return all(
            self._backings.can_renew(each, gone) for each in self._active
        )

    def propose_set(self, members: tuple[NodeName, ...]) -> WitnessSet:
        """Return the set that would replace the present one.

        It must be on record before it is used: others count it when they
        find out whether this incarnation is over.
        """
        return WitnessSet(self._current.version + 1, members)

    def set_first_witnesses(self, chosen: WitnessSet) -> None:
        """Use the first set of witnesses."""
        self._current = chosen
        self._until_ms = None

    def begin_change(self, chosen: WitnessSet) -> None:
        """Begin to replace the witnesses; only one change at a time."""
        if self._next is not None:
            raise ValueError('a change of witnesses is under way')
        self._next = chosen
        self._next_since_ms = self._clock.now_ms()
        self._passed_over = frozenset()
        self._until_ms = None

    def ignore_ended(self, ended: Set[NodeName]) -> bool:
        """Wait no longer for new witnesses that have ended.

        Tells whether witnesses are to give the old set up only by now.
        """
        self._passed_over = ended
        self._until_ms = None
        return self._advance()

    def resign(self) -> None:
        """Give the lease up for good."""
        self._resigned = True
        self._until_ms = None

    def raise_floor(self, shard: str, epoch: int) -> None:
        """Say that a record of a shard may be written with an epoch."""
        self._floors[shard] = max(epoch, self._floors.get(shard, 0))

    def is_floor_acknowledged(self, shard: str, epoch: int) -> bool:
        """Tell whether enough witnesses know a floor to write the record."""
        return all(
            self._backings.know(each, {shard: epoch}) for each in self._active
        )

    def expires_at_ms(self) -> int:
        """Return until when a majority of the witnesses backs the lease."""
        if self._until_ms is None:
            self._until_ms = self._find_until_ms()
        return self._until_ms

    def is_held(self) -> bool:
        """Tell whether the holder may act now."""
        return self._clock.now_ms() < self.expires_at_ms()

    def renewal_request(self, witness: NodeName, digest: Digest) -> Renew:
        """Return what to ask of a witness; note the time before sending."""
        backing = self._backings.of(witness)
        wanted = [each for each in self._active if witness in each.members]
        supersede = self._current.version if self._superseding else 0
        if supersede:
            wanted = [each for each in wanted if each.version > supersede]
        unknown = (
            each for each in wanted if each.version not in backing.until_ms
        )
        floors = self._floors.items()
        return Renew(
            holder=self._holder,
            witness=witness,
            versions=tuple(each.version for each in wanted),
            sets=tuple(unknown),
            supersede=supersede,
            floors={
                shard: epoch
                for shard, epoch in floors
                if backing.floors.get(shard, 0) < epoch
            },
            digest=digest,
        )

    def record_grant(self, request: Renew, sent_ms: int) -> bool:
        """Take in a witness's grant of a renewal sent at a time.

        Tells whether witnesses are to give the old set up only by now.
        """
        backing = self._backings.of(request.witness)
        until_ms = sent_ms + self._own_grant_ms
        for version in request.versions:
            earlier_ms = backing.until_ms.get(version, 0)
            backing.until_ms[version] = max(until_ms, earlier_ms)
        backing.floors.update(request.floors)
        backing.superseded = max(backing.superseded, request.supersede)
        self._until_ms = None
        return self._advance()

    def record_refusal(self, witness: NodeName) -> None:
        """Take in that a witness will never renew again."""
        self._backings.of(witness).lost = True
        self._until_ms = None

    @property
    def _active(self) -> tuple[WitnessSet, ...]:
        if self._next is None:
            return (self._current,)
        return (self._current, self._next)

    def _find_until_ms(self) -> int:
        if self._resigned or not self._current.members:
            return 0
        return min(self._backed_until_ms(each) for each in self._active)

    def _backed_until_ms(self, chosen: WitnessSet) -> int:
        until_ms = self._backings.until_ms(chosen)
        if chosen is not self._next:
            return until_ms
        # No witness can seal under a new set before a grant that it gave
        # after the change began has run out.
        return max(until_ms, self._next_since_ms + self._own_grant_ms)

    @property
    def _own_grant_ms(self) -> int:
        return self._settings.grant_ms - self._settings.drift_margin_ms

    def _advance(self) -> bool:
        if self._next is None:
            return False
        granted = self._backings.granted(self._next, self._floors)
        if granted < self._next.majority:
            return False
        awaited = self._next.without(self._passed_over)
        granted = self._backings.granted(awaited, self._floors)
        if self._superseding:
            self._finish_change(self._next)
        elif granted == len(awaited.members) or self._change_is_slow():
            self._superseding = True
            return True
        return False

    def _change_is_slow(self) -> bool:
        waited_ms = self._clock.now_ms() - self._next_since_ms
        return waited_ms >= _CHANGE_PATIENCE_MS

    def _finish_change(self, chosen: WitnessSet) -> None:
        if self._backings.has_superseded(self._current):
            self._current = chosen
            self._next = None
            self._superseding = False
