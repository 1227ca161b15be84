"""Ways to spread news and to add up sums, by messages and rounds.

Counts over the real choice of witnesses.  The balanced tree is the implicit
one of "Distributed Aggregation Schemes for Scalable Peer-to-Peer and Grid
Computing": no node keeps tree links, each works its parent out of its place.
"""

import math
import sys
from dataclasses import dataclass

from bench.bounds import Bounds, show
from laburnumwood.membership.choice import choose_witnesses
from laburnumwood.records import NodeName, NodeRecord

SIZES = (50, 100, 200, 400, 800)
DOMAINS = 10
TARGET_NODES = 7_300
ROUND_MS = 400  # a renewal of each witness
BOUND_MS = 4_000
_FAN_OUT = 2

Graph = dict[NodeName, tuple[NodeName, ...]]


@dataclass(frozen=True, slots=True)
class Cost:
    """Rounds, messages, and the most messages that one node takes."""

    rounds: int
    messages: int
    busiest: int


def record_of(number: int) -> NodeRecord:
    """Return the record of a node in one of the domains."""
    return NodeRecord(
        incarnation=1,
        open_incarnations=(1,),
        host='127.0.0.1',
        peer_port=1,
        door_port=1,
        operator_port=1,
        failure_domain=f'domain-{number % DOMAINS}',
        service='service',
        capacity_owner='owner',
        slots=1,
        connections=1,
    )


def witness_graph(size: int) -> Graph:
    """Return the witnesses of each node of a fleet."""
    nodes = {
        NodeName(f'n{place}', 1): record_of(place) for place in range(size)
    }
    return {name: choose_witnesses(name, nodes) for name in nodes}


def spread_by_witnesses(graph: Graph) -> Cost:
    """Count how news crosses the graph, which renewals cross both ways.

    A message here is a pull of something new; the renewals go anyway.
    """
    neighbours: dict[NodeName, set[NodeName]] = {name: set() for name in graph}
    for name, witnesses in graph.items():
        for witness in witnesses:
            neighbours[name].add(witness)
            neighbours[witness].add(name)
    knowing = {next(iter(graph))}
    frontier, rounds = set(knowing), 0
    while frontier:
        reached = set().union(*(neighbours[each] for each in frontier))
        frontier = reached - knowing
        knowing |= frontier
        rounds += bool(frontier)
    busiest = max(len(peers) for peers in neighbours.values())
    return Cost(rounds, len(knowing) - 1, busiest)


def add_up_by_tree(size: int) -> Cost:
    """Count one sum over an implicit balanced binary tree."""
    return Cost(int(math.log2(size)), size - 1, _FAN_OUT)


def add_up_by_witnesses(graph: Graph) -> Cost:
    """Count one sum where each node floods its share over the graph."""
    spread = spread_by_witnesses(graph)
    links = sum(len(witnesses) for witnesses in graph.values())
    return Cost(spread.rounds, links * spread.rounds, spread.busiest)


def send_directly(size: int) -> Cost:
    """Count one sum, or one piece of news, of all to or from one node."""
    return Cost(1, size - 1, size - 1)


def _row(how: str, size: int, cost: Cost) -> tuple[object, ...]:
    return how, size, cost.rounds, cost.messages, cost.busiest


def main() -> int:
    """Print counts by size and check the time that news takes."""
    rows, rounds = [], 0
    for size in SIZES:
        graph = witness_graph(size)
        spread = spread_by_witnesses(graph)
        rounds = spread.rounds
        rows.append(_row('news, witness graph', size, spread))
        rows.append(
            _row('sums, witness graph', size, add_up_by_witnesses(graph))
        )
        rows.append(_row('either, balanced tree', size, add_up_by_tree(size)))
        rows.append(_row('either, direct', size, send_directly(size)))
    columns = ('way', 'nodes', 'rounds', 'messages', 'busiest node')
    show('spreading and adding up', columns, rows)
    # Each round multiplies those who know by at least the degree less one.
    further = math.log(TARGET_NODES / SIZES[-1], 4)
    bounds = Bounds()
    bounds.at_most(
        f'news across {TARGET_NODES} nodes (extrapolated), ms',
        (rounds + further) * ROUND_MS,
        BOUND_MS,
    )
    return bounds.status


if __name__ == '__main__':
    sys.exit(main())
