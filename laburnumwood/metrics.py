"""The metrics of a node, by OpenTelemetry.

Every instrument is declared in this catalogue; docs/METRICS.md explains it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


def _make_meter() -> Meter:
    reader = PrometheusMetricReader(disable_target_info=True)
    return MeterProvider((reader,)).get_meter('laburnumwood')


_METER = _make_meter()


@dataclass(frozen=True, slots=True)
class Metric:
    """A metric: its name, unit and meaning, and how to record it."""

    name: str
    unit: str
    meaning: str
    record: Callable[..., None]


CATALOGUE: dict[str, Metric] = {}


def _declare(
    make: Callable[..., Any], how: str, name: str, *texts: str
) -> Metric:
    unit, meaning = texts
    instrument = make(name, unit=unit, description=meaning)
    CATALOGUE[name] = Metric(name, unit, meaning, getattr(instrument, how))
    return CATALOGUE[name]


def _counter(name: str, *texts: str) -> Metric:
    return _declare(_METER.create_counter, 'add', name, *texts)


def _gauge(name: str, *texts: str) -> Metric:
    return _declare(_METER.create_up_down_counter, 'add', name, *texts)


def _histogram(name: str, *texts: str) -> Metric:
    return _declare(_METER.create_histogram, 'record', name, *texts)


REQUESTS = _counter(
    'laburnumwood.requests',
    '1',
    'requests that this door answered, by service and status',
)
LATENCY = _histogram(
    'laburnumwood.latency',
    'ms',
    'time from a request to the head of its answer at this door, by service',
)
BUSY_SLOTS = _gauge(
    'laburnumwood.slots.busy',
    '1',
    'requests that the worker runs now, by service and capacity owner',
)
LEASE_CHANGES = _counter(
    'laburnumwood.lease.changes',
    '1',
    'times that this node won or lost its lease, by state',
)
TAKEOVERS = _counter(
    'laburnumwood.takeovers', '1', 'shards taken over from lapsed owners'
)
MOVES = _counter('laburnumwood.moves', '1', 'shards handed to other nodes')
STORE_CALLS = _counter(
    'laburnumwood.store.calls',
    '1',
    "calls of the platform's store, by method and outcome",
)
CONTROL_BYTES = _counter(
    'laburnumwood.control.bytes',
    'By',
    'bytes of messages to other nodes, by kind',
)
CONTROL_MESSAGES = _counter(
    'laburnumwood.control.messages',
    '1',
    'messages to other nodes, by kind',
)


def exposition() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
