"""The models of what operators declare."""

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

_MAX_SHARDS = 65_536

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]


class Declaration(BaseModel):
    """The base of all declarations: unknown fields and types are refused."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)


class KeySource(Declaration):
    """Where the key of a request stands.

    `name` is that of the header or query field; for `path` it is the number
    of the segment after the service's name, counted from 1.
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
    """A class of traffic that is weighed against the ordinary, of weight 1.

    A request belongs to it by its method, or if its header field has the
    text; without a text, any text will do.
    """

    weight: int = Field(default=4, ge=1, le=100)
    methods: frozenset[str] = frozenset()
    header: str | None = Field(default=None, min_length=1)
    text: str | None = None


class Service(Declaration):
    """A service; it is divided by key if `key` is given.

    `owner` is the capacity owner that its requests are counted for.  With a
    `stripe_width`, keys are numbers below 65,536 and each run of so many
    neighbours belongs to one shard, else keys are hashed to shards.  With
    `shards_per_node`, `shards` is the least number and `stripe_width` the
    largest: the service gets more shards and narrower stripes where it begins
    on many nodes, and keeps them.
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
    """Requests of a host under a prefix of the path, and who serves them.

    `services` maps names to weights.  A request is sent to `attempts` workers
    at the most and answered after `timeout_ms` at the latest.  The `priority`
    0 is the highest.
    """

    host: str = Field(min_length=1)
    path_prefix: str = Field(pattern='^/(.*/)?$')
    services: dict[Name, Annotated[int, Field(ge=0)]] = Field(min_length=1)
    idempotent: bool = False
    timeout_ms: int = Field(ge=1, le=3_600_000)
    objective_ms: int = Field(ge=1, le=3_600_000)
    attempts: int = Field(default=1, ge=1)
    priority: int = Field(default=0, ge=0)


class CapacityOwner(Declaration):
    """A team that pays for capacity."""

    contact: str = Field(min_length=1)


class Pin(Declaration):
    """Binds a key or a shard of a service to a failure domain or a node."""

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
    """Lets files set values that an earlier file has set already.

    A path is that of a value, or ends in `.*` for all below it.
    """

    files: tuple[str, ...] = Field(min_length=1)
    may_override: tuple[str, ...] = Field(min_length=1)


class Weights(Declaration):
    """How much each measure counts when shards are placed."""

    imbalance: float = Field(default=1, ge=0)
    churn: float = Field(default=1, ge=0)
    unavailable: float = Field(default=1, ge=0)


class Declarations(Declaration):
    """A whole configuration, or the part of it that one file sets."""

    services: dict[Name, Service] = Field(default_factory=dict)
    failure_domains: tuple[Name, ...] = Field(default=(), strict=False)
    capacity_owners: dict[Name, CapacityOwner] = Field(default_factory=dict)
    pins: dict[Name, Pin] = Field(default_factory=dict)
    rules: tuple[OverrideRule, ...] = ()
    weights: Weights | None = None
    routes: dict[str, Route] = Field(default_factory=dict)
