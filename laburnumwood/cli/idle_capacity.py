"""Sums of used and idle capacity over the live nodes."""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumwood.cli.pages import IdlePage

GroupKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class IdleRow:
    """Slot-milliseconds of the nodes of one group.

    A group is the nodes of a capacity owner that have the same service and
    failure domain.  `own` is what the capacity owner's services used,
    `others` what services of other owners used.  The sum of `own`, `others`
    and `idle` is `capacity`.
    """

    capacity_owner: str
    service: str
    failure_domain: str
    capacity: int
    own: int
    others: int
    idle: int

    @property
    def idle_share(self) -> float:
        """Return the fraction of the capacity that was idle."""
        return self.idle / self.capacity if self.capacity else 0

    def add(self, other: 'IdleRow') -> 'IdleRow':
        """Return the sum of two rows of the same group."""
        return IdleRow(
            self.capacity_owner,
            self.service,
            self.failure_domain,
            self.capacity + other.capacity,
            self.own + other.own,
            self.others + other.others,
            self.idle + other.idle,
        )


def _row(page: IdlePage) -> IdleRow:
    own = sum(
        usage.slot_ms
        for usage in page.used
        if usage.owner == page.capacity_owner
    )
    used = sum(usage.slot_ms for usage in page.used)
    return IdleRow(
        capacity_owner=page.capacity_owner,
        service=page.service,
        failure_domain=page.failure_domain,
        capacity=page.slots * page.window_ms,
        own=own,
        others=used - own,
        idle=page.idle,
    )


def sum_by_group(pages: Iterable[IdlePage]) -> list[IdleRow]:
    """Return a row for each group of nodes, sorted by group."""
    rows: dict[GroupKey, IdleRow] = {}
    for page in pages:
        row = _row(page)
        key = (row.capacity_owner, row.service, row.failure_domain)
        rows[key] = rows[key].add(row) if key in rows else row
    return [rows[key] for key in sorted(rows)]
