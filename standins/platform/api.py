"""The HTTP interface of the stand-in for the platform."""

from dataclasses import asdict
from typing import Any

from pydantic import JsonValue, TypeAdapter

from standins.answers import Answer, RefusedError, json_answer
from standins.platform.counts import READS, WRITES, CallCounts
from standins.platform.faults import Faults
from standins.platform.history import History
from standins.platform.store import ObjectStore
from standins.platform.watches import Watches
from standins.requests import Request

MAX_VALUE_BYTES = 1_048_576
OBJECT_PATH_PREFIX = '/objects/'
_JSON: TypeAdapter[JsonValue] = TypeAdapter(JsonValue)


class PlatformApi:
    """Dispatches requests to the store, watches, counts and faults."""

    def __init__(self) -> None:
        history = History()
        self._counts = CallCounts()
        self._faults = Faults()
        self._store = ObjectStore(history)
        self._watches = Watches(history, self._faults, self._counts)
        self._routes = {
            ('GET', '/objects'): self._list,
            ('GET', '/watch'): self._watch,
            ('GET', '/counts'): self._get_counts,
            ('GET', '/faults'): self._get_faults,
            ('POST', '/faults'): self._post_faults,
        }
        self._object_routes = {
            'GET': self._get,
            'PUT': self._put,
            'DELETE': self._delete,
        }

    def answer(self, request: Request) -> Answer:
        """Return the answer to a request.

        Raises RefusedError, which carries the status of an error answer, and
        DroppedError where a fault drops the call.
        """
        if request.path.startswith(OBJECT_PATH_PREFIX):
            object_route = self._object_routes.get(request.method)
            if object_route is None:
                raise RefusedError(405, 'no-such-method')
            return object_route(request, _object_name(request))
        route = self._routes.get((request.method, request.path))
        if route is None:
            raise RefusedError(404, 'no-such-path')
        return route(request)

    def _get(self, request: Request, name: str) -> Answer:
        self._begin_call(READS, name)
        return json_answer(asdict(self._store.read(name)))

    def _list(self, request: Request) -> Answer:
        prefix = request.query('prefix')
        self._begin_call(READS, prefix)
        found = [asdict(stored) for stored in self._store.list_objects(prefix)]
        return json_answer(
            {
                'objects': found,
                'revision': self._store.revision,
            }
        )

    def _put(self, request: Request, name: str) -> Answer:
        self._begin_call(WRITES, name)
        value = _JSON.validate_json(request.body(MAX_VALUE_BYTES))
        expected = request.numeric_header('If-Match')
        if expected is not None:
            return self._answer_write(self._store.update(name, value, expected))
        if request.header('If-None-Match') == '*':
            return self._answer_write(self._store.create(name, value))
        raise RefusedError(428, 'condition-required')

    def _delete(self, request: Request, name: str) -> Answer:
        self._begin_call(WRITES, name)
        expected = request.numeric_header('If-Match')
        if expected is None:
            raise RefusedError(428, 'condition-required')
        return self._answer_write(self._store.delete(name, expected))

    def _watch(self, request: Request) -> Answer:
        self._counts.record_watch()
        self._faults.apply_to_call()
        events, revision = self._watches.wait_for_events(
            request.query('prefix'),
            request.number('since'),
            request.number('wait_ms'),
        )
        return json_answer(
            {
                'events': [asdict(event) for event in events],
                'revision': revision,
            }
        )

    def _get_counts(self, request: Request) -> Answer:
        return json_answer(self._counts.report())

    def _get_faults(self, request: Request) -> Answer:
        return json_answer(self._faults.settings.model_dump())

    def _post_faults(self, request: Request) -> Answer:
        self._faults.update_settings(request.body(MAX_VALUE_BYTES))
        self._watches.notify()
        return self._get_faults(request)

    def _begin_call(self, operation: str, name: str) -> None:
        self._counts.record_call(operation, name)
        self._faults.apply_to_call()

    def _answer_write(self, written: Any) -> Answer:
        self._watches.notify()
        self._faults.apply_to_written(written.name)
        return json_answer({'version': written.version})


def _object_name(request: Request) -> str:
    name = request.path.removeprefix(OBJECT_PATH_PREFIX)
    if not name:
        raise RefusedError(404, 'not-found')
    return name
