"""What a directory of the whole fleet takes: memory, messages, time."""

import json
import sys
import time
from dataclasses import replace
from pathlib import Path

import numpy as np

from bench.bounds import Bounds, show
from bench.slopes import memory_mb
from bench.spreading import TARGET_NODES, record_of
from laburnumwood.leases.seals import SealRegistry
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import (
    RECORD_WATCH_POLICY,
    update_source,
)
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.codec import MAX_FRAME_SIZE, encode
from laburnumwood.protocol.store_messages import Changes
from laburnumwood.records import (
    NodeName,
    NodeRecord,
    SentObject,
    ShardRecord,
    StoredObject,
    WitnessSet,
    WriteMark,
)
from laburnumwood.store.objects import to_value

SIZES = (900, 1_800, 3_650, TARGET_NODES)
SHARDS_PER_NODE = 8
CPU_BOUND = 1.6  # per cent of a core
MEMORY_BOUND = 128  # MB
_LOOKS_A_SECOND = 2  # of each node, whether it is a reader
_SUCCESSION = 3
_WITNESSES = 5


def _name(place: int) -> NodeName:
    return NodeName(f'node-{place}', 1)


def _node(place: int, size: int) -> NodeRecord:
    members = tuple(_name((place + step) % size) for step in range(_WITNESSES))
    return replace(
        record_of(place),
        witness_sets=(WitnessSet(1, members),),
        mark=WriteMark(f'node-{place}', f'{place:032x}'),
    )


def _shard(place: int, size: int) -> ShardRecord:
    names = tuple(_name((place + step) % size) for step in range(_SUCCESSION))
    mark = WriteMark(f'node-{place}', f'{place:032x}')
    return ShardRecord(1, names, mark=mark)


def _stored(
    name: str, record: NodeRecord | ShardRecord, version: int
) -> StoredObject:
    # As it is read from the store: no content shared between objects.
    text = json.dumps(to_value(record))
    return StoredObject(name, json.loads(text), version)


def fill(directory: Directory, size: int) -> None:
    """Let a directory hold a fleet of so many nodes."""
    for place in range(size):
        name = f'nodes/node-{place}'
        directory.apply(_stored(name, _node(place, size), place + 1))
    for number in range(size * SHARDS_PER_NODE):
        record = _shard(number % size, size)
        stored = _stored(f'shards/service/{number}', record, size + number + 1)
        directory.apply(stored)


def _measure(size: int) -> tuple[float, ...]:
    before_mb = memory_mb(Path('/proc/self'))
    directory = Directory()
    started = time.perf_counter()
    fill(directory, size)
    filled_s = time.perf_counter() - started
    held_mb = memory_mb(Path('/proc/self')) - before_mb
    view = FleetView(directory, SealRegistry())
    started = time.perf_counter()
    update_source(_name(0), view, RECORD_WATCH_POLICY)
    look_ms = (time.perf_counter() - started) * 1_000
    objects = directory.objects_newer_than(0, directory.config.generation)
    sent = tuple(
        SentObject(each.name, each.value, each.version) for each in objects
    )
    changes = Changes(sent, 1, whole=True, seals=())
    return held_mb, filled_s, look_ms, len(encode(1, changes)) / 1e6


def main() -> int:
    """Print the figures by size, their slopes, and the bounds."""
    measured = [_measure(size) for size in SIZES]
    names = ('memory MB', 'taking in s', 'reader? ms', 'whole message MB')
    rows = []
    for name, series in zip(names, zip(*measured, strict=True), strict=True):
        (slope, _), spread = np.polyfit(SIZES, series, 1, cov=True)
        error = float(np.sqrt(spread[0][0]))
        figures = [f'{figure:.3g}' for figure in series]
        rows.append((name, *figures, f'{slope:.3g} ± {error:.1g}'))
    sizes = [str(size) for size in SIZES]
    show('a directory by nodes', ('what', *sizes, 'slope a node'), rows)
    bounds, (held_mb, _, look_ms, message_mb) = Bounds(), measured[-1]
    bounds.at_most('memory of the directory, MB', held_mb, MEMORY_BOUND)
    share = look_ms * _LOOKS_A_SECOND / 10
    bounds.at_most('who is a reader, % of a core', share, CPU_BOUND)
    largest_mb = MAX_FRAME_SIZE / 1e6
    bounds.at_most('whole directory in one message, MB', message_mb, largest_mb)
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
