"""An ingress for tests."""

from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.membership.configuration.status import ConfigMonitor
from laburnumwood.routing.caller_interface import NativeCallerInterface
from laburnumwood.routing.ingress import (
    ConfigProofs,
    DeclarationsProvider,
    Ingress,
)


class AlwaysCurrent:
    """The configuration in force is the latest."""

    def refresh(self) -> bool:
        """Return that it is known to be."""
        return True

    def ensure_recent(self, _patience_ms: int) -> bool:
        """Return that it is known to be."""
        return True

    def confirm_latest(self, _patience_ms: int) -> bool:
        """Return that it is."""
        return True


def make_ingress(
    router: Any,
    get_declarations: DeclarationsProvider,
    config: ConfigProofs | None = None,
) -> Ingress:
    """Return an ingress that reads the project's own kind of requests."""
    clock = Clock()
    return Ingress(
        router,
        NativeCallerInterface(),
        get_declarations,
        ConfigMonitor(clock).status,
        config or AlwaysCurrent(),
        clock,
    )
