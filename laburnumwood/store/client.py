"""Calls of the platform's object API."""

import json
from typing import Any
from urllib.parse import quote

from urllib3.response import BaseHTTPResponse

from laburnumwood.errors import (
    CompactedError,
    PlatformConflictError,
    PlatformError,
    PlatformUnavailableError,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.calls import StoreCalls

_CALL_TIMEOUT_S = 2
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_SERVER_ERROR = 500


def _check(answer: BaseHTTPResponse, what: str) -> Any:
    if answer.status == _CONFLICT:
        raise PlatformConflictError(what)
    if answer.status == _GONE:
        raise CompactedError(what)
    if answer.status >= _SERVER_ERROR:
        # The write may have taken effect before the platform failed.
        raise PlatformUnavailableError(f'{what}: status {answer.status}')
    if answer.status != _OK:
        raise PlatformError(f'{what}: status {answer.status}')
    return answer.json()


class HttpStore:
    """The platform's store of objects, at a URL.

    Every method raises `PlatformUnavailableError` if no answer came; a write
    may then have taken effect all the same.
    """

    def __init__(self, url: str) -> None:
        self._calls = StoreCalls(url, _CALL_TIMEOUT_S)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the one prefix that everything is under."""
        return ('',)

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""
        answer = self._calls.call('GET', f'/objects/{quote(name)}')
        if answer.status == _NOT_FOUND:
            return None
        return StoredObject(**_check(answer, name))

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""
        fields = {'prefix': prefix}
        answer = self._calls.call('GET', '/objects', fields=fields)
        listing = _check(answer, prefix)
        found = tuple(StoredObject(**each) for each in listing['objects'])
        return found, listing['revision']

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version.

        Raises `PlatformConflictError` if there is one already.
        """
        return self._put(name, value, {'If-None-Match': '*'})

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one.

        Raises `PlatformConflictError` if the object has another version.
        """
        return self._put(name, value, {'If-Match': str(version)})

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes under a prefix after a revision.

        Returns them with the revision that they lead to, which this store
        never lets be stale.

        Raises `CompactedError` if the store no longer keeps them all.
        """
        fields = {'prefix': prefix, 'since': str(since)}
        answer = self._calls.watch('/watch', wait_ms, fields)
        changes = _check(answer, 'watch')
        found = tuple(StoredObject(**each) for each in changes['events'])
        return found, changes['revision']

    def _put(
        self, name: str, value: dict[str, Any], headers: dict[str, str]
    ) -> int:
        answer = self._calls.call(
            'PUT',
            f'/objects/{quote(name)}',
            body=json.dumps(value).encode(),
            headers=headers,
        )
        return _check(answer, name)['version']
