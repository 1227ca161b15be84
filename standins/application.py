"""The WSGI application of a stand-in server."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from eventlet import wsgi

from standins.answers import (
    Answer,
    DroppedError,
    RefusedError,
    json_answer,
)
from standins.requests import Request

Handler = Callable[[Request], Answer]
Headers = list[tuple[str, str]]


class Application:
    """Adapts a function from request to answer to the WSGI interface."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[[str, Headers], Any],
    ) -> Iterable[bytes]:
        """Handle one WSGI request and return the chunks of its body."""
        try:
            answer = self._answer(environ)
        except DroppedError:
            wsgi.WSGI_LOCAL.already_handled = True
            return ()
        start_response(
            _status_line(answer.status), list(answer.headers.items())
        )
        return () if environ['REQUEST_METHOD'] == 'HEAD' else answer.content

    def _answer(self, environ: dict[str, Any]) -> Answer:
        try:
            return self._handler(Request(environ))
        except RefusedError as refusal:
            return json_answer(refusal.payload, refusal.status)
        except ValueError as error:
            return json_answer({'error': 'invalid', 'why': str(error)}, 400)


def _status_line(status: int) -> str:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'{status} {phrase}'
