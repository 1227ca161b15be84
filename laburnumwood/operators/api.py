"""The pages of a node for operators."""

from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from laburnumwood.leases.lease import Lease
from laburnumwood.membership.view import FleetView
from laburnumwood.metrics import (
    CONFIG_AGE,
    EVACUATED_DOMAINS,
    EVACUATION_AGE,
    GENERATION,
    IDLE_SLOTS,
    LEASE_HELD,
    SHARDS_OWNED,
    SHARDS_TO_EVACUATE,
    SHARDS_UNSERVED,
    exposition,
)
from laburnumwood.operators.capacity import CapacityAccount
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.ownership import acting_owner
from laburnumwood.placement.sharding import initial_shard
from laburnumwood.placement.unserved_shards import UnservedShards
from laburnumwood.records import ShardRecord
from laburnumwood.routing.gate import AdmissionGate

Query = dict[str, str]
Page = Callable[['OperatorApi', Query], Any]
_PAGES: dict[str, Page] = {}
_DEFAULT_WINDOW_MS = 60_000


def _register_page(path: str) -> Callable[[Page], Page]:
    def register(render: Page) -> Page:
        _PAGES[path] = render
        return render

    return register


class OperatorApi:
    """The pages and metrics of one incarnation of a node."""

    def __init__(
        self,
        view: FleetView,
        lease: Lease,
        held_shards: HeldShards,
        unserved: UnservedShards,
        gate: AdmissionGate,
        account: CapacityAccount,
    ) -> None:
        self._view = view
        self._lease = lease
        self._held_shards = held_shards
        self._unserved = unserved
        self._gate = gate
        self._account = account

    @property
    def paths(self) -> tuple[str, ...]:
        """Return the paths of all pages, sorted."""
        return tuple(sorted(_PAGES))

    def page(self, path: str, query: str) -> Any:
        """Return the content of a page, which can be encoded as JSON.

        Raises `LookupError` if the page does not exist or its query is not
        valid.
        """
        if path not in _PAGES:
            raise LookupError('no such page')
        first_values = {
            name: values[0] for name, values in parse_qs(query).items()
        }
        return _PAGES[path](self, first_values)

    def metrics(self) -> bytes:
        """Update the gauges and return all metrics in the text format."""
        record = self._view.directory.node(self._lease.holder)
        owner = record.capacity_owner if record else ''
        IDLE_SLOTS.record(self._account.idle_slots, {'owner': owner})
        LEASE_HELD.record(int(self._lease.is_held()))
        SHARDS_OWNED.record(len(self._held_shards.tokens()))
        SHARDS_UNSERVED.record(len(self._unserved.overdue()))
        directory = self._view.directory
        GENERATION.record(directory.config.generation)
        CONFIG_AGE.record(directory.config_monitor.confirmed_age_ms)
        self._record_evacuations()
        return exposition()

    def _record_evacuations(self) -> None:
        evacuations = self._view.evacuations
        EVACUATED_DOMAINS.record(len(evacuations.domains))
        EVACUATION_AGE.record(evacuations.confirmed_age_ms)
        own = self._view.directory.node(self._lease.holder)
        is_evacuated = own is not None and evacuations.is_evacuated(
            own.failure_domain
        )
        held = len(self._held_shards.tokens())
        SHARDS_TO_EVACUATE.record(held if is_evacuated else 0)

    @_register_page('/status')
    def _status(self, _query: Query) -> dict[str, Any]:
        held = sorted(self._held_shards.tokens())
        witnesses = self._lease.witnesses.members
        return {
            'node': str(self._lease.holder),
            'holds_lease': self._lease.is_held(),
            'witnesses': [str(name) for name in witnesses],
            'generation': self._view.directory.config.generation,
            'shards': [str(shard) for shard in held],
            'running': self._gate.running,
            'waiting': self._gate.waiting,
            'unserved': [
                {
                    'shard': str(each.shard),
                    'cause': each.cause,
                    'for_ms': each.for_ms,
                }
                for each in self._unserved.overdue()
            ],
        }

    @_register_page('/generation')
    def _generation(self, _query: Query) -> dict[str, Any]:
        return {
            'node': str(self._lease.holder),
            'generation': self._view.directory.config.generation,
        }

    @_register_page('/evacuations')
    def _evacuations(self, _query: Query) -> dict[str, Any]:
        """Return the evacuated domains, and how many shards are left there."""
        evacuations = self._view.evacuations
        left = self._shards_by_domain() if evacuations.domains else Counter()
        return {
            'proof_age_ms': evacuations.confirmed_age_ms,
            'domains': {
                domain: {
                    'known_for_ms': evacuations.known_for_ms(domain),
                    'shards': left[domain],
                }
                for domain in sorted(evacuations.domains)
            },
        }

    def _shards_by_domain(self) -> Counter[str]:
        directory = self._view.directory
        owners = (
            acting_owner(entry.record, self._view)
            for service in directory.services()
            for entry in directory.shards(service).values()
        )
        records = (directory.node(name) for name in owners if name is not None)
        return Counter(
            record.failure_domain for record in records if record is not None
        )

    @_register_page('/owners')
    def _owners(self, _query: Query) -> dict[str, dict[str, str | None]]:
        directory = self._view.directory
        return {
            service: {
                str(number): self._owner(entry.record)
                for number, entry in sorted(directory.shards(service).items())
            }
            for service in directory.services()
        }

    @_register_page('/owner')
    def _owner_of_key(self, query: Query) -> dict[str, Any]:
        """Return the owner of the key `key` of `service` in the query."""
        name, key = query.get('service', ''), query.get('key', '')
        service = self._view.directory.declarations.services.get(name)
        if service is None or service.key is None:
            raise LookupError(f'{name!r} is no service divided by key')
        try:
            number = initial_shard(key, service)
        except ValueError as invalid:
            raise LookupError(str(invalid)) from invalid
        entry = self._view.directory.shards(name).get(number)
        owner = self._owner(entry.record) if entry else None
        return {'service': name, 'key': key, 'shard': number, 'owner': owner}

    @_register_page('/nodes')
    def _nodes(self, _query: Query) -> list[dict[str, Any]]:
        return [
            {
                'node': str(name),
                'failure_domain': record.failure_domain,
                'service': record.service,
                'capacity_owner': record.capacity_owner,
                'slots': record.slots,
                'host': record.host,
                'door_port': record.door_port,
                'operator_port': record.operator_port,
            }
            for name, record in sorted(self._view.live_nodes())
        ]

    @_register_page('/idle')
    def _idle(self, query: Query) -> dict[str, Any]:
        window = query.get('window_ms', str(_DEFAULT_WINDOW_MS))
        if not window.isdecimal():
            raise LookupError(f'window_ms {window!r} is no number')
        usage = self._account.usage(int(window))
        record = self._view.directory.node(self._lease.holder)
        return {
            'node': str(self._lease.holder),
            'capacity_owner': record.capacity_owner if record else '',
            'failure_domain': record.failure_domain if record else '',
            'service': record.service if record else '',
            'window_ms': usage.window_ms,
            'slots': usage.slots,
            'idle': usage.idle,
            'used': [
                {
                    'service': consumer.service,
                    'owner': consumer.owner,
                    'slot_ms': slot_ms,
                }
                for consumer, slot_ms in usage.used.items()
            ],
        }

    def _owner(self, record: ShardRecord) -> str | None:
        name = acting_owner(record, self._view)
        return None if name is None else str(name)
