"""Processes of checks, each with its children in a group of its own."""

import os
import signal
import subprocess
import time
from contextlib import suppress
from pathlib import Path
from threading import Lock

ROOT = Path(__file__).resolve().parent.parent.parent
MAX_SILENCE_S = 600  # without a line of output
_POLL_S = 0.2


class HungError(Exception):
    """A process has written no line for too long."""


class InterruptedRunError(Exception):
    """All processes of checks were ended."""


class CheckProcess:
    """A command whose output goes to a file, with its own temporary folder."""

    def __init__(self, command: tuple[str, ...], folder: Path) -> None:
        self._output = folder / 'output'
        temporary = folder / 'tmp'
        temporary.mkdir(parents=True)
        environment = {
            **os.environ,
            'PYTHONUNBUFFERED': '1',
            'TMPDIR': str(temporary),
        }
        with self._output.open('wb') as output:
            self._child = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def output(self) -> str:
        """Return what was written so far."""
        return self._output.read_text(errors='replace')

    def wait(self, max_silence_s: float) -> int:
        """Wait for the end and return the status; raises `HungError`."""
        lines = 0
        silent_since_s = time.monotonic()
        while self._child.poll() is None:
            written = self._output.read_bytes().count(b'\n')
            now_s = time.monotonic()
            if written != lines:
                lines, silent_since_s = written, now_s
            if now_s - silent_since_s > max_silence_s:
                raise HungError
            time.sleep(_POLL_S)
        return self._child.wait()

    def end(self) -> None:
        """End the process, and what it has left running, by its group."""
        with suppress(ProcessLookupError):
            os.killpg(self._child.pid, signal.SIGKILL)
        self._child.wait()


class CheckProcesses:
    """All processes of checks that run now."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: set[CheckProcess] = set()
        self._lock = Lock()
        self._is_closed = False

    def start(self, name: str, command: tuple[str, ...]) -> CheckProcess:
        """Start a command; raises `InterruptedRunError` after `end_all`."""
        with self._lock:
            if self._is_closed:
                raise InterruptedRunError
            process = CheckProcess(command, self._folder / name)
            self._running.add(process)
            return process

    def end(self, process: CheckProcess) -> None:
        """End a process and its children, if they still run."""
        process.end()
        self._running.discard(process)

    def end_all(self) -> None:
        """End all processes and start no more."""
        with self._lock:
            self._is_closed = True
        for process in tuple(self._running):
            self.end(process)
