"""The requests that were sent on a connection and may be sent once more."""

from laburnumwood.clock import Clock

_MAX_LATENESS_MS = 5_000  # by which a repetition arrives after its deadline
_MIN_REVIEWED = 64  # entries


class SentRequests:
    """Ids of requests for as long as they may be sent once more."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[str, int] = {}
        self._review_at = _MIN_REVIEWED

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request with an id was sent."""
        return request_id in self._until_ms

    def add(self, request_id: str, timeout_ms: int) -> None:
        """Add a request that has `timeout_ms` left until its deadline."""
        if not request_id:
            return
        now_ms = self._clock.now_ms()
        self._until_ms[request_id] = now_ms + timeout_ms + _MAX_LATENESS_MS
        if len(self._until_ms) >= self._review_at:
            self._until_ms = {
                each: until_ms
                for each, until_ms in self._until_ms.items()
                if until_ms > now_ms
            }
            self._review_at = max(_MIN_REVIEWED, 2 * len(self._until_ms))
