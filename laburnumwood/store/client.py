"""A client of the platform's object API."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from urllib3.response import BaseHTTPResponse

from laburnumwood.errors import (
    CompactedError,
    PlatformConflictError,
    PlatformError,
    PlatformRateLimitedError,
    PlatformUnavailableError,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.calls import StoreCalls

_CALL_TIMEOUT_S = 2
_OK = 200
_NOT_FOUND = 404
_SERVER_ERROR = 500
_ERRORS: dict[int, type[PlatformError]] = {
    HTTPStatus.PRECONDITION_FAILED: PlatformConflictError,
    HTTPStatus.GONE: CompactedError,
    HTTPStatus.TOO_MANY_REQUESTS: PlatformRateLimitedError,
}


def _json(answer: BaseHTTPResponse, description: str) -> Any:
    error = _ERRORS.get(answer.status)
    if error is not None:
        raise error(description)
    if answer.status >= _SERVER_ERROR:
        # The write may have taken effect before the platform failed.
        raise PlatformUnavailableError(f'{description}: status {answer.status}')
    if answer.status != _OK:
        raise PlatformError(f'{description}: status {answer.status}')
    return answer.json()


class HttpStore:
    """The platform's store of objects at a URL.

    Every method raises `PlatformUnavailableError` if there is no answer; a
    write may have taken effect in that case.
    """

    def __init__(self, url: str) -> None:
        self._calls = StoreCalls(url, _CALL_TIMEOUT_S)

    @property
    def era(self) -> int:
        """Return 0: this store names no eras."""
        return 0

    def learn_era(self, era: int) -> None:
        """Ignore an era, since this store names none."""

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the empty prefix, which covers all objects."""
        return ('',)

    def get(self, name: str) -> StoredObject | None:
        """Return the object with a name, or None if it does not exist."""
        answer = self._calls.call('GET', f'/objects/{quote(name)}')
        if answer.status == _NOT_FOUND:
            return None
        return StoredObject(**_json(answer, name))

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects with a prefix, and the revision of the store."""
        fields = {'prefix': prefix}
        answer = self._calls.call('GET', '/objects', fields=fields)
        listing = _json(answer, prefix)
        found = tuple(StoredObject(**each) for each in listing['objects'])
        return found, listing['revision']

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version.

        Raises `PlatformConflictError` if it exists.
        """
        return self._put(name, value, {'If-None-Match': '*'})

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace a version of an object and return the new version.

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
        """Wait for changes of objects with a prefix after a revision.

        Returns the changes and the revision after them.  This store ignores
        `may_be_stale`: its answers are always current.

        Raises `CompactedError` if the store no longer keeps all of them.
        """
        fields = {'prefix': prefix, 'since': str(since)}
        answer = self._calls.watch('/watch', wait_ms, fields)
        changes = _json(answer, 'watch')
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
        return _json(answer, name)['version']
