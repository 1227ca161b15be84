"""HTTP calls to a store, with metrics and uniform exceptions."""

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
from laburnumwood.store.probing import socket_options

_POOL_SIZE = 8
_WATCH_GRACE_S = 1.5


def _may_have_been_sent(failure: HTTPError) -> bool:
    """Return whether a failed call may have been sent."""
    reason = failure.reason if isinstance(failure, MaxRetryError) else failure
    return not isinstance(reason, (NewConnectionError, ConnectTimeoutError))


class StoreCalls:
    """Makes calls to the store at a URL, without retries."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._pool = self._new_pool()

    def call(self, method: str, path: str, **options: Any) -> BaseHTTPResponse:
        """Make a call and return the answer.

        `options` are passed to `urllib3`.  Raises `PlatformUnavailableError`
        if there is no answer; its subclass `PlatformNotReachedError` means
        that no connection could be made.
        """
        pool = self._pool
        try:
            answer = pool.request(method, path, **options)
        except HTTPError as failure:
            STORE_CALLS.record(1, {'method': method, 'status': 'none'})
            description = f'{method} {path}'
            if _may_have_been_sent(failure):
                self._replace(pool)
                raise PlatformUnavailableError(description) from failure
            raise PlatformNotReachedError(description) from failure
        STORE_CALLS.record(1, {'method': method, 'status': answer.status})
        return answer

    def watch(
        self, path: str, wait_ms: int, fields: dict[str, str], **options: Any
    ) -> BaseHTTPResponse:
        """Make a call that waits for changes up to `wait_ms`."""
        return self.call(
            'GET',
            path,
            fields={**fields, 'wait_ms': str(wait_ms)},
            timeout=Timeout(wait_ms / MS_PER_SECOND + _WATCH_GRACE_S),
            **options,
        )

    def _new_pool(self) -> HTTPConnectionPool:
        return connection_from_url(
            self._url,
            maxsize=_POOL_SIZE,
            retries=Retry(0, redirect=False),
            timeout=Timeout(self._timeout_s),
            socket_options=socket_options(),
        )

    def _replace(self, pool: HTTPConnectionPool) -> None:
        """Use new connections after a call on a pool had no answer.

        What silenced one connection may have silenced all idle ones.  Calls in
        progress keep theirs.
        """
        if pool is self._pool:
            self._pool = self._new_pool()
