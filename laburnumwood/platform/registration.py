"""Registration of the integration with the users' platform."""

from collections.abc import Iterable
from http import HTTPStatus
from random import Random
from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.integration import (
    Integration,
    Listener,
    NodeStatus,
    integration,
)
from laburnumwood.listening import split_address
from laburnumwood.platform.callers import PlatformCallerInterface
from laburnumwood.platform.reports import ReportEndpoint
from laburnumwood.platform.store import PlatformStore
from laburnumwood.platform.workers import PlatformWorkerInterface
from laburnumwood.routing.problems import StartResponse, status_line
from laburnumwood.settings import DaemonSettings


class ReadinessEndpoint:
    """A WSGI application for readiness checks.

    It answers 200 if callers may send requests to this node, else 503.
    """

    def __init__(self, node: NodeStatus) -> None:
        self._node = node

    def __call__(
        self, _environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        ready = self._node.is_ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(status_line(status), [('Content-Length', '0')])
        return (b'',)


def _listeners(
    settings: DaemonSettings, node: NodeStatus
) -> tuple[Listener, ...]:
    applications = (
        (settings.ready_address, ReadinessEndpoint(node)),
        (
            settings.report_address,
            ReportEndpoint(settings, node.worker, Clock()),
        ),
    )
    return tuple(
        Listener(split_address(address), application)
        for address, application in applications
        if address is not None
    )


def register() -> None:
    """Register the platform's integration under the name `platform`."""
    integration('platform')(_make_integration)


def _make_integration() -> Integration:
    return Integration(
        make_store=lambda settings: PlatformStore(settings.platform_url),
        make_caller_interface=lambda settings: PlatformCallerInterface(
            settings, Random(settings.node_id)
        ),
        make_worker_interface=PlatformWorkerInterface,
        listeners=_listeners,
        worker_reports=True,
        has_idempotency_keys=False,
    )
