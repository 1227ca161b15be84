"""Turns of long messages on their way out of this machine.

All links of a process share one line.  What a connection has taken can't be
overtaken any more, and a connection takes a long message at once: an answer
of a few bytes on another link waits until all long ones before it are out.
So a long part of a body goes when those before it have arrived.
"""

from collections import deque
from dataclasses import dataclass

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.notifier import Notifier

LARGE_MESSAGE_SIZE = (
    16_384  # bytes from which on a part of a body waits for its turn
)
_LEAST_WINDOW = 98_304  # bytes on their way, of several messages
_MOST_WINDOW = 4_194_304
_SOON_MS = 50  # what arrives in this time holds up nobody
_LATE_MS = 100
_SHRINK = 0.7
_LONGEST_MS = 200  # a peer that says nothing for longer holds up nobody
_HALF_LIFE_MS = 2_000


@dataclass(slots=True, eq=False)
class Transfer:
    """One long message; `sent_ms` is when it was let go."""

    size: int
    sent_ms: int = 0


class SendQueue:
    """Who of the long messages goes, and how long others would wait."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: deque[Transfer] = deque()
        self._under_way: dict[Transfer, None] = {}
        self._window: float = _LEAST_WINDOW
        self._pace = DecayingMean(_HALF_LIFE_MS, clock)  # ms for a byte
        self._news = Notifier()

    @property
    def queueing_delay_ms(self) -> float:
        """Return how long one more long message would wait for its turn."""
        ahead = sum(each.size for each in self._waiting)
        return ahead * self._pace.mean

    def acquire(self, size: int) -> Transfer:
        """Wait until a long message may go, and let it go."""
        transfer = Transfer(size)
        self._waiting.append(transfer)
        try:
            while not self._may_go(transfer):
                self._news.wait(_LONGEST_MS / 2)
        finally:
            self._waiting.remove(transfer)
            self._news.notify_all()
        transfer.sent_ms = self._clock.now_ms()
        self._under_way[transfer] = None
        return transfer

    def release(self, transfer: Transfer) -> None:
        """Take in that a message has arrived, or that it will not any more."""
        if transfer not in self._under_way:
            return
        self._under_way.pop(transfer)
        taken_ms = self._clock.now_ms() - transfer.sent_ms
        self._pace.add(taken_ms / transfer.size)
        self._adapt(transfer.size, taken_ms)
        self._news.notify_all()

    def _adapt(self, size: int, taken_ms: int) -> None:
        """Let as much be on its way as arrives soon: lines and ways differ."""
        if taken_ms <= _SOON_MS:
            self._window = min(self._window + size, _MOST_WINDOW)
        elif taken_ms >= _LATE_MS:
            self._window = max(self._window * _SHRINK, _LEAST_WINDOW)

    def _may_go(self, transfer: Transfer) -> bool:
        if self._waiting[0] is not transfer:
            return False
        now_ms = self._clock.now_ms()
        for late in tuple(self._under_way):
            if now_ms - late.sent_ms >= _LONGEST_MS:
                self.release(late)
        on_way = sum(each.size for each in self._under_way)
        return not on_way or on_way + transfer.size <= self._window


SEND_QUEUE = SendQueue(Clock())  # of this process
