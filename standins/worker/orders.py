"""Parsing of requests to run work."""

from dataclasses import dataclass

from standins.clock import monotonic_ms
from standins.requests import Request
from standins.worker.grants import ShardId

DEFAULT_CHUNK_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class Order:
    """The headers and query parameters of a request to run work."""

    request: str
    key: str
    service: str
    shard: int | None
    token: int | None
    method: str
    deadline_ms: float | None
    work_ms: int | None
    crash: bool
    download_bytes: int | None
    chunk_ms: int
    chunk_bytes: int

    @property
    def shard_id(self) -> ShardId | None:
        """Return the id of the shard, or None if the service is not sharded."""
        if not self.service or self.shard is None:
            return None
        return self.service, self.shard


def parse_order(request: Request) -> Order:
    """Parse an order.

    The header has the time left; `deadline_ms` is the monotonic time.
    """
    remaining_ms = request.numeric_header('Laburnumwood-Deadline-Ms')
    return Order(
        request=request.header('Laburnumwood-Request') or '',
        key=request.header('Laburnumwood-Key') or '',
        service=request.header('Laburnumwood-Service') or '',
        shard=request.numeric_header('Laburnumwood-Shard'),
        token=request.numeric_header('Laburnumwood-Token'),
        method=request.method,
        deadline_ms=None
        if remaining_ms is None
        else monotonic_ms() + remaining_ms,
        work_ms=request.optional_number('work_ms'),
        crash=request.query('crash') == '1',
        download_bytes=request.optional_number('bytes'),
        chunk_ms=request.optional_number('chunk_ms') or 0,
        chunk_bytes=request.optional_number('chunk_bytes')
        or DEFAULT_CHUNK_BYTES,
    )
