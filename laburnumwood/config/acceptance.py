"""Acceptance of configurations into the store."""

from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.config.merge import merge
from laburnumwood.platform.client import Platform
from laburnumwood.platform.objects import CONFIG, to_record
from laburnumwood.platform.writes import marked, write
from laburnumwood.records import ConfigRecord


def current(platform: Platform) -> tuple[ConfigRecord, int | None]:
    """Return the accepted configuration and its version (None: none yet)."""
    stored = platform.get(CONFIG)
    if stored is None:
        return ConfigRecord(0), None
    return to_record(ConfigRecord, stored), stored.version


def accept(
    platform: Platform, files: dict[str, dict[str, Any]], who: str, clock: Clock
) -> ConfigRecord:
    """Make files the configuration under the next generation.

    Raises `DeclarationError` if they are not valid, `PlatformConflictError`
    if another operator came first.
    """
    merge(files)
    before, version = current(platform)
    record = ConfigRecord(
        generation=before.generation + 1,
        files=files,
        who=who,
        when_ms=clock.wall_ms(),
    )
    record = marked(record, who)
    write(platform, CONFIG, record, version)
    return record
