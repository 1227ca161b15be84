"""What a worker says about itself in the headers of its answers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerSignals:
    """What one answer says about the worker.

    `limit_per_second` is the rate of requests, from all nodes together, that
    the worker accepts; None if it names no limit.  `invalid` describes headers
    that could not be read; they say nothing.
    """

    limit_per_second: float | None = None
    is_leaving: bool = False
    invalid: str = ''
