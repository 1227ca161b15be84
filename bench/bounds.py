"""Tables and bounds of the measurements."""

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

_WIDTH = 110
console = Console(width=_WIDTH)


class Bounds:
    """Prints a line for each bound and remembers whether all were met."""

    def __init__(self) -> None:
        self._missed = 0

    @property
    def status(self) -> int:
        """Return 0 if every bound was met."""
        return 1 if self._missed else 0

    def at_most(self, what: str, measured: float, bound: float) -> None:
        """Check that a figure is not above its bound."""
        is_met = measured <= bound
        self._missed += not is_met
        verdict = 'met' if is_met else 'missed'
        print(f'{verdict}: {what} is {measured:.4g}, bound {bound:.4g}')


def show(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table."""
    table = Table(title=title)
    for column in columns:
        table.add_column(column, justify='right')
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.print(table)
