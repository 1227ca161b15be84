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


class _PageError(LaburnumwoodError):
    """A call of the operator port can't be answered."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


def _reply(
    start_response: StartResponse, status: int, kind: str, content: bytes
) -> Iterable[bytes]:
    phrase = HTTPStatus(status).phrase
    start_response(f'{status} {phrase}', [('Content-Type', kind)])
    return (content,)


class OperatorEndpoint:
    """Lets operators in who have the right, and answers them.

    `stop` begins a planned stop of the node.
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
        pages: OperatorApi | None,
    ) -> Iterable[bytes]:
        """Answer one request; `pages` is None until the node has joined."""
        try:
            kind, content = self._content(environ, pages)
        except (AccessDeniedError, _PageError) as refused:
            problem = {'status': refused.status, 'detail': str(refused)}
            text = json.dumps(problem).encode()
            return _reply(start_response, refused.status, _PROBLEM, text)
        return _reply(start_response, HTTPStatus.OK, kind, content)

    def _content(
        self, environ: Environ, pages: OperatorApi | None
    ) -> tuple[str, bytes]:
        path, method = environ['PATH_INFO'], environ['REQUEST_METHOD']
        who = self._admit(environ, changes=method != 'GET')
        if path == _DRAIN and method == 'POST':
            OPERATOR_CHANGE.report(node=self._node_id, who=who, what='drain')
            self._stop()
            return _JSON, json.dumps({'draining': self._node_id}).encode()
        if method != 'GET':
            raise _PageError(405, f'{path} takes GET; {_DRAIN} takes POST')
        if pages is None:
            raise _PageError(503, 'the node has not joined yet; come again')
        if path == '/metrics':
            return _METRICS, pages.metrics()
        return _JSON, _page(pages, environ)

    def _admit(self, environ: Environ, *, changes: bool) -> str:
        try:
            return self._access_control.authorize(environ, changes=changes).name
        except AccessDeniedError as refused:
            OPERATOR_REFUSED.report(
                address=environ.get('REMOTE_ADDR'),
                path=environ['PATH_INFO'],
                status=refused.status,
            )
            raise


def _page(pages: OperatorApi, environ: Environ) -> bytes:
    path = environ['PATH_INFO']
    try:
        content = pages.page(path, environ.get('QUERY_STRING', ''))
    except LookupError as unknown:
        known = ', '.join(pages.paths)
        text = f'{path}: {unknown}; pages: {known}'
        raise _PageError(404, text) from unknown
    return json.dumps(content).encode()
