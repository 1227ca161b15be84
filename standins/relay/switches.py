"""The switches of a route, with which a test injects link faults."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Direction(StrEnum):
    """The direction of bytes through a route."""

    to_target = 'to_target'
    to_client = 'to_client'


class RouteSwitches(BaseModel):
    """All switches; those omitted from a request keep their values.

    `cut` resets open and new connections.  `silent` permanently drops all
    bytes of the connections that are open when it is set; `silent_new`
    does so for connections that are opened while it is set.  `delay_ms`
    delays each chunk.  `drop` permanently drops the bytes of a direction on
    connections that carry data while it is set.  `cut_after` is a number of
    bytes in `cut_direction`, counted from when it is set: the connection
    that carries the last of them is reset, once.  If `only` is set, all
    switches except `cut_after` apply only to connections whose first bytes
    contain this text.
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
