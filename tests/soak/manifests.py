"""The manifests that the operator writes in a soak, and when they hold."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

_IN_FORCE_MS = 2_000  # until a new configuration is in force everywhere
_RECENT_CHANGES = 4

RouteServices = Mapping[str, Mapping[str, int]]  # weights of services, by route


@dataclass(frozen=True, slots=True)
class ManifestChange:
    """A manifest that the operator wrote; in ms of CLOCK_BOOTTIME.

    `settled_ms` is None if the store may not have it.  `routes` are the routes
    that change in a soak.
    """

    timeout_ms: int
    since_ms: float
    settled_ms: float | None
    routes: RouteServices = field(default_factory=dict)
    is_valid: bool = True

    def allows(self, route: str, service: str) -> bool:
        """Return whether a service may run a request of a route.

        Without a service: whether there is no such route.
        """
        weights = self.routes.get(route)
        if weights is None:
            return not service
        return weights.get(service, 0) > 0


def possible_changes(
    changes: Sequence[ManifestChange], since_ms: float, until_ms: float
) -> list[ManifestChange]:
    """Return the valid manifests that may have been in force in a period."""
    valid = [change for change in changes if change.is_valid]
    first = max(
        number
        for number, change in enumerate(valid)
        if number == 0 or _is_in_force(change, since_ms)
    )
    later = (each for each in valid[first + 1 :] if each.since_ms <= until_ms)
    return [valid[first], *later]


def recent_routes(changes: Sequence[ManifestChange]) -> list[str]:
    """Return the routes of the last manifests, dropped ones included."""
    recent = changes[-_RECENT_CHANGES:]
    return sorted({name for change in recent for name in change.routes})


def longest_timeout_ms(
    changes: Sequence[ManifestChange], since_ms: float, until_ms: float
) -> int:
    """Return the longest timeout that may have been in force in a period."""
    return max(
        change.timeout_ms
        for change in possible_changes(changes, since_ms, until_ms)
    )


def _is_in_force(change: ManifestChange, at_ms: float) -> bool:
    settled_ms = change.settled_ms
    return settled_ms is not None and settled_ms + _IN_FORCE_MS <= at_ms
