"""The metrics of a node, recorded with OpenTelemetry.

Every metric is declared in this catalogue; docs/METRICS.md documents them.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


def _make_meter() -> Meter:
    reader = PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False
    )
    return MeterProvider((reader,)).get_meter('laburnumwood')


_METER = _make_meter()


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric: its name, unit and description, and how to record it."""

    name: str
    unit: str
    description: str
    record: Callable[..., None]


CATALOGUE: dict[str, Metric] = {}


def _declare(
    make: Callable[..., Any], method: str, name: str, *texts: str
) -> Metric:
    unit, description = texts
    instrument = make(name, unit=unit, description=description)
    CATALOGUE[name] = Metric(
        name, unit, description, getattr(instrument, method)
    )
    return CATALOGUE[name]


class _Sums:
    """Sums by labels, which OpenTelemetry reads through a callback.

    Adding to a synchronous instrument of OpenTelemetry takes longer than
    encoding a message.
    """

    def __init__(self) -> None:
        self._sums: dict[tuple[tuple[str, Any], ...], float] = {}

    def record(self, amount: float, labels: dict[str, Any]) -> None:
        """Add an amount to the sum for some labels."""
        key = tuple(labels.items())
        self._sums[key] = self._sums.get(key, 0) + amount

    def observe(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the sums; OpenTelemetry calls this to collect them."""
        for key, total in tuple(self._sums.items()):
            yield Observation(total, dict(key))


def _declare_sums(
    make: Callable[..., Any], name: str, unit: str, description: str
) -> Metric:
    sums = _Sums()
    make(name, callbacks=(sums.observe,), unit=unit, description=description)
    CATALOGUE[name] = Metric(name, unit, description, sums.record)
    return CATALOGUE[name]


def _counter(name: str, *texts: str) -> Metric:
    return _declare_sums(_METER.create_observable_counter, name, *texts)


def _up_down(name: str, *texts: str) -> Metric:
    return _declare_sums(_METER.create_observable_up_down_counter, name, *texts)


def _gauge(name: str, *texts: str) -> Metric:
    return _declare(_METER.create_gauge, 'set', name, *texts)


def _histogram(name: str, *texts: str) -> Metric:
    return _declare(_METER.create_histogram, 'record', name, *texts)


REQUESTS = _counter(
    'laburnumwood.requests',
    '1',
    'requests that this door answered, by service and status',
)
PROBLEM_ANSWERS = _counter(
    'laburnumwood.problems',
    '1',
    'requests that this door answered with a problem of its own, by kind',
)
BODIES_EVICTED = _counter(
    'laburnumwood.bodies.evicted',
    '1',
    'requests that had stopped coming and were refused, as memory was short',
)
CONNECTIONS_EVICTED = _counter(
    'laburnumwood.connections.evicted',
    '1',
    'connections of callers that were closed because too many were open',
)
CONFIG_DECISIONS = _counter(
    'laburnumwood.config.decisions',
    '1',
    'requests by the age of the proof, at their decision, that the '
    'configuration was the latest: the least bound in ms, or inf',
)
CONFIG_RENEWALS = _counter(
    'laburnumwood.config.renewals',
    '1',
    'renewals of the proof that the configuration is the latest, by their end',
)
LATENCY = _histogram(
    'laburnumwood.latency',
    'ms',
    'time from a request to the head of its answer at this door, by service',
)
ANSWER_OVERRUN = _histogram(
    'laburnumwood.answer.overrun',
    'ms',
    'time from the deadline of a request to the end of its answer at this '
    'door, of answers that came after it',
)
LOOP_DELAYS = _histogram(
    'laburnumwood.loop.delay',
    'ms',
    'time by which a timer of this process fired late, ten times a second',
)
CALLER_GONE_WITHIN = _histogram(
    'laburnumwood.caller.gone',
    'ms',
    'longest time for which a caller may have been gone when it was noticed',
)
BUSY_SLOTS = _up_down(
    'laburnumwood.slots.busy',
    '1',
    'requests that this gate has let in, by service and capacity owner',
)
IDLE_SLOTS = _gauge(
    'laburnumwood.slots.idle',
    '1',
    'slots that carry nothing when asked, by the capacity owner who pays',
)
WORKER_LIMIT_RATE = _gauge(
    'laburnumwood.worker.limit',
    '1/s',
    'requests a second that the worker accepts; -1: it has named no limit',
)
WORKER_WARMING = _gauge(
    'laburnumwood.worker.warming',
    'ms',
    'time for which the worker is still cold, as last heard; 0: it is warm',
)
LIMITED_REQUESTS = _counter(
    'laburnumwood.worker.limited',
    '1',
    'requests rejected because of a limit on the worker, by service',
)
LEASE_HELD = _gauge(
    'laburnumwood.lease.held', '1', '1 while the lease of this node is held'
)
SHARDS_OWNED = _gauge(
    'laburnumwood.shards.owned', '1', 'shards that this node may serve now'
)
SHARDS_UNSERVED = _gauge(
    'laburnumwood.shards.unserved',
    '1',
    'shards that this node holds and has not served for about a second',
)
GENERATION = _gauge(
    'laburnumwood.config.generation',
    '1',
    'generation of the configuration in force on this node',
)
CONFIG_AGE = _gauge(
    'laburnumwood.config.age',
    'ms',
    'age of the last proof that the store has no later configuration than the '
    'one in force; -1: there is none',
)
EVACUATED_DOMAINS = _gauge(
    'laburnumwood.evacuation.domains',
    '1',
    'failure domains that this node knows to be evacuated',
)
EVACUATION_AGE = _gauge(
    'laburnumwood.evacuation.age',
    'ms',
    'age of the last proof of which failure domains are evacuated; -1: there '
    'is none',
)
SHARDS_TO_EVACUATE = _gauge(
    'laburnumwood.evacuation.shards',
    '1',
    'shards that this node holds though its failure domain is evacuated',
)
EVENTS = _counter(
    'laburnumwood.events',
    '1',
    'events of docs/EVENTS.md by name: shard-taken-over counts takeovers, '
    'shard-moved moves, lease-lost losses of the lease',
)
STORE_CALLS = _counter(
    'laburnumwood.store.calls',
    '1',
    "calls of the platform's store, by method and status (none: no answer)",
)
MESSAGES = _counter(
    'laburnumwood.messages', '1', 'messages for other nodes, by kind'
)
MESSAGE_BYTES = _counter(
    'laburnumwood.message.bytes',
    'By',
    'bytes of messages for other nodes, by kind',
)


def exposition() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
