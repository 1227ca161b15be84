"""Repeating calls of the store until they are answered."""

from collections.abc import Callable
from typing import TypeVar

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    LaburnumwoodError,
    PlatformError,
    RecordError,
)
from laburnumwood.events import RECORD_REFUSED

RETRY_MS = 500

_Result = TypeVar('_Result')


class StoppingError(LaburnumwoodError):
    """A call of the store was abandoned because the node is stopping."""


class StoreRetry:
    """Repeats calls of the store for as long as the node is not stopping."""

    def __init__(self, is_stopping: Callable[[], bool]) -> None:
        self._is_stopping = is_stopping
        self._refused = ''  # the last invalid record that was logged

    def until_answered(
        self,
        call: Callable[[], _Result],
        lasting: tuple[type[PlatformError], ...] = (),
    ) -> _Result:
        """Repeat a call of the store until it is answered; return the result.

        Errors of the `lasting` types are raised: repetition would not end them.
        Raises `StoppingError` if a call fails while the node is stopping.
        """
        while True:
            try:
                return call()
            except lasting:
                raise
            except PlatformError as failure:
                self._report_invalid(failure)
                if self._is_stopping():
                    raise StoppingError from failure
            eventlet.sleep(RETRY_MS / MS_PER_SECOND)

    def _report_invalid(self, failure: PlatformError) -> None:
        """Log an invalid record once; the guarded store logs the rest."""
        if isinstance(failure, RecordError) and str(failure) != self._refused:
            self._refused = str(failure)
            RECORD_REFUSED.report(reason=failure)
