"""Detection of callers that disconnect before they are answered."""

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

_POLL_INTERVAL_MS = 150  # interval between two polls of all connections
_select = original('select')
# Events that report a closed connection even if unread bytes precede the end.
_CLOSED_EVENTS = (
    _select.POLLRDHUP | _select.POLLHUP | _select.POLLERR | _select.POLLNVAL
)
_POLLED_EVENTS = _select.POLLIN | _select.POLLRDHUP


def _poll_descriptors(descriptors: Iterable[int]) -> dict[int, int]:
    """Return the pending poll events by descriptor, without blocking."""
    poll = _select.poll()
    for descriptor in descriptors:
        if descriptor >= 0:
            poll.register(descriptor, _POLLED_EVENTS)
    return dict(poll.poll(0))


class Caller:
    """The connection of one caller that waits for an answer.

    A caller that closes its side of the connection counts as gone.
    """

    def __init__(
        self, sock: Any, monitor: 'CallerMonitor', request_id: str, clock: Clock
    ) -> None:
        self._socket = sock
        self._monitor = monitor
        self._request_id = request_id
        self._clock = clock
        self._registered_ms = clock.now_ms()
        self._is_gone = False
        self._gone_handler: GoneHandler | None = None
        self.descriptor = int(sock.fileno())

    @property
    def is_gone(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._is_gone

    def set_gone_handler(self, handler: GoneHandler | None) -> None:
        """Set the function to call when the caller disconnects, or None.

        It replaces the previous one, and is called immediately if the caller
        has already disconnected.
        """
        self._gone_handler = handler
        if self._is_gone and handler is not None:
            run_logged(handler)

    def stop_monitoring(self) -> None:
        """Stop monitoring the connection and remove the handler."""
        self._gone_handler = None
        self._monitor.unregister(self)

    def poll(self) -> bool:
        """Poll the connection now; return whether the caller has gone."""
        if not self._is_gone:
            descriptor = self._socket.fileno()
            poll_events = _poll_descriptors((descriptor,)).get(descriptor, 0)
            self.handle_events(
                _CLOSED_EVENTS if descriptor < 0 else poll_events
            )
        return self._is_gone

    def handle_events(self, poll_events: int) -> None:
        """Process the poll events of the connection."""
        self._is_gone = bool(poll_events & _CLOSED_EVENTS) or (
            bool(poll_events) and self._is_at_eof()
        )
        if self._is_gone:
            self._report_gone()
        if self._is_gone and self._gone_handler is not None:
            run_logged(self._gone_handler)

    def _is_at_eof(self) -> bool:
        try:
            return not self._socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _report_gone(self) -> None:
        since_ms = max(self._registered_ms, self._monitor.last_poll_ms)
        within_ms = self._clock.now_ms() - since_ms
        CALLER_GONE_WITHIN.record(within_ms)
        CALLER_GONE.report(
            request=self._request_id,
            within_ms=within_ms,
            is_tried=self._gone_handler is not None,
        )


class CallerMonitor:
    """Polls the connections of all callers that wait for an answer.

    A task or a hub listener for each request would cost more than one periodic
    poll of all connections.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._registered: dict[int, Caller] = {}
        self.last_poll_ms = 0  # time of the last poll of all connections
        self._is_polling = False

    def register(self, sock: Any, request_id: str = '') -> Caller:
        """Return the caller of a connection, monitored from now on."""
        caller = Caller(sock, self, request_id, self._clock)
        if caller.descriptor < 0:
            caller.poll()  # the connection is already closed
            return caller
        self._registered[caller.descriptor] = caller
        if not self._is_polling:
            self._is_polling = True
            start(supervise, self._poll_periodically)
        return caller

    def unregister(self, caller: Caller) -> None:
        """Stop polling the connection of a caller."""
        if self._registered.get(caller.descriptor) is caller:
            self._registered.pop(caller.descriptor)

    def _poll_periodically(self) -> None:
        while self._registered:
            eventlet.sleep(_POLL_INTERVAL_MS / MS_PER_SECOND)
            self._poll_all()
        self._is_polling = False

    def _poll_all(self) -> None:
        for descriptor, poll_events in _poll_descriptors(
            self._registered
        ).items():
            caller = self._registered.get(descriptor)
            if caller is not None and not caller.is_gone:
                caller.handle_events(poll_events)
        self.last_poll_ms = self._clock.now_ms()
