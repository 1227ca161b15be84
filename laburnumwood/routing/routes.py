"""Lookup of the route of a request by host and path."""

import re
from collections.abc import Callable
from random import Random

from laburnumwood.config.declarations import Declarations, Route
from laburnumwood.protocol.messages import Work

_PORT_AND_ROOT = re.compile(r'\.?(:[0-9]*)?$')  # at the end of a host


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
        """Return the route of a host with the longest matching prefix.

        A port after the host is ignored unless the route's host has it, and
        so is the dot of the root domain.
        """
        lower_host = host.lower()
        routes = self._by_host.get(lower_host)
        if routes is None:
            plain_host = _PORT_AND_ROOT.sub('', lower_host, count=1)
            routes = self._by_host.get(plain_host, [])
        return next(
            (route for route in routes if path.startswith(route.path_prefix)),
            None,
        )


def route_name(route: Route) -> str:
    """Return what tells a route apart from the others."""
    return f'{route.host}{route.path_prefix}'


class CurrentRoutes:
    """The routes of the configuration in force."""

    def __init__(self, get_declarations: Callable[[], Declarations]) -> None:
        self._get_declarations = get_declarations
        self._declarations = Declarations()
        self._table = RouteTable(self._declarations)

    def name_of(self, work: Work) -> str:
        """Return the name of the route of a request, '' if it has none."""
        host = next(
            (text for name, text in work.headers if name.lower() == 'host'), ''
        )
        route = self._current_table().find(host, work.target)
        return '' if route is None else route_name(route)

    def _current_table(self) -> RouteTable:
        declarations = self._get_declarations()
        if declarations is not self._declarations:
            self._declarations = declarations
            self._table = RouteTable(declarations)
        return self._table


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
