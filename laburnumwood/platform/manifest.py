"""Conversion of the operator's manifest to a configuration of the router."""

from sys import float_info
from typing import Any

from pydantic import BaseModel, Field, FiniteFloat

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.config.declarations import (
    LONGEST_HEAD,
    LONGEST_ROUTE_MS,
    LONGEST_TIMEOUT_MS,
)
from laburnumwood.platform.bodies import decode_as
from laburnumwood.platform.headers import KEY_HEADER
from laburnumwood.records import ConfigRecord
from laburnumwood.store.objects import to_value

_FILE = 'manifest'
_LIMITS_FILE = 'manifest-limits'
_WARM_UPS_FILE = 'manifest-warm-ups'
_OPERATOR = 'operator'
_IDEMPOTENT_TYPES = frozenset(('safe', 'download'))

# Neighbouring keys are hot at the same time.  Stripes distribute them over the
# workers, and all stripes of a few shards still fit into one reply to a worker.
STRIPE_WIDTH = 64
SHARDS = 64
SHARDS_PER_NODE = 3
_MAX_BODY_BYTES = 67_108_864
_MAX_WEIGHT = 1_000_000_000  # of weights that are used as they are
_WEIGHT_STEPS = 10_000  # for the greatest of other weights


class _WeightedService(BaseModel):
    service: str
    weight: FiniteFloat = Field(ge=0)


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
    weighted_services: list[_WeightedService] = Field(default_factory=list)


class _Service(BaseModel):
    name: str
    sharded: bool = False
    warmup_s: FiniteFloat | None = None
    warmup_per_s: FiniteFloat | None = None


class _Limits(BaseModel):
    max_body_bytes: int = _MAX_BODY_BYTES
    max_header_bytes: int | None = None
    header_timeout_ms: FiniteFloat | None = None
    idle_timeout_ms: FiniteFloat | None = None


class _Manifest(BaseModel):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


def _service_weights(route: _Route) -> dict[str, int]:
    """Return whole weights, scaled if the manifest has others."""
    if not route.weighted_services:
        return {route.service or '': 1}
    weights: dict[str, float] = {}
    for each in route.weighted_services:
        total = weights.get(each.service, 0) + each.weight
        weights[each.service] = min(total, float_info.max)
    greatest = max(weights.values())
    are_whole = all(weight.is_integer() for weight in weights.values())
    if not are_whole or greatest > _MAX_WEIGHT:
        weights = {
            name: weight / greatest * _WEIGHT_STEPS
            for name, weight in weights.items()
        }
    return {name: round(weight) for name, weight in weights.items()}


def _to_route_ms(span_ms: float) -> int:
    """Return a time of a route, of 1 ms at least."""
    return max(1, round(min(span_ms, LONGEST_ROUTE_MS)))


def _declare_route(route: _Route) -> dict[str, Any]:
    timeout_ms = _to_route_ms(route.timeout_ms)
    objective_ms = _to_route_ms(route.objective_ms)
    return {
        'host': route.host,
        'path_prefix': route.path_prefix,
        'services': _service_weights(route),
        'idempotent': route.type in _IDEMPOTENT_TYPES,
        'timeout_ms': timeout_ms,
        # Where no answer is in time, one is useful until the timeout.
        'objective_ms': objective_ms if route.objective_ms > 0 else timeout_ms,
        'attempts': max(1, route.max_attempts),
        'priority': max(0, route.priority),
    }


def _declare_service(service: _Service, limits: _Limits) -> dict[str, Any]:
    declaration: dict[str, Any] = {
        'longest_body': max(0, min(limits.max_body_bytes, _MAX_BODY_BYTES))
    }
    if service.sharded:
        declaration.update(
            key={'source': 'header', 'name': KEY_HEADER},
            shards=SHARDS,
            shards_per_node=SHARDS_PER_NODE,
            stripe_width=STRIPE_WIDTH,
        )
    return declaration


def _to_duration_ms(seconds: float) -> int:
    return round(min(max(0, seconds * MS_PER_SECOND), LONGEST_TIMEOUT_MS))


def _declare_warm_ups(services: list[_Service]) -> dict[str, Any]:
    """Return what cold workers tolerate, where a service names a rate."""
    return {
        each.name: {
            'duration_ms': _to_duration_ms(each.warmup_s or 0),
            'per_second': each.warmup_per_s,
        }
        for each in services
        if each.warmup_per_s is not None and each.warmup_per_s > 0
    }


def _declare_limits(limits: _Limits) -> dict[str, Any]:
    given = {
        'longest_head': (limits.max_header_bytes, LONGEST_HEAD),
        'head_timeout_ms': (limits.header_timeout_ms, LONGEST_TIMEOUT_MS),
        'idle_timeout_ms': (limits.idle_timeout_ms, LONGEST_TIMEOUT_MS),
    }
    return {
        name: max(1, round(min(limit, longest)))
        for name, (limit, longest) in given.items()
        if limit is not None
    }


def read_manifest(content: Any) -> dict[str, Any]:
    """Return a manifest as the value of the router's configuration object.

    Raises `BodyError` if the manifest is not valid.
    """
    manifest = decode_as(_Manifest, content)
    declaration = {
        'services': {
            each.name: _declare_service(each, manifest.limits)
            for each in manifest.services
        },
        'routes': {each.name: _declare_route(each) for each in manifest.routes},
    }
    limits = {'caller_limits': _declare_limits(manifest.limits)}
    warm_ups = _declare_warm_ups(manifest.services)
    optional = {_WARM_UPS_FILE: {'warm_ups': warm_ups}} if warm_ups else {}
    return to_value(
        ConfigRecord(
            manifest.version,
            {_FILE: declaration},
            _OPERATOR,
            added_files={_LIMITS_FILE: limits},
            optional_files=optional,
        )
    )
