"""The command that tells a request's story from log files."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from laburnumwood.cli.options import UsageError
from laburnumwood.cli.output import Output

_COMMON_FIELDS = frozenset(('at_ms', 'node', 'event', 'number', 'level', 'text'))
_CONTEXT_MS = 5_000  # how far events of the nodes involved may lie apart
_REQUEST = 'request'

LogLine = dict[str, Any]


def _read_lines(file: Path) -> Iterator[LogLine]:
    try:
        text = file.read_text(errors='replace')
    except OSError as unreadable:
        raise UsageError(f'{file}: {unreadable}') from unreadable
    for line in text.splitlines():
        _, brace, rest = line.partition('{')
        try:
            found = json.loads(brace + rest)
        except ValueError:
            continue  # other output of the process
        if isinstance(found, dict) and 'event' in found:
            yield found


def _is_about(line: LogLine, request: str) -> bool:
    return str(line.get(_REQUEST, '')) == request


def _is_context(line: LogLine, shards: set[str]) -> bool:
    """Tell whether a node's event may have decided about a request."""
    if _REQUEST in line or line['event'] == 'requests-served':
        return False
    shard = line.get('shard')
    return shard in shards or (shard is None and line['level'] != 'info')


def _context_lines(known: list[LogLine], request_lines: list[LogLine]) -> list[LogLine]:
    """Return the events of nodes that may have decided about the request."""
    shards = {f'{line["service"]}/{line["shard"]}' for line in request_lines}
    first_ms = request_lines[0]['at_ms'] - _CONTEXT_MS
    last_ms = request_lines[-1]['at_ms'] + _CONTEXT_MS
    return [
        line
        for line in known
        if first_ms <= line['at_ms'] <= last_ms and _is_context(line, shards)
    ]


def _row(line: LogLine) -> list[Any]:
    told = ' '.join(
        f'{name}={what}' for name, what in line.items() if name not in _COMMON_FIELDS
    )
    return [line['at_ms'], line['node'], line['number'], line['event'], told]


def explain(request: str, files: Iterable[str], output: Output) -> None:
    """Show every line about a request, and what its nodes believed then.

    Raises `UsageError` if no file says anything of it.
    """
    known = [line for file in files for line in _read_lines(Path(file))]
    known.sort(key=lambda line: line['at_ms'])
    request_lines = [line for line in known if _is_about(line, request)]
    if not request_lines:
        raise UsageError(
            f'no line is about request {request!r}; give the logs of all '
            'nodes, and mind lines with left_out: not every line is written'
        )
    context = _context_lines(known, request_lines)
    shown = sorted((*request_lines, *context), key=lambda line: line['at_ms'])
    columns = ('at ms', 'node', 'number', 'event', 'what it knew')
    output.print_table(columns, [_row(line) for line in shown])
    output.print_json(shown)
