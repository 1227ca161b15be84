"""Starts a stand-in server on eventlet green threads."""

import importlib

import eventlet


def run(module: str) -> None:
    """Import a module and call its `main` function.

    The standard library is patched first, so that blocking calls yield to
    other green threads.
    """
    eventlet.monkey_patch()
    importlib.import_module(module).main()
