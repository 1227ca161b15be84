"""Commands that show and change the configuration."""

from collections.abc import Collection
from pathlib import Path

from laburnumwood.cli.changes import ConfigClient, merge_folder
from laburnumwood.cli.comparison import Difference, FileComparison
from laburnumwood.cli.fleet import FleetClient
from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.output import Output, format_time
from laburnumwood.cli.rollout import wait_until_in_force
from laburnumwood.config.references import join_path
from laburnumwood.records import AuditRecord, ConfigRecord

_AUDIT_COLUMNS = ('generation', 'when', 'who', 'files', 'reason')


def show_merged_folder(folder: Path, output: Output) -> None:
    """Check a folder and print which file sets each value.

    Raises `DeclarationError` if the folder is not valid.
    """
    merged = merge_folder(folder)
    output.print_text(f'{folder}: valid')
    set_by = {join_path(path): file for path, file in merged.set_by.items()}
    output.print_table(('value', 'set by'), sorted(set_by.items()))
    output.print_json(set_by)


def _next_step(file: FileComparison) -> str:
    if file.state is Difference.CONFLICT:
        return 'apply replaces the accepted file shown here'
    if file.state is Difference.NEWER:
        return f'yours is older and stays unused; get it by: show {file.name}'
    if file.state is Difference.ELSEWHERE:
        return 'stays as it is'
    return 'apply changes it' if file.state.is_proposed else ''


def _print_diff(file: FileComparison, output: Output, *names: str) -> None:
    for line in file.diff_lines(*names):
        output.print_text(line)


def show_diff(
    options: Options, folder: Path, only: Collection[str], output: Output
) -> None:
    """Print how a folder differs from the accepted configuration."""
    accepted, comparisons = ConfigClient(options).diff(folder, only)
    output.print_text(f'accepted: generation {accepted.generation}')
    rows = [
        (file.name, file.state.value, _next_step(file)) for file in comparisons
    ]
    output.print_table(('file', 'state', 'next'), rows)
    for comparison in comparisons:
        if comparison.state.is_proposed:
            _print_diff(comparison, output)
    output.print_json(
        {
            'generation': accepted.generation,
            'files': {file.name: file.state.value for file in comparisons},
        }
    )


def show_accepted(options: Options, file: str, output: Output) -> None:
    """Print the accepted configuration, or one file of it as JSON."""
    record = ConfigClient(options).read_accepted()
    if file:
        if file not in record.files:
            known = ', '.join(sorted(record.files)) or 'none yet'
            raise UsageError(
                f'no file {file!r} is accepted; there are: {known}'
            )
        Output(as_json=True).print_json(record.files[file])
        return
    if not record.generation:
        output.print_text('nothing is accepted yet; run "laburnumwood apply"')
        output.print_json(record)
        return
    output.print_text(
        f'generation {record.generation} by {record.who}, '
        f'{format_time(record.when_ms)}'
    )
    output.print_table(('file',), [(name,) for name in sorted(record.files)])
    output.print_json(record)


def _audit_row(entry: AuditRecord) -> tuple[object, ...]:
    return (
        entry.generation,
        format_time(entry.when_ms),
        entry.who,
        ', '.join(entry.changes),
        entry.reason,
    )


def show_history(options: Options, most: int, output: Output) -> None:
    """Print the newest entries of the audit trail, up to `most`."""
    entries = ConfigClient(options).history(most)
    if not entries:
        output.print_text('nothing was accepted yet; run "laburnumwood apply"')
    output.print_table(_AUDIT_COLUMNS, [_audit_row(entry) for entry in entries])
    output.print_json(entries)


def show_audit_entry(options: Options, generation: int, output: Output) -> None:
    """Print one entry of the audit trail and the diffs of its files."""
    client = ConfigClient(options)
    newest = client.read_accepted().generation
    entries = client.history(max(1, newest - generation + 1))
    entry = next(
        (entry for entry in entries if entry.generation == generation), None
    )
    if entry is None:
        raise UsageError(
            f'no audit entry of generation {generation}; there are 1 to '
            f'{newest}, see "laburnumwood history"'
        )
    output.print_table(_AUDIT_COLUMNS, [_audit_row(entry)])
    for name, change in entry.changes.items():
        changed = FileComparison(
            name, Difference.CHANGED, change.after, change.before
        )
        _print_diff(changed, output, 'before', 'after')
    output.print_json(entry)


def _print_accepted(
    record: ConfigRecord, options: Options, limit_s: float, output: Output
) -> None:
    """Print a generation and wait until it is in force if there is a limit."""
    output.print_text(f'accepted: generation {record.generation}')
    content: dict[str, int] = {'generation': record.generation}
    if limit_s:
        count = wait_until_in_force(
            FleetClient(options), record.generation, limit_s, output.console
        )
        output.print_text(f'in force on all {count} live nodes')
        content['nodes'] = count
    output.print_json(content)


def apply_folder(
    options: Options,
    folder: Path,
    only: Collection[str],
    limit_s: float,
    output: Output,
) -> None:
    """Apply a folder and print the accepted generation.

    If `limit_s` is not 0, wait up to that many seconds until the generation
    is in force on all live nodes.  Raises `RolloutIncompleteError` if it is
    not in force by then.
    """
    applied = ConfigClient(options).apply(folder, only)
    for name in applied.newer:
        output.print_text(
            f'{name}: others have accepted a newer one, which stays; get it '
            f'by "laburnumwood show {name}"'
        )
    if not applied.changed:
        output.print_text('the folder changes nothing')
    _print_accepted(applied.record, options, limit_s, output)


def roll_back(
    options: Options, generation: int, limit_s: float, output: Output
) -> None:
    """Apply the files of an older generation as the next one.

    `limit_s` is as in `apply_folder`.
    """
    record = ConfigClient(options).roll_back(generation)
    _print_accepted(record, options, limit_s, output)
