"""What a seed draws: a fleet, its load, changes and troubles."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random

from tests.soak.fleet import (
    ADDED_PREFIX,
    FIRST_ROUTES,
    MOVED_ROUTE,
    SHARDED_SERVICE,
    SPLIT_ROUTE,
    UNSHARDED_SERVICE,
)
from tests.soak.manifests import RouteServices

HOST_NAME = 'fleet.example'  # to which callers send their requests
LENGTH_S = 26
SETTLE_S = 5  # before the first trouble
_LAST_TROUBLE_S = 21
_SIZES = (3, 3, 4, 5, 6, 8, 10, 10, 16, 30, 80)
_LATE_LOOPS_MS = (0, 5, 20, 100, 200, 350, 500)
_SERVICES = (SHARDED_SERVICE, UNSHARDED_SERVICE)


@dataclass(frozen=True, slots=True)
class Strain:
    """What its own load does to a fleet, beyond the turns of its loops.

    Other messages fill a node's link, so that one that leaves now waits for up
    to `link_wait_ms`.  The store answers `reads_per_s` reads of each node, on
    average over all nodes, and turns away what goes beyond; 0: it answers all.
    """

    link_wait_ms: int = 0
    reads_per_s: float = 0


@dataclass(frozen=True, slots=True)
class World:
    """A fleet and how well its processes, links and store work.

    Whoever asks for a route that a door does not know makes it ask the store;
    without `asks_for_all` only routes that are always there are asked for.

    `late_loop_ms` is for how long a loop may take no turn, `busy_share` the
    share of the time for which it does not.
    """

    size: int
    domains: int
    store_ms: float
    link_ms: float
    megabits_per_s: float
    late_loop_ms: int
    busy_share: float
    requests_per_s: float
    more_routes: int
    asks_for_all: bool
    strain: Strain


@dataclass(frozen=True, slots=True)
class Choices:
    """Of what a seed draws a fleet and its load."""

    sizes: tuple[int, ...] = _SIZES
    late_loops_ms: tuple[int, ...] = _LATE_LOOPS_MS
    link_waits_ms: tuple[int, ...] = (0,)
    reads_per_s: tuple[float, ...] = (0,)

    def draw_strain(self, random: Random) -> Strain:
        """Return a strain."""
        return Strain(
            random.choice(self.link_waits_ms), random.choice(self.reads_per_s)
        )


def draw_world(random: Random, choices: Choices, strain: Strain) -> World:
    """Return a world."""
    return World(
        size=random.choice(choices.sizes),
        domains=random.randint(1, 4),
        store_ms=random.choice((4, 10, 30, 60)),
        link_ms=random.choice((0.4, 1, 5)),
        megabits_per_s=random.choice((1_000, 100, 11)),
        late_loop_ms=random.choice(choices.late_loops_ms),
        busy_share=random.choice((0.1, 0.4, 0.7)),
        requests_per_s=random.choice((1, 4, 10)),
        more_routes=random.choice((0, 0, 30, 400)),
        asks_for_all=random.choice((True, False)),
        strain=strain,
    )


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that happens at a time, to a share of the nodes."""

    kind: str
    at_s: float
    for_s: float
    share: float
    how: str = ''

    def __str__(self) -> str:
        """Return what happens in one line."""
        return (
            f'{self.at_s:.2f} s for {self.for_s:.2f} s: {self.kind} '
            f'{self.how} {self.share:.2f}'
        )


# Kinds of troubles and their variants.
KINDS: dict[str, tuple[str, ...]] = {
    'the store turns nodes away': ('busy', 'many', 'reset', 'silent'),
    'the store is down': ('busy', 'reset', 'silent'),
    'the store is slow': ('',),
    'the store loses answers': ('', 'late'),
    'the store drops its history': ('',),
    'the watches fall silent': ('',),
    'the watches bring nothing': ('',),
    'nodes stand still': ('',),
    'nodes are killed': ('',),
    'nodes are cut off': ('', 'store', 'one way'),
    'nodes stop and start': ('',),
    'nodes leave': ('',),
    'nodes join': ('',),
}
_NO_NEWS = 'the watches bring nothing'  # drawn more often than others
_SPANS_S = (0.1, 0.5, 1, 2, 4, 6)


