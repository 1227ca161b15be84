"""The log of the keys that a life of a worker takes."""

import json

from standins.clock import boottime_ms
from standins.reporter.holds import Row


class TakingLog:
    """Logs rows that are newly held, with the life of the worker."""

    def __init__(self, life: str) -> None:
        self._life = life
        self._held: list[Row] = []

    def record(self, rows: list[Row], _until_ms: float) -> None:
        """Log those of the rows held that were not held before."""
        taken = [row for row in rows if row not in self._held]
        self._held = rows
        if taken:
            line = {'life': self._life, 'at_ms': boottime_ms(), 'taken': taken}
            print(json.dumps(line), flush=True)
