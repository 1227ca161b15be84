"""What each owner's capacity carried, added up over the live nodes."""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumwood.cli.pages import IdlePage

GroupKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class IdleRow:
    """Slot-milliseconds of an owner's capacity in one place.

    `own`, `others` and `idle` add up to `capacity`.
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
        """Return the part of the capacity that lay idle."""
        return self.idle / self.capacity if self.capacity else 0

    def add(self, other: 'IdleRow') -> 'IdleRow':
        """Return the sum of two rows of one key."""
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
        each.slot_ms for each in page.used if each.owner == page.capacity_owner
    )
    carried = sum(each.slot_ms for each in page.used)
    return IdleRow(
        capacity_owner=page.capacity_owner,
        service=page.service,
        failure_domain=page.failure_domain,
        capacity=page.slots * page.window_ms,
        own=own,
        others=carried - own,
        idle=page.idle,
    )


def sum_by_group(pages: Iterable[IdlePage]) -> list[IdleRow]:
    """Return a row for each capacity owner, service and failure domain."""
    rows: dict[GroupKey, IdleRow] = {}
    for page in pages:
        row = _row(page)
        key = (row.capacity_owner, row.service, row.failure_domain)
        rows[key] = rows[key].add(row) if key in rows else row
    return [rows[key] for key in sorted(rows)]
