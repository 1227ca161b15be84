"""What a request of the soak asks of its worker, as a query."""

from dataclasses import asdict, dataclass
from enum import StrEnum
from urllib.parse import parse_qsl, urlencode

from pydantic import TypeAdapter


class Framing(StrEnum):
    """How the length of an answer is told."""

    length = 'length'
    chunked = 'chunked'
    unframed = 'unframed'


class Break(StrEnum):
    """Where a worker breaks its answer off, and how."""

    nowhere = 'nowhere'
    before = 'before'
    in_body = 'in_body'
    reset = 'reset'


@dataclass(frozen=True, slots=True)
class Plan:
    """How a worker runs one request and answers it.

    The head leaves after `work_ms`, the body `body_ms` later.
    """

    work_ms: int = 0
    body_ms: int = 0
    size: int = 0
    status: int = 200
    form: Framing = Framing.length
    breaks: Break = Break.nowhere

    @classmethod
    def parse(cls, query: str) -> 'Plan':
        """Read a plan from the query of a request."""
        return _PLANS.validate_python(dict(parse_qsl(query)))

    @property
    def query(self) -> str:
        """Return the plan as the query of a request."""
        return urlencode(asdict(self))


_PLANS = TypeAdapter(Plan)
