"""Settings of the daemon, read from one JSON file."""

import json
from pathlib import Path
from typing import Any, Literal, Self, get_args

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from pydantic_core import ErrorDetails

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.errors import SettingsError
from laburnumwood.listening import split_address

HIGHEST_PORT = 65_535
_ADDRESS = r'^[^:]+:\d{1,5}$'
_USED_GRACE = 5 / 6  # of the time given to a planned stop
SECRETS = frozenset(('shared_key', 'token'))


class LeaseSettings(BaseModel):
    """Times of leases, in milliseconds."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    renew_ms: int = Field(default=400, ge=50, le=10_000)
    grant_ms: int = Field(default=1_600, ge=200, le=60_000)
    drift_margin_ms: int = Field(default=50, ge=1, le=5_000)
    guard_ms: int = Field(default=100, ge=0, le=5_000)


class ReportSettings(BaseModel):
    """How to take reports of a worker and how to answer them.

    `clock_drift` is the share by which the worker's clock may count slow,
    `most_bytes` what an answer may have.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    silent_ms: int = Field(default=2_600, ge=100, le=60_000)
    leave_ms: int = Field(default=1_800, ge=0, le=60_000)
    most_grant_ms: int = Field(default=10_000, ge=100, le=600_000)
    clock_drift: float = Field(default=0.02, ge=0, lt=1)
    most_bytes: int = Field(default=4_000, ge=100, le=10_000_000)


class PlacementSettings(BaseModel):
    """How quickly shards follow the load.

    A node whose slots are less busy than `least_usage` moves nothing for the
    load.  A move has to gain more of its slots than `least_gain`, which should
    exceed the noise of the measured loads.  `load_half_life_ms` is after what
    time a measured load counts half, `rest_ms` how long a shard stays with an
    owner at least, and `moves_per_minute` how often a node may give a shard
    away for the load.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    least_usage: float = Field(default=0, ge=0, le=1)
    least_gain: float = Field(default=0.02, ge=0, le=1)
    load_half_life_ms: int = Field(default=15_000, ge=100, le=600_000)
    rest_ms: int = Field(default=30_000, ge=0, le=3_600_000)
    moves_per_minute: int = Field(default=4, ge=0, le=600)


class AdmissionSettings(BaseModel):
    """How requests are let in to the worker."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    policy: Literal['adaptive', 'unlimited', 'fixed-queue'] = 'adaptive'
    queue_per_slot: int = Field(default=2, ge=1, le=1_000)


class OperatorSettings(BaseModel):
    """An operator's token and what may be done with it."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    token: str = Field(min_length=16, repr=False)
    may: Literal['read', 'change'] = 'read'


class TlsSettings(BaseModel):
    """Files of certificates, in PEM form, for links between nodes."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    certificate: str = Field(min_length=1)
    key: str = Field(min_length=1)
    authority: str = Field(min_length=1)


class DaemonSettings(BaseModel):
    """All that one daemon has to be told."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    node_id: str = Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
    failure_domain: str = Field(min_length=1)
    region: str = 'default'
    borders: str = 'own'
    host: str = '127.0.0.1'
    peer_port: int = Field(ge=1, le=HIGHEST_PORT)
    advertised_peer_port: int | None = Field(default=None, ge=1)
    door_port: int | None = Field(default=None, ge=1, le=HIGHEST_PORT)
    door_address: str | None = Field(default=None, pattern=_ADDRESS)
    ready_address: str | None = Field(default=None, pattern=_ADDRESS)
    report_address: str | None = Field(default=None, pattern=_ADDRESS)
    operator_port: int | None = Field(default=None, ge=1, le=HIGHEST_PORT)
    metrics_port: int | None = Field(default=None, ge=1, le=HIGHEST_PORT)
    platform_url: str = Field(pattern='^https?://')
    worker_url: str = Field(pattern='^https?://')
    service: str = Field(min_length=1)
    capacity_owner: str = Field(min_length=1)
    slots: int = Field(default=20, ge=1)
    connections: int = Field(default=100, ge=1)
    shared_key: str | None = Field(default=None, min_length=16, repr=False)
    tls: TlsSettings | None = None
    operators: dict[str, OperatorSettings] = Field(default_factory=dict)
    lease: LeaseSettings = LeaseSettings()
    reports: ReportSettings = ReportSettings()
    placement: PlacementSettings = PlacementSettings()
    stop_patience_ms: int = Field(default=60_000, ge=0, le=3_600_000)
    stop_grace_s: float | None = Field(default=None, ge=1, le=3_600)
    stop_linger_ms: int = Field(default=0, ge=0, le=60_000)
    owner_patience_ms: int = Field(default=3_000, ge=0, le=60_000)
    admission: AdmissionSettings = AdmissionSettings()

    @model_validator(mode='after')
    def _check_links(self) -> Self:
        if (self.shared_key is None) == (self.tls is None):
            raise ValueError('give either "tls" or "shared_key"')
        return self

    @model_validator(mode='after')
    def _check_door(self) -> Self:
        if (self.door_port is None) == (self.door_address is None):
            raise ValueError('give either "door_port" or "door_address"')
        return self

    @model_validator(mode='after')
    def _check_stop(self) -> Self:
        given = {'stop_patience_ms', 'stop_grace_s'}
        if given <= self.model_fields_set:
            raise ValueError('give "stop_patience_ms" or "stop_grace_s"')
        return self

    @property
    def stop_limit_ms(self) -> int:
        """Return how long a planned stop may take.

        Of the time after which the process would be killed a part is kept
        for its end.
        """
        if self.stop_grace_s is None:
            return self.stop_patience_ms
        return round(self.stop_grace_s * MS_PER_SECOND * _USED_GRACE)

    @property
    def door(self) -> tuple[str, int]:
        """Return host and port for callers."""
        if self.door_address is not None:
            return split_address(self.door_address)
        return self.host, self.door_port or 0


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """Return the model that an annotation names, at any depth."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    inner = (_model_in(each) for each in get_args(annotation))
    return next((model for model in inner if model is not None), None)


def _fields_at(model: type[BaseModel], path: tuple[int | str, ...]) -> str:
    for step in path[:-1]:
        field = model.model_fields.get(str(step))
        inner = _model_in(field.annotation) if field else None
        model = inner or model
    return ', '.join(sorted(model.model_fields))


def _line(fault: ErrorDetails, model: type[BaseModel]) -> str:
    path = fault['loc']
    named = '.'.join(str(step) for step in path) or '(whole file)'
    if not path or SECRETS.intersection(path):
        return f'{named}: {fault["msg"]}; what was found is not shown'
    if fault['type'] == 'extra_forbidden':
        allowed = _fields_at(model, path)
        return f'{named}: unknown field; allowed: {allowed}'
    return f'{named}: {fault["msg"]}; found {fault["input"]!r}'


def describe(error: ValidationError, file: str, model: type[BaseModel]) -> str:
    """Return one line for each fault that a model found in a file.

    A line names the file, the path in it, what was found and what is
    allowed, but for secrets, of which it tells nothing.
    """
    return '\n'.join(
        f'{file}: {_line(fault, model)}' for fault in error.errors()
    )


def read_settings(path: Path) -> DaemonSettings:
    """Read the settings file at `path`.

    Raises `SettingsError` if it can't be read or does not hold what it must.
    """
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as unreadable:
        raise SettingsError(f'{path}: {unreadable}') from unreadable
    try:
        return DaemonSettings.model_validate(content)
    except ValidationError as invalid:
        raise SettingsError(
            describe(invalid, str(path), DaemonSettings)
        ) from invalid
