"""The state of each witness as its holder knows it, and their majorities."""

from collections.abc import Set
from dataclasses import dataclass, field

from laburnumwood.records import NodeName, WitnessSet


@dataclass(slots=True)
class WitnessState:
    """What one witness has granted to the holder and acknowledged.

    `expires_at_ms` maps versions of witness sets to the time at which the
    grant given under that version expires.  `floors` maps the text forms of
    shards to the highest epoch that the witness has acknowledged.
    """

    expires_at_ms: dict[int, int] = field(default_factory=dict)
    floors: dict[str, int] = field(default_factory=dict)
    superseded_version: int = 0
    has_refused: bool = False

    def has_acknowledged(self, floors: dict[str, int]) -> bool:
        """Return whether the witness knows floors at least as high."""
        return all(
            self.floors.get(shard, 0) >= epoch
            for shard, epoch in floors.items()
        )


class QuorumTracker:
    """The states of all witnesses of a holder, evaluated by witness set."""

    def __init__(self) -> None:
        self._states: dict[NodeName, WitnessState] = {}

    def state_of(self, witness: NodeName) -> WitnessState:
        """Return the state of a witness, which is created on first use."""
        return self._states.setdefault(witness, WitnessState())

    def refusing_witnesses(self) -> frozenset[NodeName]:
        """Return the witnesses that will never renew the lease again."""
        states = self._states.items()
        return frozenset(name for name, state in states if state.has_refused)

    def can_renew(self, witness_set: WitnessSet, gone: Set[NodeName]) -> bool:
        """Return whether a majority of a set may still renew the lease.

        Witnesses that have refused and those in `gone` do not count.
        """
        lost = sum(
            name in gone or self.state_of(name).has_refused
            for name in witness_set.members
        )
        return len(witness_set.members) - lost >= witness_set.majority

    def majority_expires_at_ms(self, witness_set: WitnessSet) -> int:
        """Return until when the grants of a majority of a set are valid."""
        expiries_ms = sorted(
            (
                self.state_of(name).expires_at_ms.get(witness_set.version, 0)
                for name in witness_set.members
            ),
            reverse=True,
        )
        return expiries_ms[witness_set.majority - 1]

    def has_majority_acknowledged(
        self, witness_set: WitnessSet, floors: dict[str, int]
    ) -> bool:
        """Return whether a majority of a set knows floors at least as high."""
        acknowledged = sum(
            self.state_of(name).has_acknowledged(floors)
            for name in witness_set.members
        )
        return acknowledged >= witness_set.majority

    def count_ready(
        self, witness_set: WitnessSet, floors: dict[str, int]
    ) -> int:
        """Count the members that granted under a set and know the floors."""
        return sum(
            witness_set.version in self.state_of(name).expires_at_ms
            and self.state_of(name).has_acknowledged(floors)
            for name in witness_set.members
        )

    def has_majority_superseded(self, witness_set: WitnessSet) -> bool:
        """Return whether a majority of a set grants under newer sets only."""
        superseded = sum(
            self.state_of(name).superseded_version >= witness_set.version
            for name in witness_set.members
        )
        return superseded >= witness_set.majority
