"""Requesters that send requests at a steady rate, and record the answers."""

import itertools
import json
import threading
import time
from dataclasses import dataclass
from typing import Any

from review.lib2.deployment import Recorder, ask_once

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Asked:
    """A request that was sent, and its end: a status or an error."""

    attempt: str
    at_s: float
    ended_s: float
    end: str
    body: bytes = b''
    has_stamp: bool = False


class Caller:
    """Sends one request after the other at a door, until it is stopped."""

    def __init__(
        self,
        door: str,
        target: str,
        per_s: float,
        record: Recorder,
        *,
        method: str = 'POST',
        plan: dict[str, Any] | None = None,
        deadline_ms: int = 2000,
    ) -> None:
        self._door = door
        self._target = target
        self.per_s = per_s
        self._record = record
        self._method = method
        self._plan = json.dumps(plan or {})
        self._deadline_ms = deadline_ms
        self._is_stopped = threading.Event()
        self.asked: list[Asked] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop, and wait for the answers that are due."""
        self._is_stopped.set()
        self._thread.join()

    def stop_soon(self) -> None:
        """Stop without waiting."""
        self._is_stopped.set()

    def _run(self) -> None:
        while not self._is_stopped.wait(1 / self.per_s):
            threading.Thread(target=self.ask, daemon=True).start()
        time.sleep(self._deadline_ms / 1000 + 0.5)

    def ask(self) -> Asked:
        """Send a request and wait for its end."""
        attempt = f'a{next(_numbers)}'
        at_s = time.monotonic()
        body, has_stamp = b'', False
        try:
            status, head, body = ask_once(
                self._door,
                self._target,
                attempt,
                self._deadline_ms,
                self._method,
                b'{}' if self._method == 'POST' else b'',
                Plan=self._plan,
            )
            end, has_stamp = str(status), head.has('response-stamp')
        except (OSError, ValueError) as error:
            end = repr(error)
        done = Asked(attempt, at_s, time.monotonic(), end, body, has_stamp)
        self.asked.append(done)
        self._record(
            'asked', attempt=attempt, door=self._door, at=at_s, end=end
        )
        return done
