"""A queue for the large messages that this process sends.

All links of a process share the machine's network connection.  A socket
buffers a large message at once, and buffered data can't be overtaken: a short
answer on another link would wait until all large messages before it are sent.
So a large part of a body is sent when those before it have arrived.
"""

from bisect import insort
from dataclasses import dataclass
from itertools import count

from laburnumwood.clock import Clock
from laburnumwood.decay import DecayingMean
from laburnumwood.notifier import Notifier

LARGE_MESSAGE_SIZE = 16_384  # bytes; smaller messages are not queued
# Bytes in transit, of several messages: two parts of a body, so that the next
# one is on its way when the arrival of the first is known.
_MIN_WINDOW = 65_536
_MAX_WINDOW = 4_194_304
_FAST_MS = 50  # a transfer this short does not delay others
_SLOW_MS = 100
_SHRINK_FACTOR = 0.7
_ACK_TIMEOUT_MS = 200  # after which a transfer no longer delays others
_HALF_LIFE_MS = 2_000


@dataclass(slots=True, eq=False)
class Transfer:
    """One large message; `sent_ms` is when it could be sent.

    Of the messages that wait, the one with the lowest turn is sent first.
    """

    size: int
    turn: int
    sent_ms: int = 0


def _turn(transfer: Transfer) -> int:
    return transfer.turn


class SendQueue:
    """Sends large messages in order, with a limit on the bytes in transit."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: list[Transfer] = []  # in the order of their turns
        self._turns = count()
        self._in_transit: dict[Transfer, None] = {}
        self._window: float = _MIN_WINDOW
        self._ms_per_byte = DecayingMean(_HALF_LIFE_MS, clock)
        self._changed = Notifier()
        self._backlog = 0

    @property
    def queueing_delay_ms(self) -> float:
        """Return how long another large message would wait for its turn."""
        queued_size = sum(each.size for each in self._waiting)
        return (queued_size + self._backlog) * self._ms_per_byte.mean

    @property
    def window(self) -> float:
        """Return how many bytes of large messages may be in transit.

        It is large while the network is fast.
        """
        return self._window

    def change_backlog(self, size: int) -> None:
        """Add to the bytes that senders hold and have not queued yet."""
        self._backlog += size

    def new_turn(self) -> int:
        """Return a turn after all those that were returned before."""
        return next(self._turns)

    def acquire(self, size: int, turn: int | None = None) -> Transfer:
        """Wait until a large message of some size may be sent.

        All parts of an answer have the turn of the first one, so that answers
        are completed one after the other.
        """
        transfer = Transfer(size, self.new_turn() if turn is None else turn)
        insort(self._waiting, transfer, key=_turn)
        try:
            while not self._may_send(transfer):
                self._changed.wait(_ACK_TIMEOUT_MS / 2)
        finally:
            self._waiting.remove(transfer)
            self._changed.notify_all()
        transfer.sent_ms = self._clock.now_ms()
        self._in_transit[transfer] = None
        return transfer

    def release(self, transfer: Transfer) -> None:
        """End a transfer: the message has arrived or never will."""
        if transfer not in self._in_transit:
            return
        self._in_transit.pop(transfer)
        duration_ms = self._clock.now_ms() - transfer.sent_ms
        self._ms_per_byte.add(duration_ms / transfer.size)
        self._adapt(transfer.size, duration_ms)
        self._changed.notify_all()

    def _adapt(self, size: int, duration_ms: int) -> None:
        """Adapt the window to the speed of the network."""
        if duration_ms <= _FAST_MS:
            self._window = min(self._window + size, _MAX_WINDOW)
        elif duration_ms >= _SLOW_MS:
            self._window = max(self._window * _SHRINK_FACTOR, _MIN_WINDOW)

    def _may_send(self, transfer: Transfer) -> bool:
        if self._waiting[0] is not transfer:
            return False
        now_ms = self._clock.now_ms()
        for pending in tuple(self._in_transit):
            if now_ms - pending.sent_ms >= _ACK_TIMEOUT_MS:
                self.release(pending)
        in_transit_size = sum(each.size for each in self._in_transit)
        return (
            not in_transit_size
            or in_transit_size + transfer.size <= self._window
        )


SEND_QUEUE = SendQueue(Clock())  # shared by all links of this process
