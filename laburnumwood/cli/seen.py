"""The record of the accepted files on which a folder is based."""

import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from laburnumwood.cli.options import UsageError

_FILE_NAME = '.laburnumwood-seen'


class SeenFiles(BaseModel):
    """The digests of the accepted files that the operator has seen.

    They show whether the operator or others changed a file since then.
    `generation` is the accepted one when the record was written.
    """

    model_config = ConfigDict(extra='forbid')

    generation: int = 0
    files: dict[str, str] = Field(default_factory=dict)


def read_seen(folder: Path) -> SeenFiles:
    """Return the accepted files on which a folder is based.

    There are none if the folder has no record.  Raises `UsageError` if the
    record is not valid.
    """
    path = folder / _FILE_NAME
    if not path.exists():
        return SeenFiles()
    try:
        return SeenFiles.model_validate_json(path.read_text())
    except ValidationError as invalid:
        text = f'{path} is not readable; remove it and run "laburnumwood diff"'
        raise UsageError(text) from invalid


def write_seen(folder: Path, seen: SeenFiles) -> None:
    """Write the accepted files on which a folder is based to its record."""
    text = json.dumps(seen.model_dump(), indent=2)
    (folder / _FILE_NAME).write_text(f'{text}\n')
