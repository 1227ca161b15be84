"""The program laburnumwood, for operators."""

import sys
from pathlib import Path

import fire
from fire.decorators import SetParseFns
from logbook import NullHandler

from laburnumwood.cli import configuring, looking
from laburnumwood.cli.explaining import explain
from laburnumwood.cli.fleet import Fleet
from laburnumwood.cli.losing import confirm_loss
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

_IN_FORCE_S = 10
_WINDOW_S = 60
_HISTORY = 20
_ONLY = '--only'


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
        configuring.show_validity(Path(folder), self._output)

    @SetParseFns(folder=str, only=str)
    def diff(self, folder: str, *, only: str = '') -> None:
        """Show how a folder differs from the accepted configuration."""
        configuring.show_difference(
            self._options, Path(folder), _names(only), self._output
        )

    @SetParseFns(folder=str, only=str)
    def apply(
        self,
        folder: str,
        *,
        only: str = '',
        wait: bool = False,
        limit_s: float = _IN_FORCE_S,
    ) -> None:
        """Make a folder's changes the configuration; --wait until in force."""
        configuring.apply_folder(
            self._options,
            Path(folder),
            _names(only),
            limit_s if wait else 0,
            self._output,
        )

    @SetParseFns(file=str)
    def show(self, file: str = '') -> None:
        """Show what is accepted, or one accepted file as JSON."""
        configuring.show_accepted(self._options, file, self._output)

    def history(self, *, most: int = _HISTORY) -> None:
        """Show the newest accepted changes: when, by whom, which files."""
        configuring.show_history(self._options, most, self._output)

    def audit(self, generation: int) -> None:
        """Show what one accepted change did."""
        configuring.show_change(self._options, generation, self._output)

    def rollback(
        self,
        generation: int,
        *,
        wait: bool = False,
        limit_s: float = _IN_FORCE_S,
    ) -> None:
        """Apply the files of an older generation as a new one."""
        configuring.roll_back(
            self._options, generation, limit_s if wait else 0, self._output
        )

    def status(self) -> None:
        """Show how each live node is."""
        looking.show_status(self._fleet(), self._output)

    def nodes(self) -> None:
        """Show the live nodes and where they are."""
        looking.show_nodes(self._fleet(), self._output)

    @SetParseFns(service=str, key=str)
    def owners(self, service: str, key: str = '') -> None:
        """Show who owns the shards of a service, or one key of it."""
        if key:
            looking.show_owner(self._fleet(), service, key, self._output)
        else:
            looking.show_owners(self._fleet(), service, self._output)

    def idle(self, *, window_s: float = _WINDOW_S) -> None:
        """Show what capacity carried and what lay idle, by who pays."""
        looking.show_idle(self._fleet(), window_s, self._output)

    @SetParseFns(request=str)
    def explain(self, request: str, *files: str) -> None:
        """Tell a request's story from the log files of the nodes."""
        explain(request, files, self._output)

    @SetParseFns(node_id=str)
    def drain(self, node_id: str) -> None:
        """Begin the planned stop of a node; it finishes what runs."""
        self._fleet().drain(node_id)
        self._output.say(
            f'{node_id} is draining; it is gone from "laburnumwood nodes" '
            'when its shards have new owners'
        )
        self._output.data({'draining': node_id})

    @SetParseFns(node_id=str)
    def confirm_lost(self, node_id: str, *, yes: bool = False) -> None:
        """Assert that a node is lost for good, so that others may follow."""
        confirm_loss(self._options, node_id, self._output, sure=yes)

    def _fleet(self) -> Fleet:
        return Fleet(self._options)


def _names(only: str) -> tuple[str, ...]:
    return tuple(name for name in only.split(',') if name)


def _join_only(arguments: list[str]) -> list[str]:
    """Return arguments with every --only FILE joined into one flag."""
    joined: list[str] = []
    names: list[str] = []
    rest = iter(arguments)
    for argument in rest:
        flag, equals, name = argument.partition('=')
        if flag == _ONLY:
            names.append(name if equals else next(rest, ''))
        else:
            joined.append(argument)
    return [*joined, f'{_ONLY}={",".join(names)}'] if names else joined


def _explain(failure: LaburnumwoodError) -> tuple[int, str]:
    """Return the exit status and what a person has to know."""
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
    """Run one command and return its exit status."""
    arguments = _join_only(sys.argv[1:])
    NullHandler().push_application()  # the tool tells people itself
    try:
        fire.Fire(Tool, command=arguments, name='laburnumwood')
    except LaburnumwoodError as failure:
        status, text = _explain(failure)
        sys.stderr.write(f'{text}\n')
        return status
    return 0


if __name__ == '__main__':
    sys.exit(main())
