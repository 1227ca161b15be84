"""The faults that a test can inject into the stand-in for the platform."""

import eventlet
from pydantic import BaseModel, ConfigDict, Field

from standins.answers import DroppedError
from standins.clock import MS_PER_SECOND


class FaultSettings(BaseModel):
    """All fault switches; those omitted from a request keep their values.

    `lose_answers` is the number of writes, of names under `lose_prefix`,
    that take effect but whose answers are dropped.  `watch_stall` hides
    all events from watches.
    """

    model_config = ConfigDict(extra='forbid')

    outage: bool = False
    delay_ms: int = Field(default=0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    lose_prefix: str | None = None
    watch_stall: bool = False


class Faults:
    """Applies the fault switches to calls."""

    def __init__(self) -> None:
        self.settings = FaultSettings()

    def update_settings(self, document: bytes) -> None:
        """Set the switches that are present in a JSON document."""
        changes = FaultSettings.model_validate_json(document)
        updates = changes.model_dump(exclude_unset=True)
        self.settings = self.settings.model_copy(update=updates)

    def apply_to_call(self) -> None:
        """Delay a call; raise DroppedError during an outage."""
        self.apply_outage()
        if self.settings.delay_ms:
            eventlet.sleep(self.settings.delay_ms / MS_PER_SECOND)
            self.apply_outage()

    def apply_outage(self) -> None:
        """Raise DroppedError during an outage."""
        if self.settings.outage:
            raise DroppedError

    def apply_to_written(self, name: str) -> None:
        """Raise DroppedError if a completed write must lose its answer."""
        settings = self.settings
        if settings.lose_answers and name.startswith(
            settings.lose_prefix or '',
        ):
            settings.lose_answers -= 1
            raise DroppedError
