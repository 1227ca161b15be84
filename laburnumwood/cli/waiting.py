"""Waiting until a configuration is in force on every live node."""

import time

from rich.console import Console
from rich.progress import Progress

from laburnumwood.cli.fleet import Fleet
from laburnumwood.cli.pages import GenerationPage
from laburnumwood.errors import OperatorCallError, RolloutIncompleteError

_POLL_S = 0.2


def _lagging(fleet: Fleet, generation: int) -> tuple[list[str], int]:
    """Return what each node without a generation says, and all nodes."""
    pages = fleet.ask_all('/generation', GenerationPage)
    lines = []
    for row, page in pages:
        if isinstance(page, OperatorCallError):
            lines.append(f'{row.node}: {page}')
        elif page.generation < generation:
            lines.append(f'{row.node}: has generation {page.generation}')
    return lines, len(pages)


def wait_until_in_force(
    fleet: Fleet, generation: int, limit_s: float, console: Console
) -> int:
    """Return the number of nodes once all have a generation in force.

    Raises `RolloutIncompleteError` that names those which have not in time.
    """
    deadline_s = time.monotonic() + limit_s
    with Progress(
        console=console, transient=True, disable=not console.is_terminal
    ) as progress:
        task = progress.add_task('in force on the live nodes')
        while True:
            lagging, count = _lagging(fleet, generation)
            done = count - len(lagging)
            progress.update(task, total=count, completed=done)
            if not lagging:
                return count
            if time.monotonic() >= deadline_s:
                raise RolloutIncompleteError('\n'.join(lagging))
            time.sleep(_POLL_S)
