"""What a node tells operators, as JSON over HTTP."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from laburnumwood.leases.lease import Lease
from laburnumwood.membership.view import FleetView
from laburnumwood.placement.holdings import Holdings
from laburnumwood.placement.ownership import acting
from laburnumwood.routing.gate import Gate

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class OperatorApi:
    """A WSGI application that shows what a node knows and does."""

    def __init__(
        self, view: FleetView, lease: Lease, holdings: Holdings, gate: Gate
    ) -> None:
        self._view = view
        self._lease = lease
        self._holdings = holdings
        self._gate = gate
        self._pages: dict[str, Callable[[], Any]] = {
            '/status': self._status,
            '/owners': self._owners,
            '/nodes': self._nodes,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request of an operator."""
        page = self._pages.get(environ['PATH_INFO'])
        content = page() if page else {'error': 'no such page'}
        status = '200 OK' if page else '404 Not Found'
        start_response(status, [('Content-Type', 'application/json')])
        return (json.dumps(content).encode(),)

    def _status(self) -> dict[str, Any]:
        held = sorted(self._holdings.tokens())
        witnesses = self._lease.witnesses.members
        return {
            'node': str(self._lease.holder),
            'holds_lease': self._lease.holds(),
            'witnesses': [str(name) for name in witnesses],
            'generation': self._view.directory.config.generation,
            'shards': [str(shard) for shard in held],
            'running': self._gate.running,
        }

    def _owners(self) -> dict[str, dict[str, str | None]]:
        directory = self._view.directory
        return {
            service: {
                str(number): _text(acting(entry.record, self._view))
                for number, entry in sorted(directory.shards(service).items())
            }
            for service in directory.services()
        }

    def _nodes(self) -> list[dict[str, Any]]:
        return [
            {
                'node': str(name),
                'failure_domain': record.failure_domain,
                'service': record.service,
                'capacity_owner': record.capacity_owner,
                'slots': record.slots,
                'door_port': record.door_port,
                'operator_port': record.operator_port,
            }
            for name, record in sorted(self._view.live())
        ]


def _text(name: object) -> str | None:
    return None if name is None else str(name)