def draw_troubles(random: Random) -> list[Trouble]:
    """Return the troubles of a run, in the order of their times."""
    drawn = []
    for _ in range(random.randint(0, 8)):
        kind = random.choice((*KINDS, _NO_NEWS))
        drawn.append(
            Trouble(
                kind,
                random.uniform(SETTLE_S, _LAST_TROUBLE_S),
                random.choice(_SPANS_S),
                random.choice((0.1, 0.35, 0.6, 1)),
                random.choice(KINDS[kind]),
            )
        )
    return sorted(drawn, key=lambda trouble: trouble.at_s)


def draw_change_times(random: Random, troubles: list[Trouble]) -> list[float]:
    """Return when the operator changes the configuration.

    Some changes come in a storm, others as a trouble begins or ends.
    """
    times = [
        random.uniform(SETTLE_S, LENGTH_S - 3)
        for _ in range(random.randint(1, 6))
    ]
    if random.randrange(10) < 3:
        start_s, gap_s = random.uniform(6, 18), random.choice((0.1, 0.3, 0.6))
        times += [start_s + gap_s * number for number in range(12)]
    for trouble in troubles:
        if random.randrange(2):
            times.append(trouble.at_s + random.uniform(-0.1, trouble.for_s))
        if random.randrange(2):
            times.append(trouble.at_s + trouble.for_s + random.uniform(0, 0.1))
    return sorted(each for each in times if each < LENGTH_S - 2)


@dataclass(frozen=True, slots=True)
class Manifest:
    """A manifest of the operator: its routes and their timeout."""

    version: int
    routes: RouteServices
    timeout_ms: int

    def spec(self, more_routes: int) -> dict[str, object]:
        """Return it as the operator writes it, with routes nobody uses."""
        unused = {
            f'unused-{number}': {UNSHARDED_SERVICE: 1}
            for number in range(more_routes)
        }
        return {
            'version': self.version,
            'services': [{'name': name} for name in _SERVICES],
            'routes': [
                self._route(name, weights)
                for name, weights in {**unused, **self.routes}.items()
            ],
        }

    def _route(self, name: str, weights: object) -> dict[str, object]:
        assert isinstance(weights, dict), weights
        parts = [
            {'service': service, 'weight': weight}
            for service, weight in weights.items()
        ]
        return {
            'name': name,
            'host': HOST_NAME,
            'path_prefix': f'/{name}/',
            'type': 'safe',
            'timeout_ms': self.timeout_ms,
            'objective_ms': self.timeout_ms / 2,
            'weighted_services': parts,
        }


FIRST_MANIFEST = Manifest(7, FIRST_ROUTES, 1_000)


def change(manifest: Manifest, random: Random) -> Manifest:
    """Return a manifest that follows another one."""
    routes = dict(manifest.routes)
    _CHANGES[random.choice(list(_CHANGES))](routes, random)
    return replace(
        manifest,
        version=manifest.version + random.choice((1, 1, 3, 20)),
        routes=routes,
        timeout_ms=random.choice((500, 1_000, 2_000)),
    )


Routes = dict[str, Mapping[str, int]]


def _move(routes: Routes, random: Random) -> None:
    routes[MOVED_ROUTE] = {random.choice(_SERVICES): 1}


def _split(routes: Routes, random: Random) -> None:
    routes[SPLIT_ROUTE] = {
        service: random.choice((1, 3, 9)) for service in _SERVICES
    }


def _add(routes: Routes, random: Random) -> None:
    number = random.randrange(100)
    routes[f'{ADDED_PREFIX}{number}'] = {random.choice(_SERVICES): 1}


def _drop(routes: Routes, random: Random) -> None:
    added = [name for name in routes if name.startswith(ADDED_PREFIX)]
    if added:
        routes.pop(random.choice(added))


_CHANGES: dict[str, Callable[[Routes, Random], None]] = {
    'a route moves': _move,
    'the weights of a route change': _split,
    'a route is added': _add,
    'a route is dropped': _drop,
}
