"""The door: where callers' HTTP requests come in."""

from collections.abc import Callable, Iterable, Iterator

from laburnumwood.config.declarations import Service
from laburnumwood.errors import LinkError
from laburnumwood.protocol.messages import Answer, Failure, Work
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.headers import end_to_end
from laburnumwood.routing.outcome import StartResponse, refuse, status_line
from laburnumwood.routing.reading import (
    REQUEST_HEADER,
    Environ,
    RequestRefusedError,
    read_request,
    read_request_id,
)
from laburnumwood.routing.router import Reply, Router
from laburnumwood.routing.server import close_after, reset

Services = Callable[[], dict[str, Service]]


class Door:
    """A WSGI application that routes every request to its owner.

    The first segment of the path names the service.
    """

    def __init__(self, router: Router, services: Services) -> None:
        self._router = router
        self._services = services

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        request_id = read_request_id(environ)
        try:
            work, body = read_request(environ, self._services(), request_id)
        except RequestRefusedError as refusal:
            close_after(environ)
            return refuse(refusal.told, request_id, start_response)
        caller = Caller(environ['eventlet.input'].get_socket())
        reply = self._router.send(work, body, caller)
        if isinstance(reply, Failure):
            caller.stop()
            return refuse(reply, request_id, start_response)
        headers = _answer_headers(reply.head, work)
        start_response(status_line(reply.head.status), headers)
        return _stream(environ, reply, caller)


def _stream(environ: Environ, reply: Reply, caller: Caller) -> Iterator[bytes]:
    try:
        yield from reply.body()
    except LinkError:
        reset(environ)
    finally:
        caller.stop()
        reply.close()


def _answer_headers(head: Answer, work: Work) -> list[tuple[str, str]]:
    kept = [
        (name, text)
        for name, text in end_to_end(head.headers)
        if name.lower() != REQUEST_HEADER.lower()
    ]
    return [*kept, (REQUEST_HEADER, work.request_id)]
