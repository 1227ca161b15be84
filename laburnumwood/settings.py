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

MAX_PORT = 65_535
_ADDRESS = r'^[^:]+:\d{1,5}$'
_BYTES_PER_MB = 1_048_576
_PROCESS_MB = 64  # of a process that does nothing
_LEAST_USABLE_MB = 8  # besides the process, however small the VM
_BODY_SHARE = 0.6  # of the memory besides the process
_USABLE_GRACE = 5 / 6  # share of the time until the process would be killed
_END_MS = 300  # from the last answer to the end of the process
SECRET_FIELDS = frozenset(('shared_key', 'token'))


class LeaseSettings(BaseModel):
    """Times of leases, in milliseconds."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    renew_ms: int = Field(default=400, ge=50, le=10_000)
    grant_ms: int = Field(default=1_600, ge=200, le=60_000)
    drift_margin_ms: int = Field(default=50, ge=1, le=5_000)
    guard_ms: int = Field(default=100, ge=0, le=5_000)


class ReportSettings(BaseModel):
    """How to process and answer the reports of a worker.

    `clock_drift` is the fraction by which the worker's clock may run slow,
    `most_bytes` the maximum size of an answer.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    silent_ms: int = Field(default=2_600, ge=100, le=60_000)
    leave_ms: int = Field(default=1_800, ge=0, le=60_000)
    most_grant_ms: int = Field(default=10_000, ge=100, le=600_000)
    clock_drift: float = Field(default=0.02, ge=0, lt=1)
    most_bytes: int = Field(default=4_000, ge=100, le=10_000_000)


class PlacementSettings(BaseModel):
    """How shards are rebalanced by load.

    A node whose fraction of busy slots is below `least_usage` moves no shards
    because of load.  A move has to gain a larger fraction of its slots than
    `least_gain`, which should exceed the noise of the measured loads.
    `load_half_life_ms` is the time after which the weight of a measured load
    halves, `rest_ms` the minimum time for which a shard stays with an owner,
    and `moves_per_minute` the maximum rate at which a node moves shards away
    because of load.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    least_usage: float = Field(default=0, ge=0, le=1)
    least_gain: float = Field(default=0.02, ge=0, le=1)
    load_half_life_ms: int = Field(default=15_000, ge=100, le=600_000)
    rest_ms: int = Field(default=30_000, ge=0, le=3_600_000)
    moves_per_minute: int = Field(default=4, ge=0, le=600)


class BalancingSettings(BaseModel):
    """How nodes are chosen for requests of services without keys.

    A request goes to another failure domain if it is expected to be answered
    sooner there by more than `crossing_ms`.  None: local nodes are preferred
    while they are not busy.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    crossing_ms: int | None = Field(default=None, ge=0, le=60_000)


class AdmissionSettings(BaseModel):
    """How requests are admitted to the worker.

    `calls_from_host` is whether requests from the address of the node's own
    host are calls of its worker; only the policy `least-cost` uses it.
    """

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    policy: Literal['adaptive', 'least-cost', 'unlimited', 'fixed-queue'] = (
        'adaptive'
    )
    queue_per_slot: int = Field(default=2, ge=1, le=1_000)
    calls_from_host: bool = False


class OperatorSettings(BaseModel):
    """The token and the permissions of an operator."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    token: str = Field(min_length=16, repr=False)
    may: Literal['read', 'change'] = 'read'


class TlsSettings(BaseModel):
    """Paths of the PEM files for TLS on the links between nodes."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    certificate: str = Field(min_length=1)
    key: str = Field(min_length=1)
    authority: str = Field(min_length=1)


