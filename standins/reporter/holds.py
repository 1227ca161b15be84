"""The key ranges that a worker holds."""

from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from standins.clock import monotonic_ms

Row = list[int]


@dataclass(frozen=True, slots=True)
class _Hold:
    token: int
    last: int


class Holds:
    """The held key ranges with their tokens and common expiry time.

    Times are in milliseconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self._held: dict[int, _Hold] = {}  # by the first key
        self._until_ms: float = 0
        self._highest_tokens: dict[int, int] = {}
        self._released: list[tuple[int, int, str]] = []
        self.handover_count = 0

    def rows(self) -> list[Row]:
        """Return the held ranges as rows of first key, last key and token."""
        self._expire()
        return [
            [first, hold.last, hold.token]
            for first, hold in sorted(self._held.items())
        ]

    def pop_released(self) -> list[tuple[int, int, str]]:
        """Return the ranges released since the last call.

        Each has its first key, last key and handover.
        """
        released, self._released = self._released, []
        return released

    def replace(
        self, rows: list[tuple[int, int, int, str]], until_ms: float
    ) -> bool:
        """Replace the held ranges; return whether any was released.

        Each row has first key, last key, token and handover.
        """
        self._expire()
        wanted = {row[0]: row for row in rows}
        dropped = [first for first in self._held if first not in wanted]
        for first in dropped:
            hold = self._held.pop(first)
            handover = xxh3_64_hexdigest(f'{first} {hold.token}'.encode())
            self._released.append((first, hold.last, handover))
        for first, last, token, handover in rows:
            if token >= self._highest_tokens.get(first, 0):
                self._highest_tokens[first] = token
                self._held[first] = _Hold(token, last)
                self.handover_count += bool(handover)
        self._until_ms = until_ms
        return bool(dropped)

    def admits(self, key: int) -> bool:
        """Return whether a key is held now."""
        self._expire()
        return any(
            first <= key <= hold.last for first, hold in self._held.items()
        )

    def _expire(self) -> None:
        if monotonic_ms() >= self._until_ms:
            self._held.clear()
