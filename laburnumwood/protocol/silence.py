"""How long nothing has been heard on a link that owes something.

Silence is counted in looks, not in milliseconds: between two of them all that
came is read, also after this process stood still.
"""

CHECK_INTERVAL_MS = 200  # between two looks at all links
# Looks in a row after which a silent link is pinged, gets no new streams, lets
# those fail that wait for the beginning of their answers, and is closed.
_PING_LOOKS = 2
_SUSPECT_LOOKS = 3
_GIVE_UP_LOOKS = 5
_LOST_LOOKS = 20
SUSPECT_MS = _SUSPECT_LOOKS * CHECK_INTERVAL_MS


class Silence:
    """Counts the looks at a link since it was heard last."""

    def __init__(self) -> None:
        self._looks = 0

    @property
    def wants_ping(self) -> bool:
        """Tell whether the peer is to be asked for a sign of life."""
        return self._looks >= _PING_LOOKS

    @property
    def is_suspect(self) -> bool:
        """Tell whether new streams should go over another link."""
        return self._looks >= _SUSPECT_LOOKS

    @property
    def is_given_up(self) -> bool:
        """Tell whether nothing new may be sent on the link any more."""
        return self._looks >= _GIVE_UP_LOOKS

    @property
    def begins_to_be_given_up(self) -> bool:
        """Tell whether the last look was the one that gave the link up."""
        return self._looks == _GIVE_UP_LOOKS

    @property
    def is_over(self) -> bool:
        """Tell whether the link is to be closed."""
        return self._looks >= _LOST_LOOKS

    def look(self) -> None:
        """Count a look before which nothing was heard."""
        self._looks += 1

    def end(self) -> None:
        """Begin anew: something was heard, or nothing is owed."""
        self._looks = 0
