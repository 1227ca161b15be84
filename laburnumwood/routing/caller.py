"""The callers behind requests: whether they are still there."""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet.patcher import original

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import CALLER_GONE
from laburnumwood.metrics import CALLER_GONE_WITHIN
from laburnumwood.tasks import run_logged, start, supervise

GoneHandler = Callable[[], None]

_LOOK_MS = 150  # between two looks at all connections
_select = original('select')
# An end that is not hidden by bytes before it; nobody has to read them first.
_ENDED = (
    _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR | _select.POLLNVAL
)
_WATCHED = _select.POLLIN | _select.POLLRDHUP


def _poll(numbers: Iterable[int]) -> dict[int, int]:
    """Return what there is to know of descriptors, without waiting."""
    poll = _select.poll()
    for number in numbers:
        if number >= 0:
            poll.register(number, _WATCHED)
    return dict(poll.poll(0))


class Caller:
    """One caller whose answer is awaited.

    A caller that ends its side of the connection counts as gone.
    """

    def __init__(
        self, sock: Any, callers: 'Callers', request_id: str, clock: Clock
    ) -> None:
        self._socket = sock
        self._callers = callers
        self._request_id = request_id
        self._clock = clock
        self._since_ms = clock.now_ms()
        self._gone = False
        self._when_gone: GoneHandler | None = None
        self.number = int(sock.fileno())

    @property
    def is_gone(self) -> bool:
        """Tell whether the caller has gone away."""
        return self._gone

    def when_gone(self, act: GoneHandler | None) -> None:
        """Set what is done when the caller goes, in place of the last.

        It is done at once if the caller has gone already.
        """
        self._when_gone = act
        if self._gone and act is not None:
            run_logged(act)

    def stop(self) -> None:
        """Watch no longer."""
        self._when_gone = None
        self._callers.forget(self)

    def look(self) -> bool:
        """Look at the connection now; tell whether the caller has gone."""
        if not self._gone:
            number = self._socket.fileno()
            events = _poll((number,)).get(number, 0)
            self.note(_ENDED if number < 0 else events)
        return self._gone

    def note(self, events: int) -> None:
        """Take in what the system says of the connection."""
        self._gone = bool(events & _ENDED) or (
            bool(events) and self._reads_end()
        )
        if self._gone:
            self._tell_gone()
        if self._gone and self._when_gone is not None:
            run_logged(self._when_gone)

    def _reads_end(self) -> bool:
        try:
            return not self._socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _tell_gone(self) -> None:
        looked_ms = max(self._since_ms, self._callers.looked_ms)
        within_ms = self._clock.now_ms() - looked_ms
        CALLER_GONE_WITHIN.record(within_ms)
        CALLER_GONE.report(
            request=self._request_id,
            within_ms=within_ms,
            is_tried=self._when_gone is not None,
        )


class Callers:
    """Looks at the connections of all awaited callers together.

    A task or a registration for each request would cost more than one look
    at all of them now and then.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._awaited: dict[int, Caller] = {}
        self.looked_ms = 0  # when all were looked at last
        self._is_looking = False

    def await_answer(self, sock: Any, request_id: str = '') -> Caller:
        """Return the caller behind a connection, looked at from now on."""
        caller = Caller(sock, self, request_id, self._clock)
        if caller.number < 0:
            caller.look()  # its connection is closed already
            return caller
        self._awaited[caller.number] = caller
        if not self._is_looking:
            self._is_looking = True
            start(supervise, self._look_often)
        return caller

    def forget(self, caller: Caller) -> None:
        """Look at a caller no longer."""
        if self._awaited.get(caller.number) is caller:
            self._awaited.pop(caller.number)

    def _look_often(self) -> None:
        while self._awaited:
            eventlet.sleep(_LOOK_MS / MS_PER_SECOND)
            self._look()
        self._is_looking = False

    def _look(self) -> None:
        for number, events in _poll(self._awaited).items():
            caller = self._awaited.get(number)
            if caller is not None and not caller.is_gone:
                caller.note(events)
        self.looked_ms = self._clock.now_ms()
