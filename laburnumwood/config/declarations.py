"""The models of what operators declare."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

_MOST_SHARDS = 65_536


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
    """A service; it is divided by key if `key` is given."""

    key: KeySource | None = None
    shards: int = Field(default=0, ge=0, le=_MOST_SHARDS)
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


class CapacityOwner(Declaration):
    """A team that pays for capacity."""

    contact: str = Field(min_length=1)


class Weights(Declaration):
    """How much each measure counts when shards are placed."""

    imbalance: float = Field(default=1, ge=0)
    churn: float = Field(default=1, ge=0)
    unavailable: float = Field(default=1, ge=0)


class Declarations(Declaration):
    """A whole configuration, or the part of it that one file sets."""

    services: dict[str, Service] = Field(default_factory=dict)
    failure_domains: tuple[str, ...] = Field(default=(), strict=False)
    capacity_owners: dict[str, CapacityOwner] = Field(default_factory=dict)
    weights: Weights | None = None
