"""Integrations: how a node connects to its store, callers and worker.

The `borders` setting selects one of the registered integrations by name.
"""

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
from laburnumwood.upstream.reporting_worker import ReportingWorker

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]


class NodeStatus(Protocol):
    """The state of a node that the listeners of an integration report."""

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be sent to this node."""

    @property
    def worker(self) -> ReportingWorker:
        """Return the worker as known from its reports."""


@dataclass(frozen=True, slots=True)
class Listener:
    """An address and the WSGI application that serves it."""

    address: tuple[str, int]
    application: Application


@dataclass(frozen=True, slots=True)
class Integration:
    """Factories for the interfaces of a node to its environment.

    `listeners` returns the listeners that the node has in addition to
    its own.  `worker_reports`: the worker sends reports and receives its
    grants in the answers; any other worker is sent its grants.
    `has_idempotency_keys`: requests carry idempotency keys, so an owner
    replicates its run ledger to its successors.
    """

    make_store: Callable[[DaemonSettings], Store]
    make_caller_interface: Callable[[DaemonSettings], CallerInterface]
    make_worker_interface: Callable[[ReportingWorker], WorkerInterface]
    listeners: Callable[[DaemonSettings, NodeStatus], tuple[Listener, ...]]
    worker_reports: bool
    has_idempotency_keys: bool


INTEGRATIONS: dict[str, Integration] = {}


def integration(
    name: str,
) -> Callable[[Callable[[], Integration]], None]:
    """Register, under a name, the integration that a function returns."""

    def register(make: Callable[[], Integration]) -> None:
        INTEGRATIONS[name] = make()

    return register


def _no_listeners(
    _settings: DaemonSettings, _node: NodeStatus
) -> tuple[Listener, ...]:
    return ()


@integration('own')
def _own() -> Integration:
    return Integration(
        make_store=lambda settings: HttpStore(settings.platform_url),
        make_caller_interface=lambda _settings: NativeCallerInterface(),
        make_worker_interface=lambda _worker: NativeWorkerInterface(),
        listeners=_no_listeners,
        worker_reports=False,
        has_idempotency_keys=True,
    )
