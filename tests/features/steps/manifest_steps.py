"""Steps about the manifests that a platform accepts."""

from random import Random
from typing import Any

from behave import given, then
from behave.runner import Context
from cbor2 import dumps, loads
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from bench.reporting import manifest
from laburnumwood.membership.directory import Directory
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.records import StoredObject
from laburnumwood.routing.routes import RouteTable, choose_service
from laburnumwood.store.objects import CONFIG_NAME

HOST = 'drawn.example'
FIRST, SECOND = 1, 2  # versions of the manifest
MANIFESTS = 200
LONGEST_MS = 3_600_000  # timeout of a route

_NAMES = st.text(max_size=80)
_EDGE_TIMES = st.sampled_from((0, 0.4, 1.5))
_TIMES = st.one_of(st.floats(0, 1e9), st.integers(0, 10**9), _EDGE_TIMES)
_WEIGHT = st.one_of(st.integers(0, 10**12), st.floats(0, 1e300))
_WEIGHTS = st.lists(_WEIGHT, min_size=1, max_size=3)


def _route(name: str, number: int, services: dict[str, float]) -> Any:
    parts = [
        {'service': service, 'weight': weight}
        for service, weight in services.items()
    ]
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/p{number}/',
        'type': 'unsafe',
        'timeout_ms': 1_000,
        'objective_ms': 300,
        'priority': 1,
        'weighted_services': parts,
    }


def _manifest(routes: list[Any]) -> dict[str, Any]:
    names = {
        part['service']
        for route in routes
        for part in route['weighted_services']
    }
    return {**manifest(SECOND, dict.fromkeys(names, True)), 'routes': routes}


def _check_in_force(content: dict[str, Any], directory: Directory) -> None:
    value = read_manifest(loads(dumps(content)))
    directory.apply(StoredObject(CONFIG_NAME, value, SECOND))
    assert directory.config.generation == SECOND, content
    declarations = directory.declarations
    table = RouteTable(declarations)
    for declared in content['routes']:
        found = table.find(HOST, declared['path_prefix'])
        assert found is not None, declared
        names = {part['service'] for part in declared['weighted_services']}
        assert set(found.services) == names, (declared, found)
        service = declarations.services[choose_service(found, Random(1))]
        assert service.key is not None, declared
        assert found.objective_ms >= 1, found
        timeout_ms = min(declared['timeout_ms'], LONGEST_MS)
        assert abs(found.timeout_ms - timeout_ms) <= 1, (declared, found)


def _check_everywhere(content: dict[str, Any]) -> None:
    running = Directory()
    first = read_manifest(manifest(FIRST, {'one': False}))
    running.apply(StoredObject(CONFIG_NAME, first, FIRST))
    _check_in_force(content, running)
    _check_in_force(content, Directory())


@given('a manifest with a route whose {what} is "{value}"')
def make_manifest(context: Context, what: str, value: str) -> None:
    service = value if what == 'service' else 'desk'
    route = _route('r', 1, {service: 1})
    if what in {'timeout_ms', 'objective_ms'}:
        route[what] = float(value)
    elif what != 'service':
        route[what] = value
    context.content = _manifest([route, _route('other', 2, {'till': 1})])


@then('it is in force on a node that runs and on one that starts')
def check_in_force(context: Context) -> None:
    _check_everywhere(context.content)


@then(
    'any drawn manifest is in force on a node that runs and on one that starts'
)
def check_all(_context: Context) -> None:
    @settings(
        max_examples=MANIFESTS, derandomize=True, database=None, deadline=None
    )
    @drawn(
        st.lists(_NAMES, min_size=1, max_size=4, unique=True),
        st.lists(_NAMES, min_size=3, max_size=3, unique=True),
        _WEIGHTS,
        _TIMES,
        _TIMES,
    )
    def check(
        names: list[str],
        services: list[str],
        weights: list[float],
        timeout_ms: float,
        objective_ms: float,
    ) -> None:
        split = dict(zip(services, weights, strict=False))
        routes = [
            {
                **_route(name, number, split),
                'timeout_ms': timeout_ms,
                'objective_ms': objective_ms,
            }
            for number, name in enumerate(names)
        ]
        _check_everywhere(_manifest(routes))

    check()
