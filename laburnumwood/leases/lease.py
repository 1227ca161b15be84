"""The holder's side of a lease."""

from collections.abc import Set

from laburnumwood.clock import Clock
from laburnumwood.leases.quorum import QuorumTracker
from laburnumwood.protocol.messages import Renew
from laburnumwood.records import Digest, NodeName, WitnessSet
from laburnumwood.settings import LeaseSettings

_CHANGE_TIMEOUT_MS = 2_000


class Lease:
    """The lease of one incarnation, renewed by a majority of its witnesses.

    While a change of witnesses is in progress, every decision needs a
    majority of both the current and the next set.
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
        self._is_superseding = False
        self._ended_witnesses: Set[NodeName] = frozenset()
        self._quorums = QuorumTracker()
        self._floors: dict[str, int] = {}
        self._has_resigned = False
        self._expires_at_ms: int | None = 0  # None: has to be recomputed

    @property
    def holder(self) -> NodeName:
        """Return the incarnation that holds this lease."""
        return self._holder

    @property
    def witnesses(self) -> WitnessSet:
        """Return the current set of witnesses."""
        return self._current

    @property
    def active_sets(self) -> tuple[WitnessSet, ...]:
        """Return the sets of witnesses that decisions depend on now."""
        if self._next is None:
            return (self._current,)
        return (self._current, self._next)

    @property
    def is_changing(self) -> bool:
        """Return whether a change of witnesses is in progress."""
        return self._next is not None

    @property
    def renewal_targets(self) -> tuple[NodeName, ...]:
        """Return the witnesses to which renewals are sent now."""
        names = {name for each in self.active_sets for name in each.members}
        return tuple(sorted(names))

    @property
    def lost_witnesses(self) -> frozenset[NodeName]:
        """Return the witnesses that will never renew the lease again."""
        return self._quorums.refusing_witnesses()

    @property
    def silent_witnesses(self) -> frozenset[NodeName]:
        """Return the witnesses whose last grant has expired."""
        now_ms = self._clock.now_ms()
        return frozenset(
            name
            for each in self.active_sets
            for name in each.members
            if self._quorums.state_of(name).expires_at_ms.get(each.version, 0)
            <= now_ms
        )

    @property
    def is_over(self) -> bool:
        """Return whether the lease can never be renewed again.

        This is so once the holder has resigned or too many witnesses refuse.
        """
        return self._has_resigned or not self.can_renew_without(frozenset())

    def can_renew_without(self, gone: Set[NodeName]) -> bool:
        """Return whether the lease can be renewed without some witnesses."""
        return all(
            self._quorums.can_renew(each, gone) for each in self.active_sets
        )

    def propose_set(self, members: tuple[NodeName, ...]) -> WitnessSet:
        """Return the set that would replace the current one.

        It must be on record before it is used: other nodes need it to decide
        whether the lease of this incarnation has lapsed.
        """
        return WitnessSet(self._current.version + 1, members)

    def set_first_witnesses(self, witness_set: WitnessSet) -> None:
        """Use the first set of witnesses."""
        self._current = witness_set
        self._expires_at_ms = None

    def begin_change(self, witness_set: WitnessSet) -> None:
        """Begin to replace the witnesses.

        Raises `ValueError` if another change is still in progress.
        """
        if self._next is not None:
            raise ValueError('a change of witnesses is already in progress')
        self._next = witness_set
        self._next_since_ms = self._clock.now_ms()
        self._ended_witnesses = frozenset()
        self._expires_at_ms = None

    def ignore_ended(self, ended: Set[NodeName]) -> bool:
        """Stop waiting for members of the next set that have ended.

        Return whether the witnesses should be asked from now on to give up
        the current set, which was not so before.
        """
        self._ended_witnesses = ended
        self._expires_at_ms = None
        return self._advance_change()

    def resign(self) -> None:
        """Give the lease up for good."""
        self._has_resigned = True
        self._expires_at_ms = None

    def raise_floor(self, shard: str, epoch: int) -> None:
        """Announce that a record of a shard may be written with an epoch."""
        self._floors[shard] = max(epoch, self._floors.get(shard, 0))

    def is_floor_acknowledged(self, shard: str, epoch: int) -> bool:
        """Return whether majorities know the floor that a write needs."""
        return all(
            self._quorums.has_majority_acknowledged(each, {shard: epoch})
            for each in self.active_sets
        )

    def expires_at_ms(self) -> int:
        """Return until when the lease is held, by the holder's clock."""
        if self._expires_at_ms is None:
            self._expires_at_ms = self._compute_expiry_ms()
        return self._expires_at_ms

    def is_held(self) -> bool:
        """Return whether the lease is held, so that the holder may act."""
        return self._clock.now_ms() < self.expires_at_ms()

    def renewal_request(self, witness: NodeName, digest: Digest) -> Renew:
        """Return the renewal to send to a witness.

        The caller records the time before it sends the request, for
        `record_grant`.
        """
        state = self._quorums.state_of(witness)
        wanted = [each for each in self.active_sets if witness in each.members]
        supersede = self._current.version if self._is_superseding else 0
        if supersede:
            wanted = [each for each in wanted if each.version > supersede]
        unknown = (
            each for each in wanted if each.version not in state.expires_at_ms
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
                if state.floors.get(shard, 0) < epoch
            },
            digest=digest,
        )

    def record_grant(self, request: Renew, sent_ms: int) -> bool:
        """Record that a witness granted a request that was sent at `sent_ms`.

        Return whether the witnesses should be asked from now on to give up
        the current set, which was not so before.
        """
        state = self._quorums.state_of(request.witness)
        expires_at_ms = sent_ms + self._safe_grant_ms
        for version in request.versions:
            earlier_ms = state.expires_at_ms.get(version, 0)
            state.expires_at_ms[version] = max(expires_at_ms, earlier_ms)
        state.floors.update(request.floors)
        state.superseded_version = max(
            state.superseded_version, request.supersede
        )
        self._expires_at_ms = None
        return self._advance_change()

    def record_refusal(self, witness: NodeName) -> None:
        """Record that a witness will never renew the lease again."""
        self._quorums.state_of(witness).has_refused = True
        self._expires_at_ms = None

    def _compute_expiry_ms(self) -> int:
        if self._has_resigned or not self._current.members:
            return 0
        return min(self._set_expires_at_ms(each) for each in self.active_sets)

    def _set_expires_at_ms(self, witness_set: WitnessSet) -> int:
        expires_at_ms = self._quorums.majority_expires_at_ms(witness_set)
        if witness_set is not self._next:
            return expires_at_ms
        # No witness can seal under the next set before a grant that it gave
        # after the change began has expired.
        return max(expires_at_ms, self._next_since_ms + self._safe_grant_ms)

    @property
    def _safe_grant_ms(self) -> int:
        """Return how long a grant counts for the holder, from its sending.

        It is shorter than for the witness by the margin for clock drift.
        """
        return self._settings.grant_ms - self._settings.drift_margin_ms

    def _advance_change(self) -> bool:
        if self._next is None:
            return False
        ready = self._quorums.count_ready(self._next, self._floors)
        if ready < self._next.majority:
            return False
        awaited = self._next.without(self._ended_witnesses)
        ready = self._quorums.count_ready(awaited, self._floors)
        if self._is_superseding:
            self._finish_change(self._next)
        elif ready == len(awaited.members) or self._has_change_timed_out():
            self._is_superseding = True
            return True
        return False

    def _has_change_timed_out(self) -> bool:
        elapsed_ms = self._clock.now_ms() - self._next_since_ms
        return elapsed_ms >= _CHANGE_TIMEOUT_MS

    def _finish_change(self, witness_set: WitnessSet) -> None:
        if self._quorums.has_majority_superseded(self._current):
            self._current = witness_set
            self._next = None
            self._is_superseding = False
