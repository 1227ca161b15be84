"""Models of the configuration that operators declare in files.

Validated in the context `ACCEPTED` they take any names: a platform accepts its
manifests by rules of its own.
"""

import re
from typing import Annotated, Literal, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    model_validator,
)
from pydantic_core import PydanticCustomError

LONGEST_HEAD = 1_048_576  # bytes that may be declared
LONGEST_TIMEOUT_MS = 86_400_000  # for a head or between two requests
LONGEST_ROUTE_MS = 3_600_000  # for the requests of a route
_MAX_SHARDS = 65_536

_NAME = '^[a-z0-9][a-z0-9-]{0,62}$'

# The context of the validation of a configuration that is accepted already.
ACCEPTED = 'accepted'


def _proposed(pattern: str) -> AfterValidator:
    """Return a check of text that is not accepted yet."""
    expression = re.compile(pattern)

    def check(text: str, context: ValidationInfo) -> str:
        if context.context != ACCEPTED and not expression.fullmatch(text):
            raise PydanticCustomError(
                'string_pattern_mismatch',
                "String should match pattern '{pattern}'",
                {'pattern': pattern},
            )
        return text

    return AfterValidator(check)


Name = Annotated[str, Field(pattern=_NAME)]
ServiceName = Annotated[str, _proposed(_NAME)]


class Declaration(BaseModel):
    """The base of all declarations.

    Unknown fields and values of other types are errors.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class KeySource(Declaration):
    """The part of a request that holds its key.

    `name` is the name of the header or query parameter.  For the source
    `path` it is the number of the path segment, counted from 1 after the
    name of the service.
    """

    source: Literal['header', 'query', 'path']
    name: str = Field(min_length=1)

    @model_validator(mode='after')
    def _check_path_segment(self) -> Self:
        if self.source == 'path' and not self._names_segment():
            raise ValueError('for "path", name is a number from "1" up')
        return self

    def _names_segment(self) -> bool:
        return self.name.isdecimal() and int(self.name) > 0


class Priority(Declaration):
    """A class of requests with a scheduling weight.

    Ordinary requests have the weight 1.  A request belongs to the class if
    its method is one of `methods`, or if its header `header` has the value
    `text`, or any value if `text` is None.
    """

    weight: int = Field(default=4, ge=1, le=100)
    methods: frozenset[str] = frozenset()
    header: str | None = Field(default=None, min_length=1)
    text: str | None = None


class Service(Declaration):
    """A service, which is sharded by key if `key` is given.

    `owner` is the capacity owner to which its requests are charged.

    With a `stripe_width`, keys are numbers below 65,536, and each stripe of
    that many consecutive keys belongs to one shard; without it, keys are
    hashed to shards.  With `shards_per_node`, `shards` is the minimum number
    of shards and `stripe_width` the maximum width: a service that starts on
    many nodes gets more shards and narrower stripes, and keeps them.
    """

    key: KeySource | None = None
    shards: int = Field(default=0, ge=0, le=_MAX_SHARDS)
    shards_per_node: int | None = Field(default=None, ge=1, le=_MAX_SHARDS)
    stripe_width: int | None = Field(default=None, ge=1, le=_MAX_SHARDS)
    owner: str | None = None
    idempotent_methods: frozenset[str] = frozenset(
        ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'),
    )
    check_tokens: bool = True
    deadline_ms: int = Field(default=10_000, ge=10, le=3_600_000)
    cold_start_ms: int = Field(default=0, ge=0, le=600_000)
    longest_body: int = Field(default=8_388_608, ge=0, le=67_108_864)
    priorities: dict[Literal['internal', 'paying'], Priority] = Field(
        default_factory=dict,
    )


class Route(Declaration):
    """The services that handle the requests of a host under a path prefix.

    `services` maps the names of services to weights.  A request is sent to
    at most `attempts` workers and answered within `timeout_ms`.  The
    `priority` 0 is the highest.
    """

    host: Annotated[str, _proposed('(?s).+')]
    path_prefix: Annotated[str, _proposed('^/(.*/)?$')]
    services: dict[ServiceName, Annotated[int, Field(ge=0)]] = Field(
        min_length=1
    )
    idempotent: bool = False
    timeout_ms: int = Field(ge=1, le=LONGEST_ROUTE_MS)
    objective_ms: int = Field(ge=1, le=LONGEST_ROUTE_MS)
    attempts: int = Field(default=1, ge=1)
    priority: int = Field(default=0, ge=0)


class CapacityOwner(Declaration):
    """A team that pays for capacity."""

    contact: str = Field(min_length=1)


class Pin(Declaration):
    """Pins a key or a shard of a service to a failure domain or a node."""

    service: str
    key: str | None = Field(default=None, min_length=1)
    shard: int | None = Field(default=None, ge=0)
    failure_domain: str | None = None
    node: str | None = None

    @model_validator(mode='after')
    def _check_exclusive_fields(self) -> Self:
        if (self.key is None) == (self.shard is None):
            raise ValueError('give either "key" or "shard"')
        if (self.failure_domain is None) == (self.node is None):
            raise ValueError('give either "failure_domain" or "node"')
        return self


class OverrideRule(Declaration):
    """Allows files to override values that an earlier file sets.

    `files` are the names of the files that may do so.  Each path of
    `may_override` is that of a value, or ends in `.*` for all values below.
    """

    files: tuple[str, ...] = Field(min_length=1)
    may_override: tuple[str, ...] = Field(min_length=1)


class CallerLimits(Declaration):
    """Limits on what callers send, and on the time that they take.

    `longest_head` is the maximum size of the head of a request in bytes: its
    request line and its headers with the ends of their lines.  A head has to
    arrive within `head_timeout_ms` of its first byte.  A connection is closed
    after `idle_timeout_ms` without a request.
    """

    longest_head: int = Field(default=65_536, ge=1, le=LONGEST_HEAD)
    head_timeout_ms: int = Field(default=60_000, ge=1, le=LONGEST_TIMEOUT_MS)
    idle_timeout_ms: int = Field(default=3_600_000, ge=1, le=LONGEST_TIMEOUT_MS)


class WarmUp(Declaration):
    """What the workers of a service need after their start.

    A worker is cold for `duration_ms`, and takes `per_second` requests a second
    from all nodes together meanwhile.
    """

    duration_ms: int = Field(ge=0, le=LONGEST_TIMEOUT_MS)
    per_second: float = Field(gt=0, allow_inf_nan=False)


class Weights(Declaration):
    """The weights of the terms of the cost function that places shards."""

    imbalance: float = Field(default=1, ge=0)
    churn: float = Field(default=1, ge=0)
    unavailable: float = Field(default=1, ge=0)


class Declarations(Declaration):
    """A whole configuration, or the part of it that one file declares."""

    services: dict[ServiceName, Service] = Field(default_factory=dict)
    failure_domains: tuple[Name, ...] = Field(default=(), strict=False)
    capacity_owners: dict[Name, CapacityOwner] = Field(default_factory=dict)
    pins: dict[Name, Pin] = Field(default_factory=dict)
    rules: tuple[OverrideRule, ...] = ()
    weights: Weights | None = None
    routes: dict[str, Route] = Field(default_factory=dict)
    caller_limits: CallerLimits = CallerLimits()
    warm_ups: dict[ServiceName, WarmUp] = Field(default_factory=dict)
