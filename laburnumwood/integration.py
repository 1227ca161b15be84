"""How one kind of installation speaks with what stands around a node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from laburnumwood.routing.caller_interface import Face, OwnFace
from laburnumwood.routing.worker_interface import Dialect, OwnDialect
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.upstream.reporting_worker import ReportingWorker

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class NodeStatus(Protocol):
    """What a node shows to what stands around it."""

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this node."""

    @property
    def worker(self) -> ReportingWorker:
        """Return what is known of the worker by its reports."""


@dataclass(frozen=True, slots=True)
class WsgiEndpoint:
    """An address and the WSGI application that answers there."""

    address: tuple[str, int]
    application: Application


@dataclass(frozen=True, slots=True)
class Integration:
    """The store, callers, worker and further listeners of a node.

    Where requests carry idempotency keys, successors keep a run ledger.
    A worker that reports fetches its grants with its reports; any other is
    sent them.
    """

    make_store: Callable[[DaemonSettings], Store]
    make_caller_interface: Callable[[DaemonSettings], Face]
    make_worker_interface: Callable[[ReportingWorker], Dialect]
    listeners: Callable[[DaemonSettings, NodeStatus], tuple[WsgiEndpoint, ...]]
    worker_reports: bool
    has_idempotency_keys: bool


INTEGRATIONS: dict[str, Integration] = {}


def register_integration(
    name: str,
) -> Callable[[Callable[[], Integration]], None]:
    """Register the borders that a function returns under a name."""

    def register(make: Callable[[], Integration]) -> None:
        INTEGRATIONS[name] = make()

    return register


def _no_listeners(
    _settings: DaemonSettings, _node: NodeStatus
) -> tuple[WsgiEndpoint, ...]:
    return ()


@register_integration('own')
def _own() -> Integration:
    return Integration(
        make_store=lambda settings: HttpStore(settings.platform_url),
        make_caller_interface=lambda _settings: OwnFace(),
        make_worker_interface=lambda _worker: OwnDialect(),
        listeners=_no_listeners,
        worker_reports=False,
        has_idempotency_keys=True,
    )
