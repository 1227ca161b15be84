"""Detection of links that are silent although a reply is due.

Silence is measured in periodic checks instead of milliseconds: all data that
has arrived is read between two checks, also after this process was paused.
"""

CHECK_INTERVAL_MS = 200  # between two checks of all links
# Numbers of consecutive checks after which a silent link is pinged, gets no
# new streams, fails the streams whose answers have not begun, and is closed.
_PING_CHECKS = 2
_SUSPECT_CHECKS = 3
_FAIL_CHECKS = 5
_CLOSE_CHECKS = 20
SUSPECT_MS = _SUSPECT_CHECKS * CHECK_INTERVAL_MS


class SilenceCounter:
    """Counts the checks of a link since data last arrived on it."""

    def __init__(self) -> None:
        self._checks = 0

    @property
    def wants_ping(self) -> bool:
        """Return whether to ping the peer."""
        return self._checks >= _PING_CHECKS

    @property
    def is_suspect(self) -> bool:
        """Return whether new streams should use another link."""
        return self._checks >= _SUSPECT_CHECKS

    @property
    def has_just_become_suspect(self) -> bool:
        """Return whether the link became suspect at the last check."""
        return self._checks == _SUSPECT_CHECKS

    @property
    def is_failed(self) -> bool:
        """Return whether streams without an answer fail and none is opened."""
        return self._checks >= _FAIL_CHECKS

    @property
    def has_just_failed(self) -> bool:
        """Return whether the link began to fail at the last check."""
        return self._checks == _FAIL_CHECKS

    @property
    def is_dead(self) -> bool:
        """Return whether to close the link."""
        return self._checks >= _CLOSE_CHECKS

    def count_check(self) -> None:
        """Count a check before which no data arrived."""
        self._checks += 1

    def reset(self) -> None:
        """Reset the count: data arrived, or no reply is due."""
        self._checks = 0