class DaemonSettings(BaseModel):
    """The settings of a daemon."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    node_id: str = Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
    failure_domain: str = Field(min_length=1)
    region: str = 'default'
    borders: str = 'own'
    host: str = '127.0.0.1'
    peer_port: int = Field(ge=1, le=MAX_PORT)
    advertised_peer_port: int | None = Field(default=None, ge=1)
    door_port: int | None = Field(default=None, ge=1, le=MAX_PORT)
    door_address: str | None = Field(default=None, pattern=_ADDRESS)
    ready_address: str | None = Field(default=None, pattern=_ADDRESS)
    report_address: str | None = Field(default=None, pattern=_ADDRESS)
    operator_port: int | None = Field(default=None, ge=1, le=MAX_PORT)
    metrics_port: int | None = Field(default=None, ge=1, le=MAX_PORT)
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
    memory_mb: int | None = Field(default=None, ge=1)
    max_descriptors: int | None = Field(default=None, ge=1)
    body_memory_mb: int = Field(default=144, ge=1, le=65_536)
    stop_patience_ms: int = Field(default=60_000, ge=0, le=3_600_000)
    stop_grace_s: float | None = Field(default=None, ge=1, le=3_600)
    stop_linger_ms: int = Field(default=0, ge=0, le=60_000)
    config_apply_s: float = Field(default=2, ge=0.1, le=3_600)
    owner_patience_ms: int = Field(default=3_000, ge=0, le=60_000)
    follow_evacuations: bool = False
    evacuation_limit_ms: int = Field(default=0, ge=0, le=3_600_000)
    admission: AdmissionSettings = AdmissionSettings()
    balancing: BalancingSettings = BalancingSettings()

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

        A part of the time until the process would be killed is reserved for
        the end of the process.
        """
        if self.stop_grace_s is None:
            return self.stop_patience_ms
        return round(self.stop_grace_s * MS_PER_SECOND * _USABLE_GRACE)

    @property
    def config_limit_ms(self) -> int:
        """Return how old a proof of the configuration may be at most."""
        return round(self.config_apply_s * MS_PER_SECOND)

    @property
    def last_answer_ms(self) -> int:
        """Return how long answers on their way may take in a planned stop."""
        if self.stop_grace_s is None:
            return self.stop_patience_ms
        grace_ms = round(self.stop_grace_s * MS_PER_SECOND)
        return max(self.stop_limit_ms, grace_ms - _END_MS)

    @property
    def body_memory_bytes(self) -> int:
        """Return how many bytes of request bodies are held at a time.

        On a VM of little memory it is less than the settings allow.
        """
        most = self.body_memory_mb * _BYTES_PER_MB
        if self.usable_memory_bytes is None:
            return most
        return min(most, int(self.usable_memory_bytes * _BODY_SHARE))

    @property
    def vm_bytes(self) -> int | None:
        """Return the memory of the VM, None if not known."""
        return self.memory_mb and self.memory_mb * _BYTES_PER_MB

    @property
    def usable_memory_bytes(self) -> int | None:
        """Return what the VM has besides the process, None if not known."""
        if self.memory_mb is None:
            return None
        usable_mb = max(_LEAST_USABLE_MB, self.memory_mb - _PROCESS_MB)
        return usable_mb * _BYTES_PER_MB

    @property
    def caller_address(self) -> tuple[str, int]:
        """Return the host and the port at which callers connect."""
        if self.door_address is not None:
            return split_address(self.door_address)
        return self.host, self.door_port or 0


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """Return the first model in an annotation, at any depth."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    inner = (_model_in(each) for each in get_args(annotation))
    return next((model for model in inner if model is not None), None)


def _field_names_at(model: type[BaseModel], path: tuple[int | str, ...]) -> str:
    for step in path[:-1]:
        field = model.model_fields.get(str(step))
        inner = _model_in(field.annotation) if field else None
        model = inner or model
    return ', '.join(sorted(model.model_fields))


def _describe_error(error: ErrorDetails, model: type[BaseModel]) -> str:
    path = error['loc']
    named = '.'.join(str(step) for step in path) or '(whole file)'
    if not path or SECRET_FIELDS.intersection(path):
        return f'{named}: {error["msg"]}; what was found is not shown'
    if error['type'] == 'extra_forbidden':
        allowed = _field_names_at(model, path)
        return f'{named}: unknown field; allowed: {allowed}'
    return f'{named}: {error["msg"]}; found {error["input"]!r}'


def describe_validation_error(
    error: ValidationError, file: str, model: type[BaseModel]
) -> str:
    """Return one line for each validation error in a file.

    A line contains the file, the path in it, the value and what is allowed.
    Values of secrets are omitted.
    """
    return '\n'.join(
        f'{file}: {_describe_error(each, model)}' for each in error.errors()
    )


def read_settings(path: Path) -> DaemonSettings:
    """Read and validate the settings file at `path`.

    Raises `SettingsError` if the file can't be read or is invalid.
    """
    try:
        content = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        return DaemonSettings.model_validate(content)
    except ValidationError as error:
        raise SettingsError(
            describe_validation_error(error, str(path), DaemonSettings)
        ) from error
