"""The program laburnumwoodd: patches the library, then starts the daemon."""

import gc
import os
import sys
import warnings
from importlib import import_module
from itertools import pairwise
from pathlib import Path

# Nodes know each other by numbers; a resolver of its own takes time to load.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

# Little of what the start makes is garbage: looking for it takes long.
gc.disable()

import eventlet  # noqa: E402
from eventlet.hubs import use_hub  # noqa: E402

from laburnumwood.listening import open_early  # noqa: E402

_SETTINGS = '--settings'
_NEW_OBJECTS = 10_000  # more than live at once for requests, per collection


def _settings_path(arguments: list[str]) -> Path | None:
    """Return the path of the settings, if it is named in the usual way."""
    pairs = pairwise(arguments)
    return next((Path(path) for name, path in pairs if name == _SETTINGS), None)


def main() -> int:
    """Run a node until it is told to stop; return the exit status."""
    use_hub('laburnumwood.hub')
    path = _settings_path(sys.argv)
    if path is not None:
        open_early(path)
    # No other threads run, and no task waits while it holds a lock.
    eventlet.monkey_patch(thread=False)
    # What it imports has to find the patched library.
    program = import_module('laburnumwood.daemon.program')
    gc.freeze()
    gc.set_threshold(_NEW_OBJECTS)
    gc.enable()
    status: int = program.main()
    return status


if __name__ == '__main__':
    sys.exit(main())
