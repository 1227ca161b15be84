"""The fencing tokens under which instances of the worker have had keys."""

from collections.abc import Iterable, Iterator
from itertools import pairwise
from typing import Self

from sortedcontainers import SortedDict

from laburnumwood.events import TOKENS_REPORTED
from laburnumwood.records import KeyRange
from laburnumwood.upstream.reports import WorkerReport

_NO_TOKEN = -1  # lower than any token


class _KeyTokens:
    """The highest token that was recorded for each key.

    It is kept as steps: a token counts from its key up to that of the next.
    """

    def __init__(self) -> None:
        self._steps: SortedDict[int, int] = SortedDict()

    def raise_to(self, token: int, keys: KeyRange) -> None:
        """Record a token of keys, where none as high is recorded."""
        for end in (keys.first, keys.last + 1):
            self._steps.setdefault(end, self._at(end))
        for start in self._steps.irange(keys.first, keys.last):
            self._steps[start] = max(token, self._steps[start])
        self._join(keys)

    def raise_all(self, other: Self) -> None:
        """Record the tokens that another one has recorded."""
        starts = tuple(other._steps)
        for first, end in pairwise(starts):
            self.raise_to(other._steps[first], KeyRange(first, end - 1))

    def of(self, keys: KeyRange) -> Iterator[int]:
        """Return the tokens of keys, one or several times each."""
        yield self._at(keys.first)
        for start in self._steps.irange(keys.first, keys.last):
            yield self._steps[start]

    def clear(self) -> None:
        """Forget all tokens."""
        self._steps.clear()

    def _at(self, key: int) -> int:
        step = self._steps.bisect_right(key) - 1
        return self._steps.peekitem(step)[1] if step >= 0 else _NO_TOKEN

    def _join(self, keys: KeyRange) -> None:
        """Drop the steps in keys and at their end that change nothing."""
        for start in tuple(self._steps.irange(keys.first, keys.last + 1)):
            step = self._steps.index(start)
            before = self._steps.peekitem(step - 1)[1] if step else _NO_TOKEN
            if self._steps[start] == before:
                self._steps.pop(start)


class TokenHistory:
    """Remembers by keys which tokens the worker has had, and in which instance.

    A key keeps its history when it becomes part of another shard.
    """

    def __init__(self) -> None:
        self._current = _KeyTokens()
        self._earlier = _KeyTokens()

    def record(self, ranges: Iterable[KeyRange], token: int) -> None:
        """Record that the current instance has had keys under a token."""
        for keys in ranges:
            self._current.raise_to(token, keys)

    def record_report(self, report: WorkerReport) -> None:
        """Record the tokens that the current instance reports to have.

        An earlier process of this node may have granted them.
        """
        unknown = [
            held
            for held in report.held
            if not self._is_recorded(held.keys, held.token)
        ]
        for held in unknown:
            self.record((held.keys,), held.token)
        if unknown:
            TOKENS_REPORTED.report(
                worker=report.worker_id,
                started_ms=report.started_ms,
                rows=len(unknown),
                highest=max(each.token for each in unknown),
            )

    def record_earlier(self, report: WorkerReport) -> None:
        """Record the tokens that another instance reports to have."""
        for held in report.held:
            self._earlier.raise_to(held.token, held.keys)

    def begin_instance(self) -> None:
        """Record that another instance of the worker has begun."""
        self._earlier.raise_all(self._current)
        self._current.clear()

    def least_token(self, ranges: Iterable[KeyRange]) -> int:
        """Return the least token under which keys may be granted now.

        It is above all tokens with which earlier instances have had one of
        them, and not below those of the current one, which accepts no lower.
        """
        least = _NO_TOKEN
        for keys in ranges:
            earlier = max(self._earlier.of(keys))
            least = max(least, earlier + 1, *self._current.of(keys))
        return least

    def _is_recorded(self, keys: KeyRange, token: int) -> bool:
        """Return whether the instance has had keys under a token or above."""
        return min(self._current.of(keys)) >= token
