"""The program laburnumwood, a command-line tool for operators."""

import sys
from pathlib import Path

import fire
from fire.decorators import SetParseFns
from logbook import NullHandler

from laburnumwood.cli import configuring, fleet_commands
from laburnumwood.cli.explaining import explain
from laburnumwood.cli.fleet import FleetClient
from laburnumwood.cli.loss_command import confirm_loss
from laburnumwood.cli.options import UsageError, read_options
from laburnumwood.cli.output import Output
from laburnumwood.errors import (
    ConcurrentChangeError,
    DeclarationError,
    LaburnumwoodError,
    PlatformError,
    RolloutIncompleteError,
)

EXIT_FAILED = 1
EXIT_REFUSED = 2
EXIT_NOT_IN_FORCE = 3
EXIT_CHANGED_SINCE = 4

_DEFAULT_LIMIT_S = 10
_DEFAULT_WINDOW_S = 60
_DEFAULT_HISTORY = 20
_ONLY_FLAG = '--only'


class Tool:
    """Commands for operators of laburnumwood.

    Flags of all commands: --platform=URL, --node=HOST:PORT, --token=TOKEN
    (or LABURNUMWOOD_PLATFORM, _NODE, _TOKEN), --json for programs.
    """

    def __init__(
        self,
        *,
        platform: str = '',
        node: str = '',
        token: str = '',
        json: bool = False,
    ) -> None:
        self._options = read_options(platform, node, token, as_json=json)
        self._output = Output(as_json=json)

    def validate(self, folder: str) -> None:
        """Check the files of a folder; show which file sets each value."""
        configuring.show_merged_folder(Path(folder), self._output)

    @SetParseFns(folder=str, only=str)
    def diff(self, folder: str, *, only: str = '') -> None:
        """Show how a folder differs from the accepted configuration."""
        configuring.show_diff(
            self._options, Path(folder), _split_names(only), self._output
        )

    @SetParseFns(folder=str, only=str)
    def apply(
        self,
        folder: str,
        *,
        only: str = '',
        wait: bool = False,
        limit_s: float = _DEFAULT_LIMIT_S,
    ) -> None:
        """Make a folder's changes the configuration; --wait until in force."""
        configuring.apply_folder(
            self._options,
            Path(folder),
            _split_names(only),
            limit_s if wait else 0,
            self._output,
        )

    @SetParseFns(file=str)
    def show(self, file: str = '') -> None:
        """Show the accepted configuration, or one file of it as JSON."""
        configuring.show_accepted(self._options, file, self._output)

    def history(self, *, most: int = _DEFAULT_HISTORY) -> None:
        """Show the newest accepted changes: when, by whom, which files."""
        configuring.show_history(self._options, most, self._output)

    def audit(self, generation: int) -> None:
        """Show one accepted change with the diffs of its files."""
        configuring.show_audit_entry(self._options, generation, self._output)

    def rollback(
        self,
        generation: int,
        *,
        wait: bool = False,
        limit_s: float = _DEFAULT_LIMIT_S,
    ) -> None:
        """Apply the files of an older generation as a new one."""
        configuring.roll_back(
            self._options, generation, limit_s if wait else 0, self._output
        )

    def status(self) -> None:
        """Show the status of each live node."""
        fleet_commands.show_status(self._fleet(), self._output)

    def nodes(self) -> None:
        """Show the live nodes with their failure domains and services."""
        fleet_commands.show_nodes(self._fleet(), self._output)

    @SetParseFns(service=str, key=str)
    def owners(self, service: str, key: str = '') -> None:
        """Show the owners of the shards of a service, or of one key."""
        if key:
            fleet_commands.show_owner(self._fleet(), service, key, self._output)
        else:
            fleet_commands.show_owners(self._fleet(), service, self._output)

    def idle(self, *, window_s: float = _DEFAULT_WINDOW_S) -> None:
        """Show used and idle capacity by capacity owner."""
        fleet_commands.show_idle(self._fleet(), window_s, self._output)

    @SetParseFns(request=str)
    def explain(self, request: str, *files: str) -> None:
        """Show the events of a request from the log files of the nodes."""
        explain(request, files, self._output)

    @SetParseFns(node_id=str)
    def drain(self, node_id: str) -> None:
        """Begin the planned stop of a node; running requests finish."""
        self._fleet().drain(node_id)
        self._output.print_text(
            f'{node_id} is draining; it is gone from "laburnumwood nodes" '
            'when its shards have new owners'
        )
        self._output.print_json({'draining': node_id})

    @SetParseFns(node_id=str)
    def confirm_lost(self, node_id: str, *, yes: bool = False) -> None:
        """Confirm that a node is lost, so that its shards get new owners."""
        confirm_loss(self._options, node_id, self._output, confirmed=yes)

    def _fleet(self) -> FleetClient:
        return FleetClient(self._options)


def _split_names(only: str) -> tuple[str, ...]:
    return tuple(name for name in only.split(',') if name)


def _merge_only_flags(arguments: list[str]) -> list[str]:
    """Return the arguments with all --only flags merged into one."""
    joined: list[str] = []
    names: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        flag, equals, name = argument.partition('=')
        if flag == _ONLY_FLAG:
            names.append(name if equals else next(rest, ''))
        else:
            joined.append(argument)
    return [*joined, f'{_ONLY_FLAG}={",".join(names)}'] if names else joined


def _describe_failure(failure: LaburnumwoodError) -> tuple[int, str]:
    """Return the exit status and the error message for a failure."""
    match failure:
        case DeclarationError() | UsageError():
            return EXIT_REFUSED, f'refused:\n{failure}'
        case ConcurrentChangeError():
            return EXIT_CHANGED_SINCE, (
                f'not applied: others changed {failure} since this folder '
                'saw it; see "laburnumwood diff" with the folder, then apply '
                'again'
            )
        case RolloutIncompleteError():
            return EXIT_NOT_IN_FORCE, (
                f'accepted, but not in force in time on:\n{failure}\nit comes '
                'into force there by itself once the node is reached; see '
                '"laburnumwood status"'
            )
        case PlatformError():
            return EXIT_FAILED, (
                f'the platform does not answer: {failure}\ncheck it; once it '
                'does, "laburnumwood history" tells what was accepted'
            )
    return EXIT_FAILED, f'failed: {failure}'


def main() -> int:
    """Run the command of the program's arguments; return its exit status."""
    arguments = _merge_only_flags(sys.argv[1:])
    NullHandler().push_application()  # The tool prints its own messages.
    try:
        fire.Fire(Tool, command=arguments, name='laburnumwood')
    except LaburnumwoodError as failure:
        status, text = _describe_failure(failure)
        sys.stderr.write(f'{text}\n')
        return status
    return 0


if __name__ == '__main__':
    sys.exit(main())
