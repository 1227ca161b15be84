"""How one kind of installation speaks with what stands around a node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from laburnumwood.routing.caller_interface import (
    CallerInterface,
    NativeCallerInterface,
)
from laburnumwood.routing.worker_interface import (
    NativeWorkerInterface,
    WorkerInterface,
)
from laburnumwood.settings import DaemonSettings
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.upstream.reporting import ReportingWorker

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class Front(Protocol):
    """What a node shows to what stands around it."""

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent to this node."""

    @property
    def worker(self) -> ReportingWorker:
        """Return what is known of the worker by its reports."""


@dataclass(frozen=True, slots=True)
class Listener:
    """An address and the WSGI application that answers there."""

    address: tuple[str, int]
    application: Application


@dataclass(frozen=True, slots=True)
class Borders:
    """The store, callers, worker and further listeners of a node.

    Where requests carry idempotency keys, successors keep a run ledger.
    A worker that reports fetches its grants with its reports; any other is
    sent them.
    """

    make_store: Callable[[DaemonSettings], Store]
    make_face: Callable[[DaemonSettings], CallerInterface]
    make_dialect: Callable[[ReportingWorker], WorkerInterface]
    listeners: Callable[[DaemonSettings, Front], tuple[Listener, ...]]
    worker_reports: bool
    has_idempotency_keys: bool


BORDERS: dict[str, Borders] = {}


def borders(name: str) -> Callable[[Callable[[], Borders]], None]:
    """Register the borders that a function returns under a name."""

    def register(make: Callable[[], Borders]) -> None:
        BORDERS[name] = make()

    return register


def _no_listeners(
    _settings: DaemonSettings, _front: Front
) -> tuple[Listener, ...]:
    return ()


@borders('own')
def _own() -> Borders:
    return Borders(
        make_store=lambda settings: HttpStore(settings.platform_url),
        make_face=lambda _settings: NativeCallerInterface(),
        make_dialect=lambda _worker: NativeWorkerInterface(),
        listeners=_no_listeners,
        worker_reports=False,
        has_idempotency_keys=True,
    )
