"""A caller's request and what its route allows."""

from dataclasses import dataclass

from laburnumwood.protocol.messages import Work

UNLIMITED_ATTEMPTS = (
    1_000  # of workers: the deadline and the retry budget bound it
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request, its whole body, and to how many workers it may be sent."""

    work: Work
    body: bytes
    attempts: int = UNLIMITED_ATTEMPTS
