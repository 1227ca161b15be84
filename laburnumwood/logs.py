"""The log: one JSON object a line, bounded, and never waited for.

Lines are kept in memory until standard output takes them.  A kind of event
that comes too often, and lines that standard output does not take in time,
are counted instead; the next line that is written says how many.
"""

import json
import os
import sys
from collections import deque
from typing import Any

import eventlet
import logbook
from eventlet.hubs import trampoline

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import Event
from laburnumwood.tasks import start

LINES_PER_SECOND = 50  # of one kind of event
_BURST = 100  # lines of one kind that may come at once
_MOST_WAITING = 2_000  # lines that standard output has not taken
_FLUSH_MS = 50
_ALWAYS = logbook.ERROR  # errors are never left out for coming often


class Allowance:
    """Lets so many events of each kind through: a token bucket each."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, tuple[float, int]] = {}

    def spend(self, kind: str) -> bool:
        """Tell whether one more event of a kind may be written."""
        now_ms = self._clock.now_ms()
        left, filled_ms = self._buckets.get(kind, (_BURST, now_ms))
        gained = (now_ms - filled_ms) * LINES_PER_SECOND / MS_PER_SECOND
        left = min(left + gained, _BURST)
        allowed = left >= 1
        self._buckets[kind] = (left - allowed, now_ms)
        return allowed


class LineWriter:
    """Writes lines to a descriptor as it takes them, from one task."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._is_writing = False
        self.dropped = 0

    def put(self, line: bytes) -> None:
        """Write a line soon, or count it if too many wait already."""
        if len(self._waiting) >= _MOST_WAITING:
            self.dropped += 1
            return
        self._waiting.append(line)
        if not self._is_writing:
            self._is_writing = True
            start(self._write)

    def flush(self) -> None:
        """Write what waits now, as far as it is taken at once."""
        taken = True
        while self._waiting and taken:
            taken = self._write_some(b''.join(self._waiting))

    def _write(self) -> None:
        eventlet.sleep(_FLUSH_MS / MS_PER_SECOND)
        try:
            while self._waiting:
                if not self._write_some(b''.join(self._waiting)):
                    trampoline(self._descriptor, write=True)
        finally:
            self._is_writing = False

    def _write_some(self, content: bytes) -> bool:
        try:
            taken = os.write(self._descriptor, content)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more: what is lost is counted.
            self.dropped += len(self._waiting)
            self._waiting.clear()
            return True
        self._waiting.clear()
        if taken < len(content):
            self._waiting.append(content[taken:])
        return True


class JsonHandler(logbook.Handler):
    """Writes each record as a line of JSON to standard output.

    The fields of an event are the record's `extra`; the node that an event is
    about stands as `about`, beside the `node` that writes.
    """

    def __init__(self, node_id: str, clock: Clock) -> None:
        super().__init__(level=logbook.INFO)
        os.set_blocking(sys.stdout.fileno(), False)
        self._node_id = node_id
        self._clock = clock
        self._allowance = Allowance(clock)
        self._writer = LineWriter(sys.stdout.fileno())
        self._left_out = 0

    def allows(self, event: Event) -> bool:
        """Tell whether one more event is written, or only counted."""
        if event.level >= _ALWAYS or self._allowance.spend(event.name):
            return True
        self._left_out += 1
        return False

    def emit(self, record: Any) -> None:
        """Write one record."""
        told = dict(record.extra)
        about = told.pop('node', None)
        line: dict[str, Any] = {
            'at_ms': self._clock.wall_ms(),
            'node': self._node_id,
            'level': logbook.get_level_name(record.level).lower(),
            **told,
        }
        if about is not None:
            line['about'] = about
        left_out = self._left_out + self._writer.dropped
        if left_out:
            line['left_out'] = left_out
            self._left_out = 0
            self._writer.dropped = 0
        text = json.dumps(line, default=str)
        self._writer.put(f'{text}\n'.encode())

    def close(self) -> None:
        """Write what waits now."""
        self._writer.flush()
