"""The command-line options of the stand-in worker."""

from argparse import ArgumentParser, BooleanOptionalAction
from dataclasses import dataclass

DEFAULT_SLOTS = 20
DEFAULT_WORK_MS = 5


@dataclass(frozen=True, slots=True)
class WorkerOptions:
    """The options, which are fixed while the worker runs."""

    name: str
    port: int
    slots: int
    check_tokens: bool
    work_ms: int
    cold_start_ms: int
    drain_ms: int
    journal_url: str | None


def parse_options() -> WorkerOptions:
    """Parse the options from the command line."""
    parser = ArgumentParser(prog='standins.worker')
    parser.add_argument('--name', default='worker')
    parser.add_argument('--slots', type=int, default=DEFAULT_SLOTS)
    parser.add_argument(
        '--check-tokens',
        action=BooleanOptionalAction,
        default=True,
    )
    parser.add_argument('--work-ms', type=int, default=DEFAULT_WORK_MS)
    for option in ('--port', '--cold-start-ms', '--drain-ms'):
        parser.add_argument(option, type=int, default=0)
    parser.add_argument('--journal-url')
    return WorkerOptions(**vars(parser.parse_args()))
