"""Run a node of the router beside a worker."""

import argparse
import signal
import sys
from pathlib import Path
from types import FrameType

from laburnumwood import platform
from laburnumwood.clock import Clock
from laburnumwood.daemon.early_signals import EarlySignals
from laburnumwood.daemon.node import Node
from laburnumwood.errors import SettingsError
from laburnumwood.events import SETTINGS_READ, add_filter
from laburnumwood.logs import JsonHandler
from laburnumwood.settings import read_settings

EXIT_USAGE = 2


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='laburnumwoodd', description=__doc__)
    parser.add_argument('--settings', type=Path, required=True)
    return parser.parse_args()


class _SignalHandlers:
    """Handles SIGTERM and SIGINT (planned stop) and SIGHUP (read settings).

    Those that arrived before are handled when the handlers are installed.
    """

    def __init__(self, node: Node, path: Path) -> None:
        self._node = node
        self._path = path

    def install(self, early: EarlySignals) -> None:
        """Install the handlers."""
        early.release(
            {
                signal.SIGTERM: self._stop,
                signal.SIGINT: self._stop,
                signal.SIGHUP: self._reread_settings,
            }
        )

    def _stop(self, _number: int, _frame: FrameType | None) -> None:
        self._node.stop()

    def _reread_settings(self, _number: int, _frame: FrameType | None) -> None:
        try:
            settings = read_settings(self._path)
        except SettingsError as refused:
            SETTINGS_READ.report(path=self._path, refused=refused)
            return
        changed = self._node.changed_settings(settings)
        SETTINGS_READ.report(path=self._path, changed=','.join(changed))


def main(early_signals: EarlySignals) -> int:
    """Run a node until it is stopped; return the exit status."""
    platform.register()
    path: Path = _arguments().settings
    try:
        node = Node(read_settings(path))
    except SettingsError as refused:
        sys.stderr.write(f'{refused}\n')
        return EXIT_USAGE
    handler = JsonHandler(node.settings.node_id, Clock())
    handler.push_application()
    add_filter(handler.allows)
    _SignalHandlers(node, path).install(early_signals)
    node.run()
    handler.close()
    return 0
