"""HTTP conventions between callers and the ingress."""

from dataclasses import dataclass
from typing import Any, Protocol

from laburnumwood.config.declarations import Declarations
from laburnumwood.protocol.messages import Answer, Failure
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.headers import end_to_end_headers
from laburnumwood.routing.problems import (
    PROBLEMS,
    problem_body,
    problem_headers,
    status_line,
)
from laburnumwood.routing.request_parsing import (
    REQUEST_HEADER,
    Environ,
    read_request,
    read_request_id,
    read_time_left_ms,
)

HeaderList = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class ProblemAnswer:
    """An answer that the ingress itself gives, without a worker."""

    status: str
    headers: HeaderList
    content: bytes


class CallerInterface(Protocol):
    """Parsing of callers' requests, and formatting of their answers."""

    def request_id(self, environ: Environ) -> str:
        """Return the id of a request, the caller's own if it gave one."""

    def time_left_ms(self, environ: Environ) -> int:
        """Return for how long a caller waits; raises `RequestRefusedError`."""

    def read_request(
        self, environ: Environ, declarations: Declarations, request_id: str
    ) -> CallerRequest:
        """Return a request; raises `RequestRefusedError`."""

    def problem_answer(
        self, failure: Failure, request_id: str
    ) -> ProblemAnswer:
        """Return the answer that says why a request has none."""

    def answer_headers(self, head: Answer, request_id: str) -> HeaderList:
        """Return the headers of a worker's answer as the caller gets them."""


class NativeCallerInterface:
    """The project's own paths, headers and problem+json answers."""

    def request_id(self, environ: Environ) -> str:
        """Return the id of a request, the caller's own if it gave one."""
        return read_request_id(environ)

    def time_left_ms(self, environ: Environ) -> int:
        """Return for how long a caller waits; raises `RequestRefusedError`."""
        return read_time_left_ms(environ)

    def read_request(
        self, environ: Environ, declarations: Declarations, request_id: str
    ) -> CallerRequest:
        """Return a request; raises `RequestRefusedError`."""
        return read_request(environ, declarations.services, request_id)

    def problem_answer(
        self, failure: Failure, request_id: str
    ) -> ProblemAnswer:
        """Return the answer that says why a request has none."""
        content = problem_body(failure, request_id)
        status = status_line(PROBLEMS[failure.kind].status)
        return ProblemAnswer(
            status, problem_headers(failure, len(content)), content
        )

    def answer_headers(self, head: Answer, request_id: str) -> HeaderList:
        """Return the headers of a worker's answer as the caller gets them."""
        kept = [
            (name, text)
            for name, text in end_to_end_headers(head.headers)
            if name.lower() != REQUEST_HEADER.lower()
        ]
        return [*kept, (REQUEST_HEADER, request_id)]


def send_problem(problem: ProblemAnswer, start_response: Any) -> tuple[bytes]:
    """Send a problem answer to the caller."""
    start_response(problem.status, problem.headers)
    return (problem.content,)
