"""The faults that a test can switch on."""

import eventlet
from pydantic import BaseModel, ConfigDict, Field

from standins.answers import DroppedError
from standins.clock import MS_PER_SECOND


class FaultSettings(BaseModel):
    """All switches; those that a request leaves out stay as they are."""

    model_config = ConfigDict(extra='forbid')

    outage: bool = False
    delay_ms: int = Field(default=0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    lose_prefix: str | None = None
    watch_stall: bool = False


class Faults:
    """Applies the switches to calls."""

    def __init__(self) -> None:
        self.settings = FaultSettings()

    def change(self, document: bytes) -> None:
        """Set the switches that a JSON document names."""
        changes = FaultSettings.model_validate_json(document)
        named = changes.model_dump(exclude_unset=True)
        self.settings = self.settings.model_copy(update=named)

    def strike_call(self) -> None:
        """Delay a call, or drop it during an outage."""
        self.strike_outage()
        if self.settings.delay_ms:
            eventlet.sleep(self.settings.delay_ms / MS_PER_SECOND)
            self.strike_outage()

    def strike_outage(self) -> None:
        """Drop a call during an outage."""
        if self.settings.outage:
            raise DroppedError

    def strike_written(self, name: str) -> None:
        """Drop the answer of a write that took effect, if it is to be lost."""
        settings = self.settings
        if settings.lose_answers and name.startswith(
            settings.lose_prefix or '',
        ):
            settings.lose_answers -= 1
            raise DroppedError
