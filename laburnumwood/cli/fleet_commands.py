"""Commands that show the live nodes, owners of shards and idle capacity."""

from collections import Counter
from typing import Any
from urllib.parse import urlencode

from laburnumwood.cli.fleet import FleetClient
from laburnumwood.cli.idle_capacity import sum_by_group
from laburnumwood.cli.output import Output
from laburnumwood.cli.pages import (
    IdlePage,
    KeyOwnerPage,
    NodeRow,
    StatusPage,
)
from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import OperatorCallError

_STATUS_COLUMNS = (
    'node',
    'lease',
    'witnesses',
    'generation',
    'shards',
    'running',
    'waiting',
    'unserved',
)
_UNSERVED_COLUMNS = ('node', 'unserved shard', 'for ms', 'cause')
_IDLE_COLUMNS = (
    'capacity owner',
    'service',
    'failure domain',
    'capacity slot-s',
    'for itself',
    'for others',
    'idle',
    'idle %',
)
_PERCENT = 100


def _status_row(name: str, page: StatusPage | OperatorCallError) -> list[Any]:
    if isinstance(page, OperatorCallError):
        return [name, str(page)]
    return [
        page.node,
        'held' if page.holds_lease else 'not held',
        len(page.witnesses),
        page.generation,
        len(page.shards),
        page.running,
        page.waiting,
        len(page.unserved),
    ]


def _unserved_rows(
    pages: list[tuple[NodeRow, StatusPage | OperatorCallError]],
) -> list[tuple[str, str, int, str]]:
    return [
        (page.node, each.shard, each.for_ms, each.cause)
        for _, page in pages
        if isinstance(page, StatusPage)
        for each in page.unserved
    ]


def show_status(fleet: FleetClient, output: Output) -> None:
    """Print the status of each live node."""
    pages = fleet.fetch_from_all('/status', StatusPage)
    rows = [_status_row(row.node, page) for row, page in pages]
    output.print_table(_STATUS_COLUMNS, rows)
    unserved = _unserved_rows(pages)
    if unserved:
        output.print_table(_UNSERVED_COLUMNS, unserved)
    output.print_json({row.node: page for row, page in pages})


def show_nodes(fleet: FleetClient, output: Output) -> None:
    """Print the live nodes with their failure domains and services."""
    rows = fleet.nodes()
    output.print_table(
        ('node', 'failure domain', 'service', 'capacity owner', 'slots'),
        [
            (
                row.node,
                row.failure_domain,
                row.service,
                row.capacity_owner,
                row.slots,
            )
            for row in rows
        ],
    )
    output.print_json(rows)


def show_owners(fleet: FleetClient, service: str, output: Output) -> None:
    """Print how many shards of a service each node owns."""
    owners = fleet.fetch_from_any('/owners').get(service)
    if owners is None:
        raise OperatorCallError(
            f'no shards of {service!r} are known; check the name by '
            '"laburnumwood show"'
        )
    counts = Counter(owner or 'nobody' for owner in owners.values())
    output.print_table(('owner', 'shards'), sorted(counts.items()))
    output.print_json(owners)


def show_owner(
    fleet: FleetClient, service: str, key: str, output: Output
) -> None:
    """Print the owner of a key and the key's shard."""
    query = urlencode({'service': service, 'key': key})
    key_owner = KeyOwnerPage.model_validate(
        fleet.fetch_from_any(f'/owner?{query}')
    )
    output.print_table(
        ('service', 'key', 'shard', 'owner'),
        [
            (
                key_owner.service,
                key_owner.key,
                key_owner.shard,
                key_owner.owner or 'nobody',
            )
        ],
    )
    output.print_json(key_owner)


def show_idle(fleet: FleetClient, window_s: float, output: Output) -> None:
    """Print used and idle capacity by capacity owner, for the last seconds.

    Nodes that do not answer are named.
    """
    window_ms = int(window_s * MS_PER_SECOND)
    answers = fleet.fetch_from_all(f'/idle?window_ms={window_ms}', IdlePage)
    pages = [page for _, page in answers if isinstance(page, IdlePage)]
    unreachable = [
        row.node for row, page in answers if not isinstance(page, IdlePage)
    ]
    rows = sum_by_group(pages)
    output.print_table(
        _IDLE_COLUMNS,
        [
            (
                row.capacity_owner,
                row.service,
                row.failure_domain,
                _format_seconds(row.capacity),
                _format_seconds(row.own),
                _format_seconds(row.others),
                _format_seconds(row.idle),
                f'{row.idle_share * _PERCENT:.0f}',
            )
            for row in rows
        ],
    )
    if unreachable:
        output.print_text('without: {}'.format(', '.join(unreachable)))
    output.print_json({'rows': rows, 'without': unreachable})


def _format_seconds(slot_ms: int) -> str:
    return f'{slot_ms / MS_PER_SECOND:.1f}'
