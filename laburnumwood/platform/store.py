"""A client of the platform's store, which contains objects by kind and name.

All records of the router are objects of one kind of its own, so that a single
revision and a single watch cover them.  The configuration is an object of the
operator's kind.
"""

from collections.abc import Sequence
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
    PlatformRateLimitedError,
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
from laburnumwood.platform.object_names import (
    to_platform_name,
    to_router_name,
)
from laburnumwood.records import StoredObject
from laburnumwood.store.calls import StoreCalls
from laburnumwood.store.eras import EraTracker
from laburnumwood.store.objects import CONFIG_NAME, EVACUATION_PREFIX
from laburnumwood.store.versions import era_of, make_version, revision_of

_OWN_KIND = 'laburnumwood'
_MANIFEST_KIND = 'config'
_MANIFEST_NAME = 'main'
_EVACUATION_KIND = 'evacuations'
_RECORDS = ''  # the scope of the router's records

_CALL_TIMEOUT_S = 1.5
_HEADERS = {'Content-Type': CONTENT_TYPE}
_ERA_HEADER = 'Store-Era'
_ERA_FIELD = 'era'  # of the router's records: the era they were written for


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
    return f'/objects/{_OWN_KIND}/{quote(to_platform_name(name), safe="")}'


def _recorded_era(spec: Any) -> int:
    """Return the era for which a record was written, 0 if it has none."""
    era = spec.get(_ERA_FIELD) if isinstance(spec, dict) else None
    return era if isinstance(era, int) and era > 0 else 0


def _router_name(stored: _Object) -> str:
    return to_router_name(stored.metadata.name)


def _name_of(kind: str, stored: _Object) -> str:
    if kind == _EVACUATION_KIND:
        return f'{EVACUATION_PREFIX}{stored.metadata.name}'
    return _router_name(stored)


def _to_evacuation(stored: _Object, era: int) -> StoredObject:
    """Return an evacuation, which has no content: that it exists is enough."""
    version = make_version(era, stored.metadata.revision)
    return StoredObject(_name_of(_EVACUATION_KIND, stored), {}, version)


def _to_configuration(stored: _Object, era: int) -> StoredObject | None:
    """Return the manifest as a configuration, None if it is not usable.

    An object of another name is ignored, an invalid manifest is logged.
    """
    if stored.metadata.name != _MANIFEST_NAME:
        return None
    version = make_version(era, stored.metadata.revision)
    try:
        return StoredObject(CONFIG_NAME, read_manifest(stored.spec), version)
    except BodyError as invalid:
        RECORD_REFUSED.report(object=CONFIG_NAME, reason=invalid)
        return None


