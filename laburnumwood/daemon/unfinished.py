"""Incarnations that were given up and have not finished yet."""

from contextlib import suppress

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.daemon.incarnation import Incarnation
from laburnumwood.daemon.store_retry import StoppingError, StoreRetry
from laburnumwood.errors import PlatformError
from laburnumwood.events import STORE_UNREACHABLE
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

_POLL_MS = 100


class UnfinishedIncarnations:
    """Records the end of each incarnation as soon as it has finished.

    One with requests in progress, or whose worker may still hold its grants,
    has not.
    """

    def __init__(self, retry: StoreRetry) -> None:
        self._retry = retry
        self._unfinished: list[Incarnation] = []

    @property
    def numbers(self) -> tuple[int, ...]:
        """Return the numbers of the incarnations."""
        return tuple(each.name.incarnation for each in self._unfinished)

    @property
    def have_finished(self) -> bool:
        """Return whether none has requests in progress or grants."""
        return all(each.has_finished for each in self._unfinished)

    def end_or_defer(self, incarnation: Incarnation) -> NodeName | None:
        """Return the name of an incarnation if it has finished, else None.

        Its end is recorded later, when it has finished.
        """
        if incarnation.has_finished:
            return incarnation.name
        self._unfinished.append(incarnation)
        start(self._end_when_finished, incarnation)
        return None

    def record_ends(self, last: Incarnation) -> None:
        """Record the ends of the incarnations that have finished by now."""
        try:
            for each in (*self._unfinished, last):
                if each.has_finished:
                    each.record_end()
        except PlatformError as failure:
            STORE_UNREACHABLE.report(reason=failure)

    def _end_when_finished(self, incarnation: Incarnation) -> None:
        while not incarnation.has_finished:
            eventlet.sleep(_POLL_MS / MS_PER_SECOND)
        with suppress(StoppingError):
            self._retry.until_answered(incarnation.record_end)
            self._unfinished.remove(incarnation)
