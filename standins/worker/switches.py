"""Settings that a test can change on a running worker."""

from eventlet.event import Event
from pydantic import BaseModel, ConfigDict, Field

DEFAULT_LAG_MS = 500


class SwitchSettings(BaseModel):
    """All switches; those missing from a request remain unchanged."""

    model_config = ConfigDict(extra='forbid')

    slow_factor: float = Field(default=1, ge=0)
    load_fixed: int | None = None
    load_lag_ms: int = Field(default=DEFAULT_LAG_MS, ge=0)
    health_lag_ms: int = Field(default=0, ge=0)
    frozen: bool = False
    work_ms: int | None = Field(default=None, ge=0)


class Switches:
    """The current switches; blocks requests while the worker is frozen."""

    def __init__(self) -> None:
        self.settings = SwitchSettings()
        self._unfrozen = Event()

    def change(self, document: bytes) -> None:
        """Set the switches that are present in a JSON document."""
        changes = SwitchSettings.model_validate_json(document)
        specified = changes.model_dump(exclude_unset=True)
        self.settings = self.settings.model_copy(update=specified)
        if not self.settings.frozen:
            unfrozen = self._unfrozen
            self._unfrozen = Event()
            unfrozen.send()

    def wait_while_frozen(self) -> None:
        """Block while the worker is frozen."""
        while self.settings.frozen:
            self._unfrozen.wait()
