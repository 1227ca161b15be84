"""The operator port of a node."""

import json
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from laburnumwood.errors import LaburnumwoodError
from laburnumwood.events import OPERATOR_CHANGE, OPERATOR_REFUSED
from laburnumwood.operators.access import AccessControl, AccessDeniedError
from laburnumwood.operators.api import OperatorApi
from laburnumwood.settings import DaemonSettings

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_JSON = 'application/json'
_PROBLEM = 'application/problem+json'
_METRICS = 'text/plain; version=0.0.4'
_DRAIN = '/drain'


class _CallError(LaburnumwoodError):
    """A call to the operator port can't be served.

    `status` is the HTTP status of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


def _respond(
    start_response: StartResponse,
    status: int,
    content_type: str,
    content: bytes,
) -> Iterable[bytes]:
    phrase = HTTPStatus(status).phrase
    start_response(f'{status} {phrase}', [('Content-Type', content_type)])
    return (content,)


class OperatorEndpoint:
    """Authorizes and answers the calls of operators.

    `stop` is called to begin a planned stop of the node.
    """

    def __init__(
        self, settings: DaemonSettings, stop: Callable[[], None]
    ) -> None:
        self._node_id = settings.node_id
        self._access_control = AccessControl(settings)
        self._stop = stop

    def answer(
        self,
        environ: Environ,
        start_response: StartResponse,
        api: OperatorApi | None,
    ) -> Iterable[bytes]:
        """Answer one call as a WSGI application.

        `api` is None until the node has joined.
        """
        try:
            content_type, content = self._handle(environ, api)
        except (AccessDeniedError, _CallError) as error:
            problem = {'status': error.status, 'detail': str(error)}
            text = json.dumps(problem).encode()
            return _respond(start_response, error.status, _PROBLEM, text)
        return _respond(start_response, HTTPStatus.OK, content_type, content)

    def _handle(
        self, environ: Environ, api: OperatorApi | None
    ) -> tuple[str, bytes]:
        path, method = environ['PATH_INFO'], environ['REQUEST_METHOD']
        who = self._authorize(environ, changes=method != 'GET')
        if path == _DRAIN and method == 'POST':
            OPERATOR_CHANGE.report(node=self._node_id, who=who, what='drain')
            self._stop()
            return _JSON, json.dumps({'draining': self._node_id}).encode()
        if method != 'GET':
            raise _CallError(405, f'{path} takes GET; {_DRAIN} takes POST')
        if api is None:
            raise _CallError(503, 'the node has not joined yet; come again')
        if path == '/metrics':
            return _METRICS, api.metrics()
        return _JSON, _render_page(api, environ)

    def _authorize(self, environ: Environ, *, changes: bool) -> str:
        try:
            return self._access_control.authorize(environ, changes=changes).name
        except AccessDeniedError as error:
            OPERATOR_REFUSED.report(
                address=environ.get('REMOTE_ADDR'),
                path=environ['PATH_INFO'],
                status=error.status,
            )
            raise


def _render_page(api: OperatorApi, environ: Environ) -> bytes:
    path = environ['PATH_INFO']
    try:
        content = api.page(path, environ.get('QUERY_STRING', ''))
    except LookupError as error:
        paths = ', '.join(api.paths)
        text = f'{path}: {error}; pages: {paths}'
        raise _CallError(404, text) from error
    return json.dumps(content).encode()
