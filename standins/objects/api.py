"""The CBOR interface over HTTP of the object store of `standins.platform`."""

from dataclasses import replace
from typing import Any

from cbor2 import dumps, loads

from standins.answers import Answer, RefusedError, json_answer
from standins.platform.counts import READS, WRITES, CallCounts
from standins.platform.faults import Faults
from standins.platform.history import History, StoredObject
from standins.platform.store import ObjectStore
from standins.platform.watches import Watches
from standins.requests import Request

_OBJECTS_PATH_PREFIX = '/objects/'
_FAULTS_PATH = '/faults'
_COUNTS_PATH = '/counts'
_PUT_BACK_PATH = '/put-back'
_UNNAMED_ERAS_PATH = '/unnamed-eras'
_MAX_VALUE_BYTES = 1_048_576
_PAGE_SIZE = 500
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_CONFLICT = 409


class ObjectsApi:
    """Serves objects by kind and name, stored under `kind/name`.

    Each answer names the era of the store, which begins anew when the store
    comes back from an older copy.  A test may have some answers name none.
    """

    def __init__(self) -> None:
        history = History()
        self._era = 1
        self._unnamed_every = 0  # n: each nth answer names no era, 0: all do
        self._answer_count = 0
        self._counts = CallCounts()
        self._faults = Faults()
        self._store = ObjectStore(history)
        self._watches = Watches(history, self._faults, self._counts)
        self._controls = {
            _FAULTS_PATH: self._set_faults,
            _COUNTS_PATH: self._get_counts,
            _PUT_BACK_PATH: self._put_back,
            _UNNAMED_ERAS_PATH: self._set_unnamed_eras,
        }

    def answer(self, request: Request) -> Answer:
        """Return the answer to a request.

        Raises DroppedError where a fault drops the call.
        """
        try:
            answer = self._answer(request)
        except RefusedError as refusal:
            answer = json_answer(refusal.payload, refusal.status)
        self._answer_count += 1
        unnamed_every = self._unnamed_every
        if unnamed_every and not self._answer_count % unnamed_every:
            return answer
        headers = {**answer.headers, 'Store-Era': str(self._era)}
        return replace(answer, headers=headers)

    def _answer(self, request: Request) -> Answer:
        control = self._controls.get(request.path)
        if control is not None:
            return control(request)
        if not request.path.startswith(_OBJECTS_PATH_PREFIX):
            raise RefusedError(_NOT_FOUND, 'no-such-path')
        path = request.path.removeprefix(_OBJECTS_PATH_PREFIX)
        if '/' in path:
            return self._read_or_update(request, path)
        if request.method == 'POST':
            return self._create(request, path)
        if request.query('watch'):
            return self._watch(request, path)
        return self._list(request, path)

    def _set_faults(self, request: Request) -> Answer:
        self._faults.update_settings(request.body(_MAX_VALUE_BYTES))
        self._watches.notify()
        return _cbor_answer({})

    def _get_counts(self, _request: Request) -> Answer:
        return json_answer(self._counts.report())

    def _put_back(self, request: Request) -> Answer:
        """Come back from an older copy.

        The query tells its age in `ms`, or the beginning of names `before`
        which it was made.
        """
        if request.query('before'):
            self._store.put_back_before(request.query('before'))
        else:
            self._store.put_back(request.number('ms'))
        self._era += 1
        self._watches.notify()
        return _cbor_answer({'at': self._store.revision})

    def _set_unnamed_eras(self, request: Request) -> Answer:
        self._unnamed_every = request.number('every')
        return _cbor_answer({})

    def _begin_call(self, operation: str, name: str) -> None:
        self._counts.record_call(operation, name)
        self._faults.apply_to_call()

    def _read_or_update(self, request: Request, path: str) -> Answer:
        if request.method == 'GET':
            self._begin_call(READS, path)
            return _cbor_answer(_object_content(self._store.read(path)))
        self._begin_call(WRITES, path)
        if request.method == 'DELETE':
            return self._delete(path)
        content = loads(request.body(_MAX_VALUE_BYTES))
        expected = content['metadata'].get('revision')
        current = self._store.read(path)
        if expected is None:
            expected = current.version
        return self._answer_write(
            path, lambda: self._store.update(path, content['spec'], expected)
        )

    def _delete(self, path: str) -> Answer:
        found = self._store.read(path)
        deletion = self._store.delete(path, found.version)
        self._watches.notify()
        return _cbor_answer(_object_content(deletion))

    def _create(self, request: Request, kind: str) -> Answer:
        content = loads(request.body(_MAX_VALUE_BYTES))
        path = '{}/{}'.format(kind, content['metadata']['name'])
        self._begin_call(WRITES, path)
        return self._answer_write(
            path, lambda: self._store.create(path, content['spec'])
        )

    def _answer_write(self, path: str, write: Any) -> Answer:
        try:
            written = write()
        except RefusedError as error:
            if error.status != _PRECONDITION_FAILED:
                raise
            return _cbor_answer(
                _object_content(self._store.read(path)), _CONFLICT
            )
        self._watches.notify()
        self._faults.apply_to_written(path)
        return _cbor_answer(_object_content(written))

    def _list(self, request: Request, kind: str) -> Answer:
        self._begin_call(READS, kind)
        after = f'{kind}/{request.query("after")}'
        found = [
            stored
            for stored in self._store.list_objects(f'{kind}/')
            if stored.name > after
        ]
        return _cbor_answer(
            {
                'items': [
                    _object_content(stored) for stored in found[:_PAGE_SIZE]
                ],
                'more': len(found) > _PAGE_SIZE,
                'at': self._store.revision,
            }
        )

    def _watch(self, request: Request, kind: str) -> Answer:
        self._counts.record_watch()
        self._faults.apply_to_call()
        events, revision = self._watches.wait_for_events(
            f'{kind}/', request.number('watch'), request.number('wait_ms')
        )
        return _cbor_answer(
            {
                'events': [
                    {
                        'deleted': event.value is None,
                        'object': _object_content(event),
                    }
                    for event in events
                ],
                'at': revision,
            }
        )


def _object_content(stored: StoredObject) -> dict[str, Any]:
    name = stored.name.partition('/')[2]
    return {
        'metadata': {
            'name': name,
            'revision': stored.version,
            'create_rev': 1,
            'finalizers': [],
            'delete_requested': False,
        },
        'spec': stored.value,
        'status': None,
    }


def _cbor_answer(content: Any, status: int = 200) -> Answer:
    body = dumps(content)
    headers = {
        'Content-Type': 'application/cbor',
        'Content-Length': str(len(body)),
    }
    return Answer(status, (body,), headers)
