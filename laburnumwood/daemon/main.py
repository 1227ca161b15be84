"""The program laburnumwoodd: applies eventlet's patches, then runs a node."""

import gc
import os
import sys
import warnings
from importlib import import_module
from itertools import pairwise
from pathlib import Path

from laburnumwood.daemon.early_signals import EarlySignals

# The other imports take long.
_EARLY_SIGNALS = EarlySignals()
_EARLY_SIGNALS.hold()

# Nodes address each other by IP address, and eventlet's DNS resolver is slow to
# import.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

# Start-up creates little garbage, and collecting it would take long.
gc.disable()

import eventlet  # noqa: E402
from eventlet.hubs import use_hub  # noqa: E402

from laburnumwood.listening import open_early  # noqa: E402

_SETTINGS = '--settings'
_GC_THRESHOLD = 10_000  # objects per collection; requests keep fewer alive


def _settings_path(arguments: list[str]) -> Path | None:
    """Return the path that follows `--settings`, None if there is none."""
    pairs = pairwise(arguments)
    return next((Path(path) for name, path in pairs if name == _SETTINGS), None)


def main() -> int:
    """Run a node until it is stopped; return the exit status."""
    use_hub('laburnumwood.hub')
    path = _settings_path(sys.argv)
    if path is not None:
        open_early(path)
    # Locks need no patch: there is one thread, and no task waits holding one.
    eventlet.monkey_patch(thread=False)
    # Its imports need the patched standard library, so it is imported here.
    program = import_module('laburnumwood.daemon.program')
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    gc.enable()
    status: int = program.main(_EARLY_SIGNALS)
    return status


if __name__ == '__main__':
    sys.exit(main())
