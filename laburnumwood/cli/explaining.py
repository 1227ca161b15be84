"""The command that finds the events of a request in log files."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from laburnumwood.cli.options import UsageError
from laburnumwood.cli.output import Output

_COMMON_FIELDS = frozenset(
    ('at_ms', 'node', 'event', 'number', 'level', 'text')
)
_CONTEXT_MS = 5_000  # before and after the lines of the request
_REQUEST = 'request'

LogLine = dict[str, Any]


def _read_lines(file: Path) -> Iterator[LogLine]:
    """Yield the events in a log file, ignoring any text before the JSON."""
    try:
        text = file.read_text(errors='replace')
    except OSError as unreadable:
        raise UsageError(f'{file}: {unreadable}') from unreadable
    for line in text.splitlines():
        _, brace, rest = line.partition('{')
        try:
            event = json.loads(brace + rest)
        except ValueError:
            continue  # The line is other output of the process.
        if isinstance(event, dict) and 'event' in event:
            yield event


def _is_about(line: LogLine, request: str) -> bool:
    return str(line.get(_REQUEST, '')) == request


def _is_context(line: LogLine, shards: set[str]) -> bool:
    """Return whether an event of a node may have affected the request.

    Such an event names no request and concerns one of the request's shards,
    or no shard if its level is above info.  The periodic counts of served
    requests are left out.
    """
    if _REQUEST in line or line['event'] == 'requests-served':
        return False
    shard = line.get('shard')
    return shard in shards or (shard is None and line['level'] != 'info')


def _context_lines(
    lines: list[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """Return the events of nodes that may have affected the request."""
    shards = {f'{line["service"]}/{line["shard"]}' for line in request_lines}
    first_ms = request_lines[0]['at_ms'] - _CONTEXT_MS
    last_ms = request_lines[-1]['at_ms'] + _CONTEXT_MS
    return [
        line
        for line in lines
        if first_ms <= line['at_ms'] <= last_ms and _is_context(line, shards)
    ]


def _row(line: LogLine) -> list[Any]:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _COMMON_FIELDS
    )
    return [line['at_ms'], line['node'], line['number'], line['event'], fields]


def explain(request: str, files: Iterable[str], output: Output) -> None:
    """Print all log lines about a request and the related events of nodes.

    Related are the events about its shards and the warnings and errors of
    nodes, from five seconds before its first line to five after its last.
    Raises `UsageError` if a file is not readable or no line is about the
    request.
    """
    lines = [line for file in files for line in _read_lines(Path(file))]
    lines.sort(key=lambda line: line['at_ms'])
    request_lines = [line for line in lines if _is_about(line, request)]
    if not request_lines:
        raise UsageError(
            f'no line is about request {request!r}; give the logs of all '
            'nodes, and mind lines with left_out: not every line is written'
        )
    context = _context_lines(lines, request_lines)
    shown = sorted((*request_lines, *context), key=lambda line: line['at_ms'])
    columns = ('at ms', 'node', 'number', 'event', 'what it knew')
    output.print_table(columns, [_row(line) for line in shown])
    output.print_json(shown)
