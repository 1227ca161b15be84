"""The ingress: accepts HTTP requests of callers."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict
from functools import partial
from typing import Protocol

from laburnumwood.clock import Clock
from laburnumwood.config.declarations import Declarations
from laburnumwood.errors import LinkError
from laburnumwood.events import ANSWER_CUT, REQUEST_REJECTED
from laburnumwood.metrics import PROBLEM_ANSWERS
from laburnumwood.protocol.messages import Failure
from laburnumwood.routing.caller import Caller, CallerMonitor
from laburnumwood.routing.caller_interface import CallerInterface, send_problem
from laburnumwood.routing.caller_protocol import REQUEST_ID_KEY, TIME_KEY
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.config_ages import ConfigAges, ConfigStatusProvider
from laburnumwood.routing.door_counters import DoorCounters
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.routing.problems import StartResponse, status_line
from laburnumwood.routing.request_parsing import (
    Environ,
    RequestRefusedError,
    release_body,
)
from laburnumwood.routing.router import Router
from laburnumwood.routing.server import close_after_answer, reset_caller

_UNKNOWN = 'unknown-service'
_OVERDUE = 'nobody has proved lately that it is the latest'

DeclarationsProvider = Callable[[], Declarations]


class ConfigProofs(Protocol):
    """Proofs that the configuration in force is the latest."""

    def refresh(self) -> bool:
        """Have them renewed; return whether requests need no wait for it."""

    def ensure_recent(self, patience_ms: int) -> bool:
        """Return whether a request may be handled, after a wait at most."""

    def confirm_latest(self, patience_ms: int) -> bool:
        """Return whether the store has just confirmed it, after a wait."""


class Ingress:
    """A WSGI application that routes every request to its owner.

    `caller_interface` parses requests and formats answers;
    `get_declarations` returns the declarations in force, and
    `get_config_status` how this node knows them.  `config` tells whether they
    are the latest.
    """

    def __init__(
        self,
        router: Router,
        caller_interface: CallerInterface,
        get_declarations: DeclarationsProvider,
        get_config_status: ConfigStatusProvider,
        config: ConfigProofs,
        clock: Clock,
    ) -> None:
        self._router = router
        self._caller_interface = caller_interface
        self._get_declarations = get_declarations
        self._get_config_status = get_config_status
        self._config = config
        self._callers = CallerMonitor(clock)
        self.counters = DoorCounters()
        self.config_ages = ConfigAges(get_config_status)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Route one request and return the parts of its answer."""
        request_id = self._caller_interface.request_id(environ)
        environ[REQUEST_ID_KEY] = request_id
        try:
            return self._route(environ, start_response, request_id)
        finally:
            release_body(environ)  # the rest is the answer

    def _route(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Iterable[bytes]:
        try:
            request = self._read_request(environ, request_id)
        except RequestRefusedError as error:
            close_after_answer(environ)
            self._report_rejected(error.failure, request_id)
            return self._send_problem(error.failure, request_id, start_response)
        sock = environ['eventlet.input'].get_socket()
        caller = self._callers.register(sock, request_id)
        answer = self._router.send(request, caller)
        elapsed_ms = environ[TIME_KEY].elapsed_ms
        self.counters.record(request.work, answer, elapsed_ms)
        if isinstance(answer, Failure):
            caller.stop_monitoring()
            return self._send_problem(answer, request_id, start_response)
        headers = self._caller_interface.answer_headers(answer.head, request_id)
        start_response(status_line(answer.head.status), headers)
        return _stream(environ, answer, caller)

    def _read_request(self, environ: Environ, request_id: str) -> CallerRequest:
        """Return the request; raises `RequestRefusedError`.

        What the configuration in force does not have is denied only if that
        configuration is the latest, and looked up again after it was confirmed.
        A node whose proof that it has the latest is old has it renewed before
        it handles any request: a route may have been dropped or sent to another
        service.  What nobody can prove in time is not handled.
        """
        read = partial(self._caller_interface.read_request, environ)
        if not self._config.refresh():
            patience_ms = self._config_patience_ms(environ)
            if not self._config.ensure_recent(patience_ms):
                raise RequestRefusedError('config-unconfirmed', _OVERDUE)
        self.config_ages.record(self._get_config_status().confirmed_age_ms)
        try:
            return read(self._get_declarations(), request_id)
        except RequestRefusedError as error:
            if error.failure.kind != _UNKNOWN:
                raise
            detail = error.failure.detail
        if not self._config.confirm_latest(self._config_patience_ms(environ)):
            raise RequestRefusedError('config-unconfirmed', detail)
        return read(self._get_declarations(), request_id)

    def _config_patience_ms(self, environ: Environ) -> int:
        """Return how long a request may wait to be looked up: half its time."""
        left_ms = self._caller_interface.time_left_ms(environ)
        return max(0, left_ms - environ[TIME_KEY].elapsed_ms) // 2

    def _report_rejected(self, failure: Failure, request_id: str) -> None:
        REQUEST_REJECTED.report(
            request=request_id,
            kind=failure.kind,
            detail=failure.detail,
            **asdict(self._get_config_status()),
        )

    def _send_problem(
        self, failure: Failure, request_id: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        PROBLEM_ANSWERS.record(1, {'kind': failure.kind})
        problem = self._caller_interface.problem_answer(failure, request_id)
        return send_problem(problem, start_response)


def _stream(
    environ: Environ, answer: PendingAnswer, caller: Caller
) -> Iterator[bytes]:
    try:
        yield from answer.body()
    except LinkError as error:
        ANSWER_CUT.report(
            request=environ[REQUEST_ID_KEY],
            status=answer.head.status,
            received=answer.received_bytes,
            left_ms=answer.left_ms,
            reason=error,
        )
        reset_caller(environ)
    finally:
        caller.stop_monitoring()
        answer.close()
