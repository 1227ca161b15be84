"""Choice of the service, the shard and the key of a request on a route."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from laburnumwood.config.declarations import Route, Service
from laburnumwood.routing.request_parsing import (
    Environ,
    RequestRefusedError,
    find_shard_and_key,
)
from laburnumwood.routing.routes import choose_service


@dataclass(frozen=True, slots=True)
class Destination:
    """The service that a request goes to; shard -1 if it has no shards."""

    service: str
    shard: int
    key: str


def _without_keys(route: Route, services: Mapping[str, Service]) -> Route:
    """Return a route with only those of its services that need no key."""
    usable = {
        name: weight
        for name, weight in route.services.items()
        if weight and services[name].key is None
    }
    return route.model_copy(update={'services': usable})


def choose_destination(
    route: Route,
    services: Mapping[str, Service],
    environ: Environ,
    random: Random,
) -> Destination:
    """Return where to send a request, drawn by the weights of its route.

    A request whose key is missing or invalid goes to a service that needs
    none.  Raises `RequestRefusedError` if the route has no such service.
    """
    name = choose_service(route, random)
    try:
        return Destination(name, *find_shard_and_key(environ, services[name]))
    except RequestRefusedError:
        route = _without_keys(route, services)
        if not route.services:
            raise
    return Destination(choose_service(route, random), -1, '')
