"""Counts of the calls that reached the platform."""

from collections import Counter
from typing import Any

KNOWN_PREFIXES = ('nodes', 'shards', 'config', 'audit')
READS = 'reads'
WRITES = 'writes'


class Gauge:
    """Counts those who are inside its context."""

    def __init__(self) -> None:
        self.level = 0

    def __enter__(self) -> None:
        """Count one more."""
        self.level += 1

    def __exit__(self, *failure: object) -> None:
        """Count one less."""
        self.level -= 1


class CallCounts:
    """Counts every object and watch call when it arrives."""

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._prefixes: dict[str, Counter[str]] = {
            prefix: Counter() for prefix in KNOWN_PREFIXES
        }
        self._watches = 0
        self.waiting = Gauge()

    def note_call(self, kind: str, name: str) -> None:
        """Count a read or a write of a name."""
        prefix = name.split('/')[0]
        self._totals[kind] += 1
        self._prefixes.setdefault(prefix, Counter())[kind] += 1

    def note_watch(self) -> None:
        """Count a watch."""
        self._watches += 1

    def report(self) -> dict[str, Any]:
        """Return all counts."""
        return {
            **_calls(self._totals),
            'watches': self._watches,
            'waiting': self.waiting.level,
            'by_path_prefix': {
                prefix: _calls(calls)
                for prefix, calls in self._prefixes.items()
            },
        }


def _calls(counter: Counter[str]) -> dict[str, int]:
    return {kind: counter[kind] for kind in (READS, WRITES)}
