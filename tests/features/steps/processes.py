"""Processes that scenarios start and stop."""

import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
READY = 'listening on '
STOP_TIMEOUT_S = 30


class Process:
    """A Python module that runs as a server in a separate process.

    The constructor returns when the server is listening.  Signals are sent to
    this process only.
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
        """Wait for the process to exit; return its exit status."""
        return self._child.wait()

    def kill(self) -> None:
        """Kill the process, which simulates a crash."""
        self._child.kill()
        self._child.wait()

    def pause(self) -> None:
        """Suspend the process until `resume` is called."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process after `pause`."""
        self._child.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Stop the process, even if it is paused or has exited already."""
        self._child.terminate()
        self.resume()
        try:
            self._child.wait(timeout=STOP_TIMEOUT_S)
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
        raise RuntimeError(
            f'exited with status {status} before it was listening'
        )
