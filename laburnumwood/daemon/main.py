"""The program laburnumwoodd."""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import argparse  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402
from types import FrameType  # noqa: E402

import logbook  # noqa: E402

from laburnumwood.daemon.node import Node  # noqa: E402
from laburnumwood.errors import SettingsError  # noqa: E402
from laburnumwood.settings import read_settings  # noqa: E402

EXIT_USAGE = 2


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='laburnumwoodd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    return parser.parse_args()


def main() -> int:
    """Run a node until it is told to stop; return the exit status."""
    try:
        node = Node(read_settings(_arguments().settings))
    except SettingsError as refused:
        sys.stderr.write(f'{refused}\n')
        return EXIT_USAGE
    logbook.StreamHandler(sys.stderr, level=logbook.INFO).push_application()

    def begin_stop(_number: int, _frame: FrameType | None) -> None:
        node.stop()

    signal.signal(signal.SIGTERM, begin_stop)
    signal.signal(signal.SIGINT, begin_stop)
    node.run()
    return 0


if __name__ == '__main__':
    sys.exit(main())
