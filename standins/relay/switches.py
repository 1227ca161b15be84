"""What a test can switch on a route of the relay."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Direction(StrEnum):
    """The way that bytes take through a route."""

    to_target = 'to_target'
    to_client = 'to_client'


class RouteSwitches(BaseModel):
    """All switches; those that a request leaves out stay as they are.

    `silent` drops all bytes of the connections that are open when it is set,
    for good; `silent_new` does so to those that come while it is set.
    `cut_after` resets the connection that carries the last of so many bytes
    of `cut_direction`, once, counted from when it is set.  Where `only` is
    set, the switches but `cut_after` concern those connections alone whose
    first bytes contain this text.
    """

    model_config = ConfigDict(extra='forbid')

    only: str = ''
    cut: bool = False
    silent: bool = False
    silent_new: bool = False
    delay_ms: int = Field(default=0, ge=0)
    drop: Direction | None = None
    cut_after: int | None = Field(default=None, ge=0)
    cut_direction: Direction = Direction.to_client
