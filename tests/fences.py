"""Checks that no life of a worker takes a key under a fence that is not new.

Each life of any worker that takes a key needs a fencing token above all under
which other lives had it.  The same life may keep or get back its own token.
"""

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

_NO_TOKEN = -1  # lower than any token


class TokenNotIncreasedError(AssertionError):
    """A new owner has no higher fencing token than an earlier one."""


@dataclass(frozen=True, slots=True)
class Taking:
    """Keys that a life of a worker holds from now on, both ends included.

    `life` names one process of a worker and no other one.
    """

    life: str
    first: int
    last: int
    token: int


@dataclass(frozen=True, slots=True)
class _Fence:
    """The highest token under which a life has had a key."""

    token: int = _NO_TOKEN
    life: str = ''


@dataclass(frozen=True, slots=True)
class _Fences:
    """The highest fence of a key, and the highest one of any other life."""

    highest: _Fence = _Fence()
    highest_other: _Fence = _Fence()

    def beside(self, life: str) -> _Fence:
        """Return the highest fence of the lives other than the given one."""
        is_highest = life == self.highest.life
        return self.highest_other if is_highest else self.highest

    def add(self, added: _Fence) -> '_Fences':
        """Return the fences with a further one."""
        if added.life == self.highest.life:
            highest = max(added, self.highest, key=lambda each: each.token)
            return _Fences(highest, self.highest_other)
        if added.token > self.highest.token:
            return _Fences(added, self.highest)
        if added.token > self.highest_other.token:
            return _Fences(self.highest, added)
        return self


class FenceHistory:
    """Remembers by keys, not by shards, which life had which fences."""

    def __init__(self) -> None:
        # Neighbouring keys with the same history share an entry.
        self._firsts = [0]
        self._fences = [_Fences()]

    def take(self, taking: Taking) -> tuple[str, ...]:
        """Record that a life takes keys; call it in the order of time.

        Returns a description of each violation, none if all is well.
        """
        start = self._split_before(taking.first)
        end = self._split_before(taking.last + 1)
        return tuple(self._take_entries(taking, start, end))

    def check(self, taking: Taking, script: object = '') -> None:
        """Record that a life takes keys.

        Raises `TokenNotIncreasedError`, with the script, on a violation.
        """
        violations = self.take(taking)
        if violations:
            raise TokenNotIncreasedError(f'{violations[0]} {script}')

    def _take_entries(
        self, taking: Taking, start: int, end: int
    ) -> Iterator[str]:
        for index in range(start, end):
            fences = self._fences[index]
            before = fences.beside(taking.life)
            self._fences[index] = fences.add(_Fence(taking.token, taking.life))
            if taking.token <= before.token:
                yield (
                    f'key {self._firsts[index]} went to {taking.life} with '
                    f'fence {taking.token}; {before.life} had it with fence '
                    f'{before.token}'
                )

    def _split_before(self, key: int) -> int:
        """Return the index of the entry that begins with a key."""
        index = bisect_left(self._firsts, key)
        if index == len(self._firsts) or self._firsts[index] != key:
            self._firsts.insert(index, key)
            self._fences.insert(index, self._fences[index - 1])
        return index
