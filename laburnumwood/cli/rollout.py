"""Waiting until a configuration is in force on every live node."""

import time

from rich.console import Console
from rich.progress import Progress

from laburnumwood.cli.fleet import FleetClient
from laburnumwood.cli.pages import GenerationPage
from laburnumwood.errors import OperatorCallError, RolloutIncompleteError

_POLL_INTERVAL_S = 0.2


def _nodes_not_in_force(
    fleet: FleetClient, generation: int
) -> tuple[list[str], int]:
    """Return a line for each node without a generation and the node count.

    The line of a node names its generation or the error of its call.
    """
    pages = fleet.fetch_from_all('/generation', GenerationPage)
    lines = []
    for row, page in pages:
        if isinstance(page, OperatorCallError):
            lines.append(f'{row.node}: {page}')
        elif page.generation < generation:
            lines.append(f'{row.node}: has generation {page.generation}')
    return lines, len(pages)


def wait_until_in_force(
    fleet: FleetClient, generation: int, limit_s: float, console: Console
) -> int:
    """Wait until a generation is in force; return the number of live nodes.

    Raises `RolloutIncompleteError`, which names the other nodes, if that
    takes longer than `limit_s` seconds.
    """
    deadline_s = time.monotonic() + limit_s
    with Progress(
        console=console, transient=True, disable=not console.is_terminal
    ) as progress:
        task = progress.add_task('in force on the live nodes')
        while True:
            lagging, count = _nodes_not_in_force(fleet, generation)
            in_force = count - len(lagging)
            progress.update(task, total=count, completed=in_force)
            if not lagging:
                return count
            if time.monotonic() >= deadline_s:
                raise RolloutIncompleteError('\n'.join(lagging))
            time.sleep(_POLL_INTERVAL_S)
