"""Calls of a store over HTTP, counted, with one kind of failure."""

from typing import Any

from urllib3 import HTTPConnectionPool, Retry, Timeout, connection_from_url
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)
from urllib3.response import BaseHTTPResponse

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import (
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.metrics import STORE_CALLS

_POOL_SIZE = 8
_WATCH_GRACE_S = 2


def _was_connected(failure: HTTPError) -> bool:
    """Tell whether a call that failed may have left this machine."""
    reason = failure.reason if isinstance(failure, MaxRetryError) else failure
    return not isinstance(reason, (NewConnectionError, ConnectTimeoutError))


class StoreCalls:
    """Calls of the store at a URL, each made once."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._pool: HTTPConnectionPool = connection_from_url(
            url,
            maxsize=_POOL_SIZE,
            retries=Retry(0, redirect=False),
            timeout=Timeout(timeout_s),
        )

    def call(self, method: str, path: str, **more: Any) -> BaseHTTPResponse:
        """Return the answer to a call; `more` goes to the library.

        Raises `PlatformUnavailableError` if no answer came, and its kind
        `PlatformNotReachedError` if no connection could be made.
        """
        try:
            answer = self._pool.request(method, path, **more)
        except HTTPError as failure:
            STORE_CALLS.record(1, {'method': method, 'status': 'none'})
            what = f'{method} {path}'
            if _was_connected(failure):
                raise PlatformUnavailableError(what) from failure
            raise PlatformNotReachedError(what) from failure
        STORE_CALLS.record(1, {'method': method, 'status': answer.status})
        return answer

    def watch(
        self, path: str, wait_ms: int, fields: dict[str, str], **more: Any
    ) -> BaseHTTPResponse:
        """Return the answer to a call that waits so long for changes."""
        return self.call(
            'GET',
            path,
            fields={**fields, 'wait_ms': str(wait_ms)},
            timeout=Timeout(wait_ms / MS_PER_SECOND + _WATCH_GRACE_S),
            **more,
        )
