"""Lookup of the route of a request by host and path."""

from random import Random

from laburnumwood.config.declarations import Declarations, Route


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


class RouteTable:
    """The routes of one configuration, by host and path prefix."""

    def __init__(self, declarations: Declarations) -> None:
        self._by_host: dict[str, list[Route]] = {}
        routes = declarations.routes.values()
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix."""
        routes = self._by_host.get(host.lower(), ())
        return next(
            (route for route in routes if path.startswith(route.path_prefix)),
            None,
        )


def choose_service(route: Route, random: Random) -> str:
    """Return a service of a route, drawn at random by weight.

    If all weights are 0, it is the first one.
    """
    if len(route.services) == 1:
        return next(iter(route.services))
    names, weights = zip(*route.services.items(), strict=True)
    if not any(weights):
        return names[0]
    return random.choices(names, weights)[0]
