"""The operator's manifest, as a configuration of the project."""

from typing import Any

from pydantic import BaseModel, Field, FiniteFloat

from laburnumwood.platform.bodies import decode_as
from laburnumwood.platform.headers import KEY_HEADER
from laburnumwood.records import ConfigRecord
from laburnumwood.store.objects import to_value

_FILE = 'manifest'
_OPERATOR = 'operator'
_MAY_RUN_AGAIN = frozenset(('safe', 'download'))

# Keys of neighbours are the hottest together: stripes spread them over the
# workers, and all stripes of a few shards still fit into an answer.
STRIPE_WIDTH = 64
SHARDS = 64
SHARDS_PER_NODE = 3
_LONGEST_BODY = 67_108_864


class _Share(BaseModel):
    service: str
    weight: FiniteFloat


class _Route(BaseModel):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: FiniteFloat
    objective_ms: FiniteFloat
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    weighted_services: list[_Share] = Field(default_factory=list)


class _Service(BaseModel):
    name: str
    max_conns: int | None = None
    sharded: bool = False


class _Limits(BaseModel):
    max_body_bytes: int = _LONGEST_BODY


class _Manifest(BaseModel):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


def _services_of(route: _Route) -> dict[str, int]:
    if route.weighted_services:
        return {
            each.service: round(each.weight) for each in route.weighted_services
        }
    return {route.service or '': 1}


def _route(route: _Route) -> dict[str, Any]:
    return {
        'host': route.host,
        'path_prefix': route.path_prefix,
        'services': _services_of(route),
        'idempotent': route.type in _MAY_RUN_AGAIN,
        'timeout_ms': round(route.timeout_ms),
        'objective_ms': round(route.objective_ms),
        'attempts': max(1, route.max_attempts),
        'priority': max(0, route.priority),
    }


def _service(service: _Service, limits: _Limits) -> dict[str, Any]:
    declared: dict[str, Any] = {
        'longest_body': min(limits.max_body_bytes, _LONGEST_BODY)
    }
    if service.sharded:
        declared.update(
            key={'source': 'header', 'name': KEY_HEADER},
            shards=SHARDS,
            shards_per_node=SHARDS_PER_NODE,
            stripe_width=STRIPE_WIDTH,
        )
    return declared


def read_manifest(content: Any) -> dict[str, Any]:
    """Return a manifest as the value of the project's configuration object.

    Raises `BodyError` if it does not hold what it must.
    """
    manifest = decode_as(_Manifest, content)
    declared = {
        'services': {
            each.name: _service(each, manifest.limits)
            for each in manifest.services
        },
        'routes': {each.name: _route(each) for each in manifest.routes},
    }
    record = ConfigRecord(manifest.version, {_FILE: declared}, _OPERATOR)
    return to_value(record)
