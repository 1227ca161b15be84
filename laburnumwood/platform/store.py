"""A client of the platform's store, which contains objects by kind and name.

All records of the router are objects of one kind of its own, so that a single
revision and a single watch cover them.  The configuration is an object of the
operator's kind.
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
from laburnumwood.store.objects import CONFIG_NAME

_OWN_KIND = 'laburnumwood'
_MANIFEST_KIND = 'config'
_MANIFEST_NAME = 'main'
_RECORDS = ''  # the scope of the router's records
_SEPARATORS = ('/', '.')  # in the names of the router, of the platform

_CALL_TIMEOUT_S = 1.5
_HEADERS = {'Content-Type': CONTENT_TYPE}


class _Metadata(BaseModel):
    name: str
    revision: int


class _Object(BaseModel):
    """An object; `spec` is its value."""

    metadata: _Metadata
    spec: Any = None


class _Event(BaseModel):
    deleted: bool = False
    object: _Object


class _Listing(BaseModel):
    """A page of a list; `at` is the store's revision."""

    items: list[_Object] = Field(default_factory=list)
    more: bool = False
    at: int


class _WatchResponse(BaseModel):
    events: list[_Event] = Field(default_factory=list)
    at: int


def _path(name: str) -> str:
    if name == CONFIG_NAME:
        return f'/objects/{_MANIFEST_KIND}/{_MANIFEST_NAME}'
    platform_name = name.replace(*_SEPARATORS)
    return f'/objects/{_OWN_KIND}/{quote(platform_name, safe="")}'


def _to_record(stored: _Object) -> StoredObject:
    name = stored.metadata.name.replace(_SEPARATORS[1], _SEPARATORS[0])
    return StoredObject(name, stored.spec, stored.metadata.revision)


def _to_configuration(stored: _Object) -> StoredObject | None:
    """Return the manifest as a configuration, None if it is not usable.

    An object of another name is ignored, an invalid manifest is logged.
    """
    if stored.metadata.name != _MANIFEST_NAME:
        return None
    try:
        return StoredObject(
            CONFIG_NAME, read_manifest(stored.spec), stored.metadata.revision
        )
    except BodyError as invalid:
        RECORD_REFUSED.report(object=CONFIG_NAME, reason=invalid)
        return None


class PlatformStore:
    """The platform's store at a URL, with the interface `Store`."""

    def __init__(self, url: str) -> None:
        self._calls = StoreCalls(url, _CALL_TIMEOUT_S)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch: records and configuration."""
        return _RECORDS, CONFIG_NAME

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if no object has that name."""
        answer = self._calls.call('GET', _path(name), headers=_HEADERS)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        stored = _decode(_Object, _checked_body(answer, name))
        return (
            _to_configuration(stored)
            if name == CONFIG_NAME
            else _to_record(stored)
        )

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's revision."""
        kind = _kind(prefix)
        first = self._page(kind, {})
        objects, page = list(first.items), first
        while page.more and page.items:
            page = self._page(kind, {'after': page.items[-1].metadata.name})
            objects.extend(page.items)
        # The revision of the first page is returned, so that a watch from it
        # reports all changes made while the other pages were read.
        return tuple(_to_objects(kind, objects, prefix)), first.at

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
        """Return the changes under a prefix after a revision.

        The call waits up to `wait_ms` for the first change.  Returned are the
        changed objects, deleted ones without a value, and the new revision.
        """
        kind = _kind(prefix)
        fields = {'watch': str(since)}
        if may_be_stale:
            fields['allow_stale'] = '1'
        answer = self._calls.watch(
            f'/objects/{kind}', wait_ms, fields, headers=_HEADERS
        )
        changes = read_changes(_checked_body(answer, kind))
        deletions = [
            StoredObject(_to_record(each.object).name, None, changes.at)
            for each in changes.events
            if each.deleted and kind == _OWN_KIND
        ]
        kept = [each.object for each in changes.events if not each.deleted]
        return (*_to_objects(kind, kept, prefix), *deletions), changes.at

    def _page(self, kind: str, fields: dict[str, str]) -> _Listing:
        answer = self._calls.call(
            'GET', f'/objects/{kind}', fields=fields, headers=_HEADERS
        )
        page: _Listing = _decode(_Listing, _checked_body(answer, kind))
        return page

    def _write(
        self, method: str, path: str, content: dict[str, Any], name: str
    ) -> int:
        answer = self._calls.call(
            method, path, body=encode(content), headers=_HEADERS
        )
        stored = _decode(_Object, _checked_body(answer, name))
        return stored.metadata.revision


def _kind(prefix: str) -> str:
    return _MANIFEST_KIND if prefix == CONFIG_NAME else _OWN_KIND


def _to_objects(
    kind: str, objects: list[_Object], prefix: str
) -> list[StoredObject]:
    if kind == _MANIFEST_KIND:
        manifests = (_to_configuration(each) for each in objects)
        return [each for each in manifests if each is not None]
    records = (_to_record(each) for each in objects)
    return [each for each in records if each.name.startswith(prefix)]


def _decode(model: Any, body: bytes) -> Any:
    try:
        return decode_as(model, decode(body))
    except BodyError as unreadable:
        raise PlatformUnavailableError(str(unreadable)) from unreadable


def read_changes(body: bytes) -> _WatchResponse:
    """Return the decoded answer to a watch.

    Raises `PlatformUnavailableError` if it is not valid.
    """
    changes: _WatchResponse = _decode(_WatchResponse, body)
    return changes


def _unavailable_error(status: int) -> type[PlatformUnavailableError]:
    # The platform guarantees that a call with this status had no effect.
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return PlatformNotReachedError
    return PlatformUnavailableError


def _checked_body(answer: BaseHTTPResponse, what: str) -> bytes:
    status = answer.status
    if status == HTTPStatus.CONFLICT:
        raise PlatformConflictError(what)
    if status == HTTPStatus.GONE:
        raise CompactedError(what)
    if status == HTTPStatus.TOO_MANY_REQUESTS or status >= 500:
        raise _unavailable_error(status)(f'{what}: status {status}')
    if status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise PlatformError(f'{what}: status {status}')
    return answer.data
