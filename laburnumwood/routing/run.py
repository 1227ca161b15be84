"""A run: a request that the gate has accepted for its worker."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from xxhash import xxh3_128

from laburnumwood.protocol.messages import Work
from laburnumwood.resources.bodies import Body


def _ignore(_length: int) -> None:
    """Do nothing."""


@dataclass(frozen=True)  # no slots: cached_property needs a __dict__
class Run:
    """A request with its body, fencing token and deadline.

    `token` is None for a service that is not divided by key; `until_ms` is the
    deadline as a time of the clock.  `on_answer_read` is called with the length
    of an answer that is streamed once the worker has finished it.
    """

    work: Work
    body: Body
    token: int | None
    until_ms: int
    on_answer_read: Callable[[int], None] = _ignore

    @cached_property
    def fingerprint(self) -> str:
        """Return a digest of method, target, key and body.

        Two requests have the same fingerprint only if these are equal.
        """
        digest = xxh3_128(self.body)
        for part in (self.work.method, self.work.target, self.work.key):
            digest.update(f'{len(part)}:{part}'.encode())
        return digest.hexdigest()
