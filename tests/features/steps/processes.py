"""Processes that scenarios start and end."""

import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
READY = 'listening on '
STOP_SECONDS = 30


class Process:
    """A Python module that runs as a server of its own.

    The constructor returns once the server listens.  Every signal goes to
    this one process.
    """

    def __init__(self, args: Sequence[str]) -> None:
        command = (sys.executable, '-W', 'ignore', '-m', *args)
        self._child = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.url = self._read_url()

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._child.pid

    def wait(self) -> int:
        """Wait for the end; return the exit status."""
        return self._child.wait()

    def kill(self) -> None:
        """End it at once, as a crash would."""
        self._child.kill()
        self._child.wait()

    def pause(self) -> None:
        """Stop it from running until it is resumed."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run on."""
        self._child.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """End it, also while it is paused or after its end."""
        self._child.terminate()
        self.resume()
        try:
            self._child.wait(timeout=STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
        if self._child.stdout is not None:
            self._child.stdout.close()

    def _read_url(self) -> str:
        for line in self._child.stdout or ():
            if line.startswith(READY):
                address = line.removeprefix(READY).strip()
                return f'http://{address}'
        status = self.wait()
        raise RuntimeError(f'ended with status {status} before it listened')
