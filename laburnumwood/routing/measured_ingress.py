"""Metrics of the ingress."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

import eventlet

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import REQUESTS_SERVED
from laburnumwood.metrics import LATENCY, REQUESTS
from laburnumwood.routing.caller_interface import CallerInterface
from laburnumwood.routing.config_ages import ConfigStatusProvider
from laburnumwood.routing.ingress import (
    ConfigProofs,
    DeclarationsProvider,
    Ingress,
)
from laburnumwood.routing.problems import StartResponse
from laburnumwood.routing.request_parsing import Environ
from laburnumwood.routing.router import Router

_REPORT_INTERVAL_MS = 5_000
_UNDECLARED_SERVICE = '(undeclared)'


class MeasuredIngress:
    """An ingress that measures the number and latency of its answers."""

    def __init__(
        self,
        router: Router,
        caller_interface: CallerInterface,
        get_declarations: DeclarationsProvider,
        get_config_status: ConfigStatusProvider,
        config: ConfigProofs,
        clock: Clock,
    ) -> None:
        self._ingress = Ingress(
            router,
            caller_interface,
            get_declarations,
            get_config_status,
            config,
            clock,
        )
        self._get_declarations = get_declarations
        self._clock = clock
        self._served_counts: Counter[str] = Counter()

    def report_served(self) -> None:
        """Log the number of answers every five seconds; does not return."""
        while True:
            eventlet.sleep(_REPORT_INTERVAL_MS / MS_PER_SECOND)
            counts, self._served_counts = self._served_counts, Counter()
            if counts:
                REQUESTS_SERVED.report(answers=dict(counts))

    def report_load(self) -> None:
        """Log the requests of each second by rank; does not return."""
        while True:
            eventlet.sleep(1)
            self._ingress.counters.report()
            self._ingress.config_ages.report()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request and record its status and latency."""
        service = environ['PATH_INFO'].partition('/')[2].partition('/')[0]
        if service not in self._get_declarations().services:
            service = _UNDECLARED_SERVICE
        started_ms = self._clock.now_ms()

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            labels = {'service': service, 'status': status.split(' ')[0]}
            REQUESTS.record(1, labels)
            self._served_counts[f'{service} {labels["status"]}'] += 1
            elapsed_ms = self._clock.now_ms() - started_ms
            LATENCY.record(elapsed_ms, {'service': service})
            return start_response(status, headers)

        return self._ingress(environ, start)
