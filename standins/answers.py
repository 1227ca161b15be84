"""HTTP responses and errors of the stand-in servers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP response; the content may be a stream of chunks."""

    status: int
    content: Iterable[bytes] = ()
    headers: dict[str, str] = field(default_factory=dict)


class RefusedError(Exception):
    """Raised to answer a request with an error status and a JSON document."""

    def __init__(self, status: int, error: str, **details: Any) -> None:
        super().__init__(error)
        self.status = status
        self.payload = {'error': error, **details}


class DroppedError(Exception):
    """Raised to close the connection without sending an answer."""


def json_answer(payload: Any, status: int = 200, **headers: str) -> Answer:
    """Return an answer whose body is the payload in JSON.

    An underscore in the name of a header stands for a hyphen.
    """
    content = json.dumps(payload).encode()
    all_headers = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    all_headers['Content-Type'] = 'application/json'
    all_headers['Content-Length'] = str(len(content))
    return Answer(status, (content,), all_headers)
