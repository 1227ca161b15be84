"""The platform's store of objects, which it keeps by kind and name.

All records of the project are of one kind of its own, so that one revision
and one watch serve them.  The configuration is of the operator's kind.
"""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from pydantic import BaseModel, Field
from urllib3.response import BaseHTTPResponse

from laburnumwood.errors import (
    CompactedError,
    PlatformConflictError,
    PlatformError,
    PlatformNotReachedError,
    PlatformUnavailableError,
)
from laburnumwood.events import RECORD_REFUSED
from laburnumwood.platform.bodies import (
    CONTENT_TYPE,
    BodyError,
    decode,
    decode_as,
    encode,
)
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.records import StoredObject
from laburnumwood.store.calls import StoreCalls
from laburnumwood.store.objects import CONFIG

_OWN_KIND = 'laburnumwood'
_MANIFEST_KIND = 'config'
_MANIFEST_NAME = 'main'
_RECORDS = ''  # the scope of the project's records
_SEPARATORS = ('/', '.')  # in the project's names and in the platform's

_CALL_TIMEOUT_S = 1.5
_HEADERS = {'Content-Type': CONTENT_TYPE}


class _Meta(BaseModel):
    name: str
    revision: int


class _Object(BaseModel):
    """An object; `spec` is what its owner wrote."""

    metadata: _Meta
    spec: Any = None


class _Event(BaseModel):
    deleted: bool = False
    object: _Object


class _Listing(BaseModel):
    """A page of a list; `at` is the store's revision."""

    items: list[_Object] = Field(default_factory=list)
    more: bool = False
    at: int


class _Changes(BaseModel):
    events: list[_Event] = Field(default_factory=list)
    at: int


def _path(name: str) -> str:
    if name == CONFIG:
        return f'/objects/{_MANIFEST_KIND}/{_MANIFEST_NAME}'
    plain = name.replace(*_SEPARATORS)
    return f'/objects/{_OWN_KIND}/{quote(plain, safe="")}'


def _stored(found: _Object) -> StoredObject:
    name = found.metadata.name.replace(_SEPARATORS[1], _SEPARATORS[0])
    return StoredObject(name, found.spec, found.metadata.revision)


def _manifest(found: _Object) -> StoredObject | None:
    """Return the manifest as a configuration, None for what is not usable."""
    if found.metadata.name != _MANIFEST_NAME:
        return None
    try:
        return StoredObject(
            CONFIG, read_manifest(found.spec), found.metadata.revision
        )
    except BodyError as refused:
        RECORD_REFUSED.report(object=CONFIG, reason=refused)
        return None


class ObjectStore:
    """The platform's store at an address, as the project's own store."""

    def __init__(self, url: str) -> None:
        self._calls = StoreCalls(url, _CALL_TIMEOUT_S)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return what to list and watch: records, then configuration."""
        return _RECORDS, CONFIG

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if there is none of that name."""
        answer = self._calls.call('GET', _path(name), headers=_HEADERS)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        found = _read(_Object, _checked(answer, name))
        return _manifest(found) if name == CONFIG else _stored(found)

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""
        kind = _kind(prefix)
        first = self._page(kind, {})
        found, page = list(first.items), first
        while page.more and page.items:
            page = self._page(kind, {'after': page.items[-1].metadata.name})
            found.extend(page.items)
        # Changes after the first page are left to the watch.
        return tuple(_usable(kind, found, prefix)), first.at

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        metadata = {'name': name.replace(*_SEPARATORS)}
        content = {'metadata': metadata, 'spec': value}
        return self._write('POST', f'/objects/{_OWN_KIND}', content, name)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        metadata = {
            'name': name.replace(*_SEPARATORS),
            'revision': version,
            'finalizers': [],
        }
        content = {'metadata': metadata, 'spec': value}
        return self._write('PUT', _path(name), content, name)

    def watch(
        self,
        prefix: str,
        since: int,
        wait_ms: int,
        *,
        may_be_stale: bool = False,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes under a prefix after a revision."""
        kind = _kind(prefix)
        fields = {'watch': str(since)}
        if may_be_stale:
            fields['allow_stale'] = '1'
        answer = self._calls.watch(
            f'/objects/{kind}', wait_ms, fields, headers=_HEADERS
        )
        changes = read_changes(_checked(answer, kind))
        deletions = [
            StoredObject(_stored(each.object).name, None, changes.at)
            for each in changes.events
            if each.deleted and kind == _OWN_KIND
        ]
        kept = [each.object for each in changes.events if not each.deleted]
        return (*_usable(kind, kept, prefix), *deletions), changes.at

    def _page(self, kind: str, fields: dict[str, str]) -> _Listing:
        answer = self._calls.call(
            'GET', f'/objects/{kind}', fields=fields, headers=_HEADERS
        )
        page: _Listing = _read(_Listing, _checked(answer, kind))
        return page

    def _write(
        self, method: str, path: str, content: dict[str, Any], name: str
    ) -> int:
        answer = self._calls.call(
            method, path, body=encode(content), headers=_HEADERS
        )
        found = _read(_Object, _checked(answer, name))
        return found.metadata.revision


def _kind(prefix: str) -> str:
    return _MANIFEST_KIND if prefix == CONFIG else _OWN_KIND


def _usable(kind: str, found: list[_Object], prefix: str) -> list[StoredObject]:
    if kind == _MANIFEST_KIND:
        manifests = (_manifest(each) for each in found)
        return [each for each in manifests if each is not None]
    stored = (_stored(each) for each in found)
    return [each for each in stored if each.name.startswith(prefix)]


def _read(form: Any, body: bytes) -> Any:
    try:
        return decode_as(form, decode(body))
    except BodyError as unreadable:
        raise PlatformUnavailableError(str(unreadable)) from unreadable


def read_changes(body: bytes) -> _Changes:
    """Return the answer to a watch; raises `PlatformUnavailableError`."""
    changes: _Changes = _read(_Changes, body)
    return changes


def _unanswered(status: int) -> type[PlatformUnavailableError]:
    # The users promise that after this status nothing was done.
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return PlatformNotReachedError
    return PlatformUnavailableError


def _checked(answer: BaseHTTPResponse, what: str) -> bytes:
    status = answer.status
    if status == HTTPStatus.CONFLICT:
        raise PlatformConflictError(what)
    if status == HTTPStatus.GONE:
        raise CompactedError(what)
    if status == HTTPStatus.TOO_MANY_REQUESTS or status >= 500:
        raise _unanswered(status)(f'{what}: status {status}')
    if status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise PlatformError(f'{what}: status {status}')
    return answer.data
