"""Counts of the calls that reached the stand-in for the platform."""

from collections import Counter
from typing import Any

KNOWN_PREFIXES = ('nodes', 'shards', 'config', 'audit')
READS = 'reads'
WRITES = 'writes'


class InProgressGauge:
    """Context manager that counts the tasks currently inside its block."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        """Increment the count."""
        self.count += 1

    def __exit__(self, *failure: object) -> None:
        """Decrement the count."""
        self.count -= 1


class CallCounts:
    """Counts object and watch calls on arrival, before faults apply."""

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._by_prefix: dict[str, Counter[str]] = {
            prefix: Counter() for prefix in KNOWN_PREFIXES
        }
        self._watch_count = 0
        self.waiting_watches = InProgressGauge()

    def record_call(self, operation: str, name: str) -> None:
        """Count a read or write of an object name or a name prefix."""
        prefix = name.split('/')[0]
        self._totals[operation] += 1
        self._by_prefix.setdefault(prefix, Counter())[operation] += 1

    def record_watch(self) -> None:
        """Count a watch call."""
        self._watch_count += 1

    def report(self) -> dict[str, Any]:
        """Return all counts, as they are sent as JSON."""
        return {
            **_count_operations(self._totals),
            'watches': self._watch_count,
            'waiting': self.waiting_watches.count,
            'by_path_prefix': {
                prefix: _count_operations(calls)
                for prefix, calls in self._by_prefix.items()
            },
        }


def _count_operations(counter: Counter[str]) -> dict[str, int]:
    return {operation: counter[operation] for operation in (READS, WRITES)}
