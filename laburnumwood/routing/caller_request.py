"""A caller's request and what its route allows."""

from dataclasses import dataclass

from laburnumwood.protocol.messages import Work
from laburnumwood.resources.bodies import Body

UNLIMITED_ATTEMPTS = 1_000  # in effect: deadline and retry budget end it


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request, its whole body, and the most workers it may be sent to.

    `until_ms` is its deadline, a time of the clock.  `route` is the name of its
    route, '' if it has none.  `caller_left_ms` is how long its caller waits
    from its arrival, whatever the route allows.
    """

    work: Work
    body: Body
    until_ms: int
    attempts: int = UNLIMITED_ATTEMPTS
    route: str = ''
    caller_left_ms: int = 0