class PlatformStore:
    """The platform's store at a URL, with the interface `Store`."""

    def __init__(self, url: str) -> None:
        self._calls = StoreCalls(url, _CALL_TIMEOUT_S)
        self._eras = EraTracker()

    @property
    def era(self) -> int:
        """Return the newest era of the store that is known; 0: it has none."""
        return self._eras.newest

    def learn_era(self, era: int) -> None:
        """Record an era of the store that another node has told."""
        self._eras.learn(era)

    @property
    def scopes(self) -> tuple[str, ...]:
        """Return the prefixes to list and watch: records and configuration."""
        return _RECORDS, CONFIG_NAME

    def get(self, name: str) -> StoredObject | None:
        """Return an object, or None if no object has that name."""
        answer = self._calls.call('GET', _path(name), headers=_HEADERS)
        era = self._era(answer, name)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        stored = _decode(_Object, _checked_body(answer, name))
        return (
            _to_configuration(stored, era)
            if name == CONFIG_NAME
            else self._to_record(stored, era)
        )

    def list(self, prefix: str = '') -> tuple[tuple[StoredObject, ...], int]:
        """Return the objects under a prefix and the store's version."""
        kind = _kind(prefix)
        first, era = self._page(kind, {})
        objects, page, page_era = list(first.items), first, era
        while page.more and page.items:
            after = {'after': page.items[-1].metadata.name}
            page, page_era = self._page(kind, after)
            if page_era != era:
                raise PlatformUnavailableError(f'{kind}: pages of two eras')
            objects.extend(page.items)
        # The revision of the first page is returned, so that a watch from it
        # reports all changes made while the other pages were read.
        version = make_version(era, first.at)
        return self._to_objects(kind, objects, prefix, era), version

    def create(self, name: str, value: dict[str, Any]) -> int:
        """Create an object and return its version."""
        metadata = {'name': to_platform_name(name)}
        content = {'metadata': metadata, 'spec': value}
        return self._write('POST', f'/objects/{_OWN_KIND}', content, name)

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        """Replace the given version of an object and return the new one."""
        if era_of(version) != self.era:
            raise PlatformConflictError(f'{name}: condition of an earlier era')
        if not revision_of(version):
            return self.create(name, value)
        metadata = {
            'name': to_platform_name(name),
            'revision': revision_of(version),
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
        """Return the changes under a prefix after a version.

        The call waits up to `wait_ms` for the first change.  Returned are the
        changed objects, deleted ones without a value, and the new version.
        """
        kind = _kind(prefix)
        if era_of(since) != self.era:
            raise CompactedError(kind)
        fields = {'watch': str(revision_of(since))}
        if may_be_stale:
            fields['allow_stale'] = '1'
        answer = self._calls.watch(
            f'/objects/{kind}', wait_ms, fields, headers=_HEADERS
        )
        era = self._era(answer, kind)
        if era != era_of(since):
            raise CompactedError(kind)
        changes = read_changes(_checked_body(answer, kind))
        version = make_version(era, changes.at)
        deletions = [
            StoredObject(_name_of(kind, each.object), None, version)
            for each in changes.events
            if each.deleted and kind != _MANIFEST_KIND
        ]
        kept = [each.object for each in changes.events if not each.deleted]
        return (*self._to_objects(kind, kept, prefix, era), *deletions), version

    def _era(self, answer: BaseHTTPResponse, call: str) -> int:
        named = answer.headers.get(_ERA_HEADER)
        if named is None and _is_unavailable(answer.status):
            # Perhaps not an answer of the store itself.
            return self.era
        return self._eras.check(named, call)

    def _to_record(self, stored: _Object, era: int) -> StoredObject:
        revision = stored.metadata.revision
        # Nodes of earlier versions do not record the era.
        written_era = _recorded_era(stored.spec) or self._eras.first
        return StoredObject(
            _router_name(stored),
            stored.spec,
            make_version(written_era, revision),
            make_version(era, revision),
        )

    def _to_objects(
        self, kind: str, objects: Sequence[_Object], prefix: str, era: int
    ) -> tuple[StoredObject, ...]:
        if kind == _MANIFEST_KIND:
            manifests = (_to_configuration(each, era) for each in objects)
            return tuple(each for each in manifests if each is not None)
        if kind == _EVACUATION_KIND:
            return tuple(_to_evacuation(each, era) for each in objects)
        records = (self._to_record(each, era) for each in objects)
        return tuple(each for each in records if each.name.startswith(prefix))

    def _page(self, kind: str, fields: dict[str, str]) -> tuple[_Listing, int]:
        answer = self._calls.call(
            'GET', f'/objects/{kind}', fields=fields, headers=_HEADERS
        )
        era = self._era(answer, kind)
        page: _Listing = _decode(_Listing, _checked_body(answer, kind))
        return page, era

    def _write(
        self, method: str, path: str, content: dict[str, Any], name: str
    ) -> int:
        answer = self._calls.call(
            method, path, body=encode(content), headers=_HEADERS
        )
        era = self._era(answer, name)
        stored = _decode(_Object, _checked_body(answer, name))
        return make_version(era, stored.metadata.revision)


def _kind(prefix: str) -> str:
    if prefix == EVACUATION_PREFIX:
        return _EVACUATION_KIND
    return _MANIFEST_KIND if prefix == CONFIG_NAME else _OWN_KIND


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
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return PlatformRateLimitedError
    # The platform guarantees that a call with this status had no effect.
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return PlatformNotReachedError
    return PlatformUnavailableError


def _is_unavailable(status: int) -> bool:
    return status == HTTPStatus.TOO_MANY_REQUESTS or status >= 500


def _checked_body(answer: BaseHTTPResponse, what: str) -> bytes:
    status = answer.status
    if status == HTTPStatus.CONFLICT:
        raise PlatformConflictError(what)
    if status == HTTPStatus.GONE:
        raise CompactedError(what)
    if _is_unavailable(status):
        raise _unavailable_error(status)(f'{what}: status {status}')
    if status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise PlatformError(f'{what}: status {status}')
    return answer.data
