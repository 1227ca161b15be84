"""The output of the tool: text and tables for people, or JSON."""

import json
import sys
from collections.abc import Sequence
from dataclasses import asdict, is_dataclass
from datetime import UTC, datetime
from typing import Any

from pydantic import BaseModel
from rich.console import Console
from rich.table import Table

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.records import AuditRecord, ConfigRecord
from laburnumwood.store.objects import to_value

_UNWRAPPED_COLUMNS = frozenset(('when', 'node', 'owner'))
_DEFAULT_WIDTH = 100  # columns, if the output is not a terminal


def make_console() -> Console:
    """Return the console for text and tables on the standard output."""
    width = None if sys.stdout.isatty() else _DEFAULT_WIDTH
    return Console(width=width, highlight=False, soft_wrap=False)


def format_time(when_ms: int) -> str:
    """Format a time in milliseconds since the epoch as UTC in ISO 8601."""
    when = datetime.fromtimestamp(when_ms / MS_PER_SECOND, UTC)
    return when.strftime('%Y-%m-%dT%H:%M:%SZ')


def _to_json(content: Any) -> Any:
    if isinstance(content, (AuditRecord, ConfigRecord)):
        return to_value(content)
    if isinstance(content, BaseModel):
        return content.model_dump(mode='json')
    if is_dataclass(content) and not isinstance(content, type):
        return asdict(content)
    return str(content)


class Output:
    """Prints the result of a command, as JSON or for people."""

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json
        self.console = make_console()

    def print_text(self, text: str) -> None:
        """Print text, unless the output is JSON."""
        if not self._as_json:
            self.console.print(text, markup=False)

    def print_json(self, content: Any) -> None:
        """Print content as JSON, if the output is JSON."""
        if self._as_json:
            sys.stdout.write(json.dumps(content, indent=2, default=_to_json))
            sys.stdout.write('\n')

    def print_table(
        self, columns: Sequence[str], rows: Sequence[Sequence[object]]
    ) -> None:
        """Print a table unless it is empty or the output is JSON."""
        if self._as_json:
            return
        table = Table()
        for name in columns:
            table.add_column(name, no_wrap=name in _UNWRAPPED_COLUMNS)
        if not rows:
            return
        for row in rows:
            table.add_row(*map(str, row))
        self.console.print(table)
