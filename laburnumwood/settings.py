"""Settings of the daemon, read from one JSON file."""

import json
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from laburnumwood.errors import SettingsError

HIGHEST_PORT = 65_535


class LeaseSettings(BaseModel):
    """Times of leases, in milliseconds."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    renew_ms: int = Field(default=400, ge=50, le=10_000)
    grant_ms: int = Field(default=1_600, ge=200, le=60_000)
    drift_margin_ms: int = Field(default=50, ge=1, le=5_000)
    guard_ms: int = Field(default=100, ge=0, le=5_000)


class AdmissionSettings(BaseModel):
    """How requests are let in to the worker."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    policy: Literal['adaptive', 'unlimited', 'fixed-queue'] = 'adaptive'
    queue_per_slot: int = Field(default=2, ge=1, le=1_000)


class DaemonSettings(BaseModel):
    """All that one daemon has to be told."""

    model_config = ConfigDict(extra='forbid', frozen=True, strict=True)

    node_id: str = Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
    failure_domain: str = Field(min_length=1)
    region: str = 'default'
    host: str = '127.0.0.1'
    peer_port: int = Field(ge=1, le=HIGHEST_PORT)
    advertised_peer_port: int | None = Field(default=None, ge=1)
    door_port: int = Field(ge=1, le=HIGHEST_PORT)
    operator_port: int = Field(ge=1, le=HIGHEST_PORT)
    platform_url: str = Field(pattern='^https?://')
    worker_url: str = Field(pattern='^https?://')
    service: str = Field(min_length=1)
    capacity_owner: str = Field(min_length=1)
    slots: int = Field(default=20, ge=1)
    connections: int = Field(default=100, ge=1)
    shared_key: str = Field(min_length=16, repr=False)
    lease: LeaseSettings = LeaseSettings()
    admission: AdmissionSettings = AdmissionSettings()


def describe(error: ValidationError, file: str) -> str:
    """Return one line for each fault that a model found in a file.

    A line names the file, the path in it, what was found and what is wrong.
    """
    lines = []
    for fault in error.errors():
        path = '.'.join(str(step) for step in fault['loc']) or '(whole file)'
        found = repr(fault.get('input'))
        lines.append(f'{file}: {path}: {fault["msg"]}; found {found}')
    return '\n'.join(lines)


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
        raise SettingsError(describe(invalid, str(path))) from invalid
