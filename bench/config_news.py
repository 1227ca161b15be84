"""How long a configuration takes to reach every node, simulated.

The real choices of readers, witnesses and targets of news, without sockets:
each message waits for the loop of the node that takes it, renewals and calls
get lost, and the store rejects some nodes.
"""

import sys
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from bench.bounds import Bounds, show
from bench.spreading import record_of
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.choice import choose_witnesses
from laburnumwood.membership.configuration.news import news_targets
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import (
    CONFIG_WATCH_POLICY,
    UpdateSource,
    update_source,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.records import NodeName, StoredObject
from laburnumwood.store.objects import node_object_name, to_value

BOUND_MS = 1_000  # half of the shortest time that is allowed
SEEDS = 25
SIZES = (80, 195)
_DOMAIN_SIZE = 20  # nodes
_STORE_MS = 20
_RENEW_MS = 700
_PULL_TIMEOUT_MS = 1_000
_STALE_PAUSE_MS = 1_000
_MAX_AGE_MS = 3_000  # of a stale answer
_RENEWALS = 6  # of each node to each witness, that are played


@dataclass(frozen=True, slots=True)
class Load:
    """What holds news up: times in ms, and shares of nodes and calls."""

    name: str
    max_loop_ms: int
    lost_share: float
    rejected_share: float


LOADS = (
    Load('idle', 5, 0, 0),
    Load('store rejects a third', 5, 0, 1 / 3),
    Load('at its limit', 200, 0.3, 1 / 3),
)


def _stored_record(place: int, size: int) -> StoredObject:
    domain = f'domain-{place % (size // _DOMAIN_SIZE)}'
    record = replace(record_of(place), failure_domain=domain)
    name = node_object_name(f'n{place}')
    return StoredObject(name, to_value(record), place + 1)


class Fleet:
    """The choices that the nodes of a fleet make, which no run changes."""

    def __init__(self, size: int) -> None:
        self.view = FleetView(Directory(), SealRegistry())
        for place in range(size):
            self.view.directory.apply(_stored_record(place, size))
        nodes = dict(self.view.live_nodes())
        self.names = tuple(nodes)
        self.sources = {
            name: update_source(name, self.view, CONFIG_WATCH_POLICY)
            for name in nodes
        }
        self.witnesses = {name: choose_witnesses(name, nodes) for name in nodes}
        self.targets = {name: news_targets(name, nodes) for name in nodes}
        self.holders: dict[NodeName, list[NodeName]] = {
            name: [] for name in nodes
        }
        for holder, witnesses in self.witnesses.items():
            for witness in witnesses:
                self.holders[witness].append(holder)


@dataclass(slots=True)
class Run:
    """One configuration on its way through a fleet."""

    fleet: Fleet
    load: Load
    random: Random
    is_passed_on: bool
    known_at_ms: dict[NodeName, float] = field(default_factory=dict)
    _arrivals: list[tuple[float, NodeName]] = field(default_factory=list)

    def slowest_ms(self) -> float:
        """Return when the last node has the configuration."""
        for reader, source in self.fleet.sources.items():
            self._read(reader, source)
        while len(self.known_at_ms) < len(self.fleet.names):
            at_ms, name = heappop(self._arrivals)
            if name not in self.known_at_ms:
                self.known_at_ms[name] = at_ms
                self._tell(name, at_ms)
        return max(self.known_at_ms.values())

    def _read(self, name: NodeName, source: UpdateSource) -> None:
        is_rejected = self.random.random() < self.load.rejected_share
        if is_rejected or source is UpdateSource.PEERS:
            return
        read_ms = _STORE_MS + self._loop_ms()
        if source is UpdateSource.STALE_STORE:
            read_ms += self.random.uniform(0, _STALE_PAUSE_MS)
            read_ms += self.random.uniform(0, _MAX_AGE_MS)
        self._arrive(read_ms, name)

    def _tell(self, name: NodeName, at_ms: float) -> None:
        if self.is_passed_on:
            for target in sorted(self.fleet.targets[name]):
                self._pull(at_ms + self._loop_ms(), target)
        for witness in self.fleet.witnesses[name]:
            # A renewal that is on its way is waited for.
            waits = self.random.random() < self.load.lost_share
            first_ms = at_ms + waits * self.random.uniform(0, _RENEW_MS)
            for nth in range(_RENEWALS):
                sent_ms = first_ms + nth * _RENEW_MS
                self._pull(sent_ms + self._loop_ms(), witness)
        for holder in self.fleet.holders[name]:
            first_ms = at_ms + self.random.uniform(0, _RENEW_MS)
            for nth in range(_RENEWALS):
                self._answer(first_ms + nth * _RENEW_MS, holder)

    def _answer(self, sent_ms: float, holder: NodeName) -> None:
        elapsed_ms = self._loop_ms() + self._loop_ms()
        if elapsed_ms < _RENEW_MS:
            self._pull(sent_ms + elapsed_ms, holder)

    def _pull(self, told_ms: float, name: NodeName) -> None:
        """Let a node pull after a message, if neither is lost."""
        is_lost = any(
            self.random.random() < self.load.lost_share for _ in range(2)
        )
        elapsed_ms = self._loop_ms() + self._loop_ms()
        if not is_lost and elapsed_ms < _PULL_TIMEOUT_MS:
            self._arrive(told_ms + elapsed_ms, name)

    def _loop_ms(self) -> float:
        return self.random.uniform(0, self.load.max_loop_ms)

    def _arrive(self, at_ms: float, name: NodeName) -> None:
        heappush(self._arrivals, (at_ms, name))


def slowest_times_ms(
    fleet: Fleet, load: Load, *, is_passed_on: bool, seeds: int = SEEDS
) -> list[float]:
    """Return the time of the slowest node in each of some runs, sorted."""
    runs = (
        Run(fleet, load, Random(seed), is_passed_on) for seed in range(seeds)
    )
    return sorted(run.slowest_ms() for run in runs)


def main() -> int:
    """Print times by size and load and check them."""
    rows, bounds = [], Bounds()
    for size in SIZES:
        fleet = Fleet(size)
        for load in LOADS:
            without = slowest_times_ms(fleet, load, is_passed_on=False)
            times = slowest_times_ms(fleet, load, is_passed_on=True)
            middle = len(times) // 2
            shown = (without[middle], without[-1], times[middle], times[-1])
            rows.append((size, load.name, *map(round, shown)))
            what = f'{size} nodes, {load.name}: slowest, ms'
            bounds.at_most(what, times[-1], BOUND_MS)
    columns = (
        'nodes',
        'load',
        'not passed on: median',
        'slowest',
        'passed on: median',
        'slowest',
    )
    show('a configuration in force on all nodes, ms', columns, rows)
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
