"""What a test can switch on a running worker."""

from eventlet.event import Event
from pydantic import BaseModel, ConfigDict, Field

DEFAULT_LAG_MS = 500


class SwitchSettings(BaseModel):
    """All switches; those that a request leaves out stay as they are."""

    model_config = ConfigDict(extra='forbid')

    slow_factor: float = Field(default=1, ge=0)
    load_fixed: int | None = None
    load_lag_ms: int = Field(default=DEFAULT_LAG_MS, ge=0)
    health_lag_ms: int = Field(default=0, ge=0)
    frozen: bool = False
    work_ms: int | None = Field(default=None, ge=0)


class Switches:
    """The switches as they stand, and the gate of a frozen worker."""

    def __init__(self) -> None:
        self.settings = SwitchSettings()
        self._thawed = Event()

    def change(self, document: bytes) -> None:
        """Set the switches that a JSON document names."""
        changes = SwitchSettings.model_validate_json(document)
        named = changes.model_dump(exclude_unset=True)
        self.settings = self.settings.model_copy(update=named)
        if not self.settings.frozen:
            thawed = self._thawed
            self._thawed = Event()
            thawed.send()

    def wait_thawed(self) -> None:
        """Wait as long as the worker is frozen."""
        while self.settings.frozen:
            self._thawed.wait()
