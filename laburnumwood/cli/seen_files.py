"""What the folder of an operator is based on."""

import json
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from laburnumwood.cli.options import UsageError

_FILE_NAME = '.laburnumwood-seen'


class SeenFiles(BaseModel):
    """Digests of the accepted files that the operator has seen."""

    model_config = ConfigDict(extra='forbid')

    generation: int = 0
    files: dict[str, str] = Field(default_factory=dict)


def read_seen(folder: Path) -> SeenFiles:
    """Return what a folder is based on; nothing if it is new."""
    path = folder / _FILE_NAME
    if not path.exists():
        return SeenFiles()
    try:
        return SeenFiles.model_validate_json(path.read_text())
    except ValidationError as invalid:
        text = f'{path} is not readable; remove it and run "laburnumwood diff"'
        raise UsageError(text) from invalid


def write_seen(folder: Path, seen: SeenFiles) -> None:
    """Note what a folder is based on now."""
    text = json.dumps(seen.model_dump(), indent=2)
    (folder / _FILE_NAME).write_text(f'{text}\n')
