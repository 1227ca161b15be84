"""Logging to standard output: one JSON object per line, without blocking.

Lines are buffered in memory until standard output accepts them.  Events of a
kind that is too frequent, and lines that exceed the buffer, are dropped and
counted; the next line that is written contains the count.
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

LINES_PER_SECOND = 50  # for each kind of event
_BURST = 100  # lines of one kind that may be written at once
_MAX_BUFFERED = 2_000  # lines that standard output has not accepted
_FLUSH_MS = 50
_UNLIMITED_LEVEL = logbook.ERROR  # lowest level without a rate limit


class RateLimiter:
    """Limits the rate of each kind of event by a token bucket."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, tuple[float, int]] = {}

    def try_acquire(self, kind: str) -> bool:
        """Take a token of a kind; return whether there was one."""
        now_ms = self._clock.now_ms()
        tokens, filled_ms = self._buckets.get(kind, (_BURST, now_ms))
        gained = (now_ms - filled_ms) * LINES_PER_SECOND / MS_PER_SECOND
        tokens = min(tokens + gained, _BURST)
        allowed = tokens >= 1
        self._buckets[kind] = (tokens - allowed, now_ms)
        return allowed


class LineWriter:
    """Writes lines to a file descriptor without blocking, in one task."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._is_writing = False
        self.dropped = 0

    def put(self, line: bytes) -> None:
        """Buffer a line to be written soon; drop it if the buffer is full."""
        if len(self._buffer) >= _MAX_BUFFERED:
            self.dropped += 1
            return
        self._buffer.append(line)
        if not self._is_writing:
            self._is_writing = True
            start(self._write)

    def flush(self) -> None:
        """Write the buffered lines until a write would block."""
        written = True
        while self._buffer and written:
            written = self._write_some(b''.join(self._buffer))

    def _write(self) -> None:
        eventlet.sleep(_FLUSH_MS / MS_PER_SECOND)
        try:
            while self._buffer:
                if not self._write_some(b''.join(self._buffer)):
                    trampoline(self._descriptor, write=True)
        finally:
            self._is_writing = False

    def _write_some(self, content: bytes) -> bool:
        try:
            size = os.write(self._descriptor, content)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe: the lost lines are counted.
            self.dropped += len(self._buffer)
            self._buffer.clear()
            return True
        self._buffer.clear()
        if size < len(content):
            self._buffer.append(content[size:])
        return True


class JsonHandler(logbook.Handler):
    """Writes each record as a line of JSON to standard output.

    The fields of an event are the record's `extra`.  Its field `node`, the
    node that the event is about, is written as `about`, because `node` is the
    node that writes the line.
    """

    def __init__(self, node_id: str, clock: Clock) -> None:
        super().__init__(level=logbook.INFO)
        os.set_blocking(sys.stdout.fileno(), False)
        self._node_id = node_id
        self._clock = clock
        self._limiter = RateLimiter(clock)
        self._writer = LineWriter(sys.stdout.fileno())
        self._suppressed = 0

    def allows(self, event: Event) -> bool:
        """Return whether to write an event; count it if not."""
        if event.level >= _UNLIMITED_LEVEL or self._limiter.try_acquire(
            event.name
        ):
            return True
        self._suppressed += 1
        return False

    def emit(self, record: Any) -> None:
        """Format a record and pass it to the writer."""
        fields = dict(record.extra)
        about = fields.pop('node', None)
        line: dict[str, Any] = {
            'at_ms': self._clock.wall_ms(),
            'node': self._node_id,
            'level': logbook.get_level_name(record.level).lower(),
            **fields,
        }
        if about is not None:
            line['about'] = about
        dropped = self._suppressed + self._writer.dropped
        if dropped:
            line['left_out'] = dropped
            self._suppressed = 0
            self._writer.dropped = 0
        text = json.dumps(line, default=str)
        self._writer.put(f'{text}\n'.encode())

    def close(self) -> None:
        """Write the buffered lines."""
        self._writer.flush()
