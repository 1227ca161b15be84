"""The fencing tokens under which instances of the worker have had keys."""

from collections.abc import Iterable

from laburnumwood.events import TOKENS_REPORTED
from laburnumwood.records import KeyRange
from laburnumwood.upstream.reports import WorkerReport

_NO_TOKEN = -1  # lower than any token


def _overlap(keys: KeyRange, other: KeyRange) -> bool:
    return keys.first <= other.last and other.first <= keys.last


def _contains(keys: KeyRange, other: KeyRange) -> bool:
    return keys.first <= other.first and other.last <= keys.last


def _highest(tokens: dict[KeyRange, int], wanted: tuple[KeyRange, ...]) -> int:
    """Return the highest token of keys in the wanted ranges."""
    found = (
        token
        for recorded, token in tokens.items()
        if any(_overlap(recorded, keys) for keys in wanted)
    )
    return max(found, default=_NO_TOKEN)


class TokenHistory:
    """Remembers by keys which tokens the worker has had, and in which instance.

    A key keeps its history when it becomes part of another shard.
    """

    def __init__(self) -> None:
        self._current: dict[KeyRange, int] = {}
        self._earlier: dict[KeyRange, int] = {}

    def record(self, ranges: Iterable[KeyRange], token: int) -> None:
        """Record that the current instance has had keys under a token."""
        for keys in ranges:
            self._current[keys] = max(token, self._current.get(keys, _NO_TOKEN))

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
            known = self._earlier.get(held.keys, _NO_TOKEN)
            self._earlier[held.keys] = max(held.token, known)

    def begin_instance(self) -> None:
        """Record that another instance of the worker has begun."""
        for keys, token in self._current.items():
            self._earlier[keys] = max(token, self._earlier.get(keys, _NO_TOKEN))
        self._current.clear()

    def least_token(self, ranges: Iterable[KeyRange]) -> int:
        """Return the least token under which keys may be granted now.

        It is above all tokens with which earlier instances have had one of
        them, and not below those of the current one, which accepts no lower.
        """
        wanted = tuple(ranges)
        earlier = _highest(self._earlier, wanted)
        return max(earlier + 1, _highest(self._current, wanted))

    def _is_recorded(self, keys: KeyRange, token: int) -> bool:
        """Return whether the instance has had keys under a token or above."""
        if self._current.get(keys, _NO_TOKEN) >= token:
            return True
        return any(
            known >= token and _contains(recorded, keys)
            for recorded, known in self._current.items()
        )
