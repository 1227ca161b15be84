"""Registration of the platform's borders."""

from collections.abc import Iterable
from http import HTTPStatus
from random import Random
from typing import Any

from laburnumwood.borders import Borders, Front, Listener, borders
from laburnumwood.listening import split_address
from laburnumwood.platform.callers import PlatformCallerInterface
from laburnumwood.platform.reports import ReportEndpoint
from laburnumwood.platform.store import ObjectStore
from laburnumwood.platform.workers import PlatformWorkerInterface
from laburnumwood.routing.problems import StartResponse, status_line
from laburnumwood.settings import DaemonSettings


class ReadinessEndpoint:
    """A WSGI application for readiness checks.

    It answers 200 if callers may send requests to this node, else 503.
    """

    def __init__(self, front: Front) -> None:
        self._front = front

    def __call__(
        self, _environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        ready = self._front.is_ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(status_line(status), [('Content-Length', '0')])
        return (b'',)


def _listeners(settings: DaemonSettings, front: Front) -> tuple[Listener, ...]:
    applications = (
        (settings.ready_address, ReadinessEndpoint(front)),
        (settings.report_address, ReportEndpoint(settings, front.worker)),
    )
    return tuple(
        Listener(split_address(address), application)
        for address, application in applications
        if address is not None
    )


def register() -> None:
    """Register the platform's borders under the name `platform`."""
    borders('platform')(_make)


def _make() -> Borders:
    return Borders(
        make_store=lambda settings: ObjectStore(settings.platform_url),
        make_face=lambda settings: PlatformCallerInterface(
            settings, Random(settings.node_id)
        ),
        make_dialect=PlatformWorkerInterface,
        listeners=_listeners,
        worker_reports=True,
        has_idempotency_keys=False,
    )
