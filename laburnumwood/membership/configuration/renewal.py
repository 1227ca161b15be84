"""Renewing the proof that the configuration in force is the latest."""

import random
from collections.abc import Callable, Hashable, Iterable

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.configuration.confirmation import (
    MAX_WAIT_MS,
    ConfigConfirmation,
)
from laburnumwood.membership.configuration.status import (
    ConfigMonitor,
    RenewalEnd,
)
from laburnumwood.membership.sent_objects import from_sent
from laburnumwood.membership.view import FleetView
from laburnumwood.notifier import Notifier
from laburnumwood.protocol.peers import Peers
from laburnumwood.protocol.store_messages import ConfigCheck, ConfigState
from laburnumwood.records import NodeName
from laburnumwood.tasks import start

MAX_AGE_MS = 1_000  # of the proof by which a request is handled
ANSWERED_AGE_MS = 500  # up to which a node answers by the proof that it has
RENEWAL_LIMIT_MS = 1_000  # of a renewal, and of a question to a peer
_HEDGE_MS = 150  # after which the next source is asked as well
_OVERDUE_HEDGE_MS = 50  # the same while the proof is overdue
# At least, for which a store is silent that is away, while a proof is overdue.
_LONG_SILENCE_MS = 600
_LOOK_MS = 50  # between two looks at how long the store has been silent
_OTHERS = 3  # nodes that are asked if neither parents nor the store answer
_FANOUT = 32
_STORE = 'the store'
TREES = ('first configuration tree', 'second configuration tree')


