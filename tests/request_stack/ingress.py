"""An ingress for tests."""

from collections.abc import Callable
from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.membership.configuration.confirmation import ConfigConfirmer
from laburnumwood.membership.configuration.status import ConfigMonitor
from laburnumwood.routing.caller_interface import NativeCallerInterface
from laburnumwood.routing.ingress import DeclarationsProvider, Ingress


def always_current(_patience_ms: int) -> bool:
    """Return that the configuration in force is the latest."""
    return True


def do_nothing() -> None:
    """Leave the proof that the configuration is the latest as it is."""


def make_ingress(
    router: Any,
    get_declarations: DeclarationsProvider,
    confirm_config: ConfigConfirmer = always_current,
    refresh_config: Callable[[], None] = do_nothing,
) -> Ingress:
    """Return an ingress that reads the project's own kind of requests."""
    clock = Clock()
    return Ingress(
        router,
        NativeCallerInterface(),
        get_declarations,
        ConfigMonitor(clock).status,
        confirm_config,
        refresh_config,
        clock,
    )
