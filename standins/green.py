"""The start of every stand-in: make blocking calls cooperative, then run."""

import importlib

import eventlet


def run(module: str) -> None:
    """Patch the standard library, then call `main` of the module."""
    eventlet.monkey_patch()
    importlib.import_module(module).main()