def _parent(
    tree: str, own: NodeName, live: Iterable[NodeName]
) -> NodeName | None:
    """Return the parent of a node in a tree, None for the root."""
    order = rendezvous_order(tree, {own, *live})
    place = order.index(own)
    return order[(place - 1) // _FANOUT] if place else None


def parents(own: NodeName, live: Iterable[NodeName]) -> tuple[NodeName, ...]:
    """Return the nodes that a node asks, in order.

    The root of the first tree asks none, but the store.
    """
    names = tuple(live)
    first, second = (_parent(tree, own, names) for tree in TREES)
    if first is None:
        return ()
    found = (first, second)
    return tuple(dict.fromkeys(name for name in found if name is not None))


class ConfigRenewal:
    """Asks one source after the other until one of them proves enough.

    A source that is late is not given up: the next one is asked as well, and
    whoever answers first proves.  The age of a proof travels with it: what a
    peer tells is as old as the proof of the peer, plus the time since it was
    asked.  So a late answer counts for as much as it is worth.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        confirmation: ConfigConfirmation,
        peers: Peers,
        clock: Clock,
        limit_ms: int,
    ) -> None:
        self._own = own
        self._view = view
        self._confirmation = confirmation
        self._peers = peers
        self._clock = clock
        self._limit_ms = limit_ms  # of the age of a proof
        self._under_way: set[Hashable] = set()  # sources that have not answered
        self._progress = Notifier()  # a source has answered or failed
        self._parents: tuple[NodeName, ...] = ()
        self._parents_for: object = None

    @property
    def is_overdue(self) -> bool:
        """Return whether the proof is too old to handle a request by it."""
        return not self._monitor.is_confirmed_within(self._limit_ms)

    @property
    def is_store_away(self) -> bool:
        """Return whether the store has failed, and not only taken its time.

        The longer the proof is overdue, the longer a silence has to be.
        """
        silence_ms = self._confirmation.usual_patience_ms
        if self.is_overdue:
            silence_ms = max(silence_ms, _LONG_SILENCE_MS)
        return self._confirmation.is_away(silence_ms)

    def run(self) -> RenewalEnd:
        """Ask until the proof is young, all have answered or time is over.

        Returns how it ended.
        """
        began_ms = self._clock.now_ms()
        self._ask_all(began_ms + RENEWAL_LIMIT_MS)
        end = self._end()
        self._monitor.record_renewal(end, began_ms)
        return end

    @property
    def _monitor(self) -> ConfigMonitor:
        return self._view.directory.config_monitor

    def _end(self) -> RenewalEnd:
        if self._monitor.is_confirmed_within(MAX_AGE_MS):
            return RenewalEnd.PROVED
        if self.is_store_away:
            return RenewalEnd.STORE_FAILED
        return RenewalEnd.STORE_LATE

    def _ask_all(self, until_ms: int) -> None:
        for name in self._current_parents():
            self._ask_peer(name, renews=True)
            if self._prove({name}, self._hedge_ms):
                return
        self._ask_store()
        if self._prove({_STORE}, self._store_patience_ms):
            return
        others = self._some_others()
        for name in others:
            self._ask_peer(name, renews=False)
        asked = {*self._current_parents(), _STORE, *others}
        if not self._prove(asked, self._hedge_ms):
            left_ms = until_ms - self._clock.now_ms()
            self._prove(asked, left_ms, ends_if_away=True)

    @property
    def _hedge_ms(self) -> int:
        return _OVERDUE_HEDGE_MS if self.is_overdue else _HEDGE_MS

    @property
    def _store_patience_ms(self) -> int:
        if self.is_store_away:
            return 0
        if self.is_overdue:
            return self._hedge_ms
        return self._confirmation.usual_patience_ms

    def _prove(
        self,
        asked: set[Hashable],
        patience_ms: int,
        *,
        ends_if_away: bool = False,
    ) -> bool:
        """Wait while sources are under way; return whether one has proved.

        The wait `ends_if_away` as soon as the store is known to be away.
        """
        until_ms = self._clock.now_ms() + patience_ms
        while not self._monitor.is_confirmed_within(ANSWERED_AGE_MS):
            left_ms = until_ms - self._clock.now_ms()
            is_over = ends_if_away and self.is_store_away
            if left_ms <= 0 or is_over or not asked & self._under_way:
                return False
            self._progress.wait(min(left_ms, _LOOK_MS))
        return True

    def _ask_store(self) -> None:
        self._start(_STORE, self._confirm)

    def _confirm(self) -> None:
        self._confirmation.confirm(MAX_WAIT_MS, ANSWERED_AGE_MS)

    def _ask_peer(self, name: NodeName, *, renews: bool) -> None:
        self._start(name, lambda: self._check(name, renews=renews))

    def _start(self, source: Hashable, ask: Callable[[], None]) -> None:
        """Ask a source in a task of its own, unless it is being asked."""
        if source not in self._under_way:
            self._under_way.add(source)
            start(self._run, source, ask)

    def _run(self, source: Hashable, ask: Callable[[], None]) -> None:
        try:
            ask()
        finally:
            self._under_way.discard(source)
            self._progress.notify_all()

    def _check(self, name: NodeName, *, renews: bool) -> None:
        directory = self._view.directory
        asked_ms = self._clock.now_ms()
        request = ConfigCheck(directory.config.generation, renews)
        try:
            state = self._peers.call(name, request, RENEWAL_LIMIT_MS)
        except LinkError:
            return  # another node, or the store, is asked
        if not isinstance(state, ConfigState):
            return
        if state.config is not None:
            sent = from_sent(state.config, directory.first_era)
            directory.apply(sent, str(name))
        is_known = state.generation <= directory.config.generation
        if is_known and state.age_ms >= 0:
            self._monitor.record_confirmed(str(name), asked_ms - state.age_ms)

    def _some_others(self) -> list[NodeName]:
        """Return nodes to ask for the proof that they have.

        One of them may be asking this node.
        """
        others = [name for name in self._live_names() if name != self._own]
        return random.sample(others, min(_OTHERS, len(others)))

    def _live_names(self) -> list[NodeName]:
        return [name for name, _ in self._view.live_nodes()]

    def _current_parents(self) -> tuple[NodeName, ...]:
        """Return the parents, found anew only after a change of nodes."""
        if self._parents_for != self._view.node_version:
            self._parents = parents(self._own, self._live_names())
            self._parents_for = self._view.node_version
        return self._parents
