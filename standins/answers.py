"""What a stand-in answers."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP response; the content may be a stream of pieces."""

    status: int
    content: Iterable[bytes] = ()
    headers: dict[str, str] = field(default_factory=dict)


class RefusedError(Exception):
    """An answer that says why a request was not carried out."""

    def __init__(self, status: int, error: str, **details: Any) -> None:
        super().__init__(error)
        self.status = status
        self.payload = {'error': error, **details}


class DroppedError(Exception):
    """Ends the connection without an answer."""


def json_answer(payload: Any, status: int = 200, **headers: str) -> Answer:
    """Return a JSON document as a complete answer."""
    content = json.dumps(payload).encode()
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    named['Content-Type'] = 'application/json'
    named['Content-Length'] = str(len(content))
    return Answer(status, (content,), named)
