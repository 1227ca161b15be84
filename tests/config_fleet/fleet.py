"""One run: a fleet under a schedule, and what its doors decided."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import eventlet

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.store.objects import CONFIG_NAME
from standins.journal.entry import JournalEntry
from tests.config_fleet.network import Network
from tests.config_fleet.node import (
    LEFT_MS,
    DoorAnswer,
    SimulatedNode,
    make_settings,
)
from tests.config_fleet.schedule import (
    FIRST_MANIFEST,
    LENGTH_S,
    Choices,
    Manifest,
    Trouble,
    change,
    draw_change_times,
    draw_troubles,
    draw_world,
)
from tests.config_fleet.store import SimulatedStore
from tests.config_fleet.virtual_time import VirtualClock, hub
from tests.soak.caller_requests import CallerRequest
from tests.soak.callers import Call, CallEnd
from tests.soak.configurations import ConfigRecord
from tests.soak.disturbances import Disturbance
from tests.soak.fleet import FIRST_ROUTES, NodeIncarnation
from tests.soak.manifests import ManifestChange, recent_routes

_REJECTED = 503
_START_SPREAD_S = 0.3
_LINK_FILL_S = 0.2  # at most, from one fill of a link to the next
_CLOCK = VirtualClock()


@dataclass(slots=True)
class Decided:
    """A call, and the age of the proof by which a door decided it, in ms.

    `renewal` is how the last renewal of that proof ended.
    """

    call: Call
    age_ms: int
    renewal: str

    @property
    def is_rejected(self) -> bool:
        """Return whether it was handled by no configuration."""
        return self.call.status == _REJECTED and not self.call.stamp


@dataclass(slots=True)
class Observed:
    """What was seen in a run."""

    decided: list[Decided] = field(default_factory=list)
    runs: dict[str, list[JournalEntry]] = field(default_factory=dict)
    changes: list[ManifestChange] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)


class SimulatedFleet:
    """A fleet, its operator, its callers and what troubles it."""

    def __init__(self, seed: int, choices: Choices) -> None:
        self._random = Random(seed)
        # Drawn apart, so that without a strain a seed draws what it drew.
        strain = choices.draw_strain(Random(f'strain {seed}'))
        self.world = draw_world(self._random, choices, strain)
        self.troubles = draw_troubles(self._random)
        self.change_times_s = draw_change_times(self._random, self.troubles)
        self.observed = Observed()
        self._store = SimulatedStore(
            self._random,
            self.world.store_ms,
            strain.reads_per_s * self.world.size,
        )
        self._network = Network(
            self._random, self.world.link_ms, self.world.megabits_per_s
        )
        self._nodes: list[SimulatedNode] = []
        self._manifest = FIRST_MANIFEST
        self._condition: int | None = None
        self._attempts = 0

    def run(self) -> None:
        """Play the schedule."""
        self._write(FIRST_MANIFEST)
        for _ in range(self.world.size):
            self._add_node(self._random.uniform(0, _START_SPREAD_S))
        for at_s in self.change_times_s:
            hub().call_for(None, at_s, self._change)
        for trouble in self.troubles:
            hub().call_for(None, trouble.at_s, self._begin, trouble)
        eventlet.sleep(LENGTH_S)

    def record(self) -> ConfigRecord:
        """Return what the rules of the soak judge."""
        unused: Any = None
        incarnations = [
            NodeIncarnation(
                node.node_id,
                unused,
                0,
                life.started_ms,
                life.stopped_ms,
                life.killed_ms,
                life.ended_ms,
                pauses=life.pauses,
                serving_ms=life.serving_ms or _CLOCK.now_ms(),
            )
            for node in self._nodes
            for life in node.lives
        ]
        return ConfigRecord(
            [each.call for each in self.observed.decided],
            self.observed.runs,
            self.observed.changes,
            incarnations,
            self.observed.disturbances,
        )

    def _write(self, manifest: Manifest) -> None:
        spec = manifest.spec(self.world.more_routes)
        self._condition = self._store.write(
            CONFIG_NAME, read_manifest(spec), self._condition
        )
        self._manifest = manifest
        now_ms = _CLOCK.now_ms()
        self.observed.changes.append(
            ManifestChange(
                manifest.timeout_ms, now_ms, now_ms, dict(manifest.routes)
            )
        )

    def _change(self) -> None:
        self._write(change(self._manifest, self._random))

    def _add_node(self, delay_s: float) -> None:
        number = len(self._nodes)
        domain = f'domain-{number % self.world.domains}'
        node = SimulatedNode(
            make_settings(f'n{number}', domain), self._store, self._network
        )
        self._nodes.append(node)
        hub().call_for(None, delay_s, node.start)
        hub().call_for(None, delay_s, self._ask_again, node)
        if self.world.late_loop_ms:
            hub().call_for(None, delay_s, self._be_busy_again, node)
        if self.world.strain.link_wait_ms:
            hub().call_for(None, delay_s, self._fill_link_again, node)

    def _fill_link_again(self, node: SimulatedNode) -> None:
        wait_ms = self.world.strain.link_wait_ms
        wait_s = self._random.uniform(0, wait_ms) / MS_PER_SECOND
        if node.is_up:
            self._network.fill_link(node.node_id, wait_s)
        pause_s = self._random.uniform(0, _LINK_FILL_S)
        hub().call_for(None, pause_s, self._fill_link_again, node)

    def _be_busy_again(self, node: SimulatedNode) -> None:
        span_s = (
            self._random.uniform(0, self.world.late_loop_ms) / MS_PER_SECOND
        )
        if node.is_up:
            node.be_busy(span_s)
        share = self.world.busy_share
        pause_s = span_s * (1 - share) / share
        hub().call_for(None, span_s + pause_s, self._be_busy_again, node)

    def _ask_again(self, node: SimulatedNode) -> None:
        pause_s = self._random.expovariate(self.world.requests_per_s)
        hub().call_for(None, pause_s, self._ask_again, node)
        if node.is_up:
            self._ask(node)

    def _ask(self, node: SimulatedNode) -> None:
        self._attempts += 1
        attempt_id = f'{self._attempts:x}'
        routes = list(FIRST_ROUTES)
        if self.world.asks_for_all:
            routes = recent_routes(self.observed.changes)
        route = self._random.choice(routes)
        sent_ms = _CLOCK.now_ms()

        def take(answer: DoorAnswer) -> None:
            self._note(node.node_id, attempt_id, route, sent_ms, answer)

        node.ask(attempt_id, f'/{route}/x', take)

    def _note(
        self,
        node_id: str,
        attempt_id: str,
        route: str,
        sent_ms: int,
        answer: DoorAnswer,
    ) -> None:
        unused: Any = None
        request = CallerRequest(
            attempt_id,
            node_id,
            is_relayed=False,
            is_idempotent=True,
            service=route,
            plan=unused,
            deadline_ms=LEFT_MS,
            key=0,
            body=b'',
            route_changes=True,
        )
        call = Call(
            request,
            sent_ms,
            sent_ms,
            _CLOCK.now_ms(),
            CallEnd.answered,
            answer.status,
            stamp=answer.service,
        )
        self.observed.decided.append(
            Decided(call, answer.age_ms, answer.renewal)
        )
        if answer.service:
            self.observed.runs[attempt_id] = [
                _entry(attempt_id, node_id, answer.service, call.done_ms)
            ]

    def _begin(self, trouble: Trouble) -> None:
        up = [node for node in self._nodes if node.is_up]
        count = max(1, round(len(up) * trouble.share))
        struck = self._random.sample(up, min(count, len(up)))
        end = _TROUBLES[trouble.kind](self, trouble, struck)
        now_ms = _CLOCK.now_ms()
        until_ms = now_ms + trouble.for_s * MS_PER_SECOND
        names = frozenset(
            node.node_id for node in struck if 'watches' not in trouble.kind
        )
        self.observed.disturbances.append(
            Disturbance(trouble.kind, names, now_ms, until_ms)
        )
        hub().call_for(None, trouble.for_s, end)


def _entry(
    attempt_id: str, node_id: str, service: str, at_ms: float
) -> JournalEntry:
    return JournalEntry(
        '', 0, node_id, attempt_id, '', service, None, None, 'GET', at_ms
    )


Nodes = list[SimulatedNode]
End = Callable[[], None]
_Begin = Callable[[SimulatedFleet, Trouble, Nodes], End]
_TROUBLES: dict[str, _Begin] = {}


def _nothing() -> None:
    """Do nothing at the end of a trouble that ends by itself."""


def _trouble(kind: str) -> Callable[[_Begin], _Begin]:
    def register(begin: _Begin) -> _Begin:
        _TROUBLES[kind] = begin
        return begin

    return register


@_trouble('the store turns nodes away')
def _turn_away(fleet: SimulatedFleet, trouble: Trouble, struck: Nodes) -> End:
    away = fleet._store.troubles.turned_away
    names = [node.node_id for node in struck]
    away.update(dict.fromkeys(names, trouble.how))

    def end() -> None:
        for name in names:
            away.pop(name, None)

    return end


@_trouble('the store is down')
def _go_down(fleet: SimulatedFleet, trouble: Trouble, _: Nodes) -> End:
    fleet._store.troubles.down = trouble.how

    def end() -> None:
        fleet._store.troubles.down = ''

    return end


@_trouble('the store is slow')
def _be_slow(fleet: SimulatedFleet, _: Trouble, _struck: Nodes) -> End:
    fleet._store.troubles.slow_x = 40

    def end() -> None:
        fleet._store.troubles.slow_x = 1

    return end


@_trouble('the store loses answers')
def _lose_answers(fleet: SimulatedFleet, trouble: Trouble, _: Nodes) -> End:
    fleet._store.troubles.lost_share = 0.4
    fleet._store.troubles.late_s = 5 if trouble.how else 0

    def end() -> None:
        fleet._store.troubles.lost_share = 0

    return end


@_trouble('the store drops its history')
def _drop_history(fleet: SimulatedFleet, trouble: Trouble, _: Nodes) -> End:
    fleet._store.drop_history(trouble.for_s * 2)
    hub().call_for(None, 0.5, fleet._change)
    return _nothing


@_trouble('the watches fall silent')
def _silence(fleet: SimulatedFleet, _: Trouble, _struck: Nodes) -> End:
    fleet._store.silence_watches()
    return _nothing


@_trouble('the watches bring nothing')
def _deafen(fleet: SimulatedFleet, trouble: Trouble, _: Nodes) -> End:
    fleet._store.deafen_watches(trouble.for_s)
    return _nothing


@_trouble('nodes stand still')
def _freeze(_: SimulatedFleet, trouble: Trouble, struck: Nodes) -> End:
    for node in struck:
        node.freeze(trouble.for_s)
    return _nothing


@_trouble('nodes are killed')
def _kill(_: SimulatedFleet, _trouble: Trouble, struck: Nodes) -> End:
    for node in struck:
        node.kill()

    def end() -> None:
        for node in struck:
            if not node.is_up:
                node.start()

    return end


@_trouble('nodes are cut off')
def _cut(fleet: SimulatedFleet, trouble: Trouble, struck: Nodes) -> End:
    struck_ids = {node.node_id for node in struck}
    ids = {node.node_id for node in fleet._nodes}
    pairs = {
        (source, target) for source in struck_ids for target in ids - struck_ids
    }
    if trouble.how != 'one way':
        pairs |= {(target, source) for source, target in pairs}
    fleet._network.cut |= pairs
    end_store = _nothing
    if trouble.how == 'store':
        silent = replace(trouble, how='silent')
        end_store = _turn_away(fleet, silent, struck)

    def end() -> None:
        fleet._network.cut -= pairs
        end_store()

    return end


@_trouble('nodes stop and start')
def _restart(_: SimulatedFleet, trouble: Trouble, struck: Nodes) -> End:
    def await_end(node: SimulatedNode) -> None:
        if node.is_up:
            hub().call_for(None, 0.1, await_end, node)
        else:
            node.start()

    for number, node in enumerate(struck):
        hub().call_for(None, number * trouble.for_s, node.stop)
        hub().call_for(None, number * trouble.for_s, await_end, node)
    return _nothing


@_trouble('nodes leave')
def _leave(_: SimulatedFleet, _trouble: Trouble, struck: Nodes) -> End:
    for node in struck[: len(struck) // 2]:
        node.stop()
    return _nothing


@_trouble('nodes join')
def _join(fleet: SimulatedFleet, trouble: Trouble, struck: Nodes) -> End:
    for number, _ in enumerate(struck):
        fleet._add_node(number * trouble.for_s / 4)
    return _nothing
