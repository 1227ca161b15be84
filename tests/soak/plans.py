"""The response that a request wants from the worker, sent as a query."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from urllib.parse import parse_qsl, urlencode

from pydantic import TypeAdapter


class Framing(StrEnum):
    """How the end of a response body is marked."""

    length = 'length'
    chunked = 'chunked'
    unframed = 'unframed'


class Break(StrEnum):
    """Where and how a worker breaks off its response."""

    nowhere = 'nowhere'
    before = 'before'
    in_body = 'in_body'
    reset = 'reset'


@dataclass(frozen=True, slots=True)
class ResponsePlan:
    """How a worker executes one request and responds to it.

    The head is sent after `work_ms`, the body `body_ms` after the head, in
    parts over `sending_ms`.
    """

    work_ms: int = 0
    body_ms: int = 0
    size: int = 0
    status: int = 200
    form: Framing = Framing.length
    breaks: Break = Break.nowhere
    sending_ms: int = 0

    @classmethod
    def parse(cls, query: str) -> 'ResponsePlan':
        """Parse the query of a request.

        Raises pydantic.ValidationError if it is not a valid plan.
        """
        return _PLAN_ADAPTER.validate_python(dict(parse_qsl(query)))

    @property
    def query(self) -> str:
        """Return the plan as the query of a request."""
        return urlencode(asdict(self))


_PLAN_ADAPTER = TypeAdapter(ResponsePlan)
