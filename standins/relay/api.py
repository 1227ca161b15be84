"""The HTTP interface of the relay, which controls routes and switches."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from standins.answers import Answer, RefusedError, json_answer
from standins.relay.route import Route
from standins.requests import Request

MAX_CONTROL_BYTES = 65_536
ROUTE_PATH_PREFIX = '/routes/'


class RouteTarget(BaseModel):
    """The ports of a new route; listen port 0 selects any free port."""

    model_config = ConfigDict(extra='forbid')

    target_port: int = Field(ge=1)
    listen_port: int = Field(default=0, ge=0)


class RelayApi:
    """Opens routes, sets their switches and reports their traffic."""

    def __init__(self) -> None:
        self._routes: dict[str, Route] = {}

    def answer(self, request: Request) -> Answer:
        """Return the answer to a request.

        Raises RefusedError, which carries the status of an error answer.
        """
        if request.path == '/routes' and request.method == 'GET':
            return json_answer(self._report())
        if not request.path.startswith(ROUTE_PATH_PREFIX):
            raise RefusedError(404, 'no-such-path')
        name = request.path.removeprefix(ROUTE_PATH_PREFIX)
        if request.method == 'PUT':
            self._open_route(name, request.body(MAX_CONTROL_BYTES))
        elif name not in self._routes:
            raise RefusedError(404, 'no-such-route')
        elif request.method == 'POST':
            self._routes[name].update_switches(request.body(MAX_CONTROL_BYTES))
        return json_answer(self._routes[name].report())

    def _open_route(self, name: str, document: bytes) -> None:
        if name in self._routes:
            raise RefusedError(409, 'route-exists')
        target = RouteTarget.model_validate_json(document)
        self._routes[name] = Route(target.listen_port, target.target_port)

    def _report(self) -> dict[str, Any]:
        return {name: route.report() for name, route in self._routes.items()}
