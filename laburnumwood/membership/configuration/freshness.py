"""Keeping the proof recent that a node's configuration is the latest.

The nodes of a fleet form a tree in which each asks its parent, and the root
asks the store.  While its parent is away or proves nothing, a node asks another
one, in a second tree, then the store, and then some of the others.
"""

import random
from collections.abc import Iterable

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError
from laburnumwood.membership.choice import rendezvous_order
from laburnumwood.membership.configuration.confirmation import (
    ConfigConfirmation,
)
from laburnumwood.membership.configuration.recent_failure import RecentFailure
from laburnumwood.membership.configuration.status import RenewalEnd
from laburnumwood.membership.sent_objects import from_sent, to_sent
from laburnumwood.membership.shared_call import SharedCall
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.store_messages import ConfigCheck, ConfigState
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, SentObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME

MAX_AGE_MS = 1_000  # of the proof by which a request is handled
REFRESH_AGE_MS = 700  # from which a request has it renewed
_ANSWERED_AGE_MS = 500  # up to which a node answers by the proof that it has
_INTERVAL_MS = 250  # at least, from the start of a renewal to the next
_PEER_TIMEOUT_MS = 150
_OTHERS = 3  # nodes that are asked if neither parents nor the store answer
# Of a request, for a renewal: as long as it may take while anybody answers.
_REQUEST_WAIT_MS = 1_000
_CHILD_WAIT_MS = 100  # of a child in the tree, for a renewal
_FANOUT = 32
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


class ConfigFreshness:
    """Renews the proof when requests or children in the tree need it.

    The age of a proof travels with it: what a peer tells is as old as the
    proof of the peer, plus the time since it was asked.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        store: Store,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._confirmation = ConfigConfirmation(store, view.directory, clock)
        self._peers = peers
        self._clock = clock
        self._renewal = SharedCall(self._renew, _INTERVAL_MS, clock)
        self._store_failure = RecentFailure(clock)
        self._renewal_failure = RecentFailure(clock)  # nobody proved anything
        self._parents: tuple[NodeName, ...] = ()
        self._parents_for: object = None
        dispatcher.on(ConfigCheck)(self._serve)

    def ensure_recent(self) -> None:
        """Have the proof renewed before it is older than `MAX_AGE_MS`.

        Waits for a renewal if it is, since the one that is asked first may be
        gone or late.  Requests do not wait while nobody has been able to prove
        anything for the last second: what is known holds then.
        """
        self._ensure(REFRESH_AGE_MS, MAX_AGE_MS, _REQUEST_WAIT_MS)

    def confirm_latest(self, patience_ms: int) -> bool:
        """Return whether the store has just confirmed the configuration.

        Waits up to `patience_ms` for it.
        """
        return self._confirmation.confirm(patience_ms)

    def _ensure(
        self, renewed_age_ms: int, max_age_ms: int, wait_ms: int
    ) -> None:
        if not self._is_recent(renewed_age_ms):
            self._renewal.ensure_started()
        if not self._is_recent(max_age_ms) and not self._renewal_failure:
            self._renewal.wait(wait_ms)

    def _is_recent(self, max_age_ms: int) -> bool:
        age_ms = self._view.directory.config_monitor.confirmed_age_ms
        return 0 <= age_ms <= max_age_ms

    def _renew(self) -> None:
        began_ms = self._clock.now_ms()
        is_confirmed = (
            self._ask_any(self._current_parents())
            or self._ask_store()
            or self._ask_any(self._some_others(), renews=False)
        )
        self._renewal_failure.record(
            has_failed=not (is_confirmed or self._is_recent(MAX_AGE_MS))
        )
        end = self._renewal_end(is_confirmed=is_confirmed)
        self._view.directory.config_monitor.record_renewal(end, began_ms)

    def _renewal_end(self, *, is_confirmed: bool) -> RenewalEnd:
        if is_confirmed:
            return RenewalEnd.PROVED
        if self._confirmation.has_failed:
            return RenewalEnd.STORE_FAILED
        return RenewalEnd.STORE_LATE

    def _ask_any(
        self, names: Iterable[NodeName], *, renews: bool = True
    ) -> bool:
        """Ask nodes until one of them proves enough; return whether one did."""
        for name in names:
            self._ask(name, renews=renews)
            if self._is_recent(_ANSWERED_AGE_MS):
                return True
        return False

    def _ask_store(self) -> bool:
        """Ask the store; return whether it proved enough in time.

        A store that was silent just before is not waited for: what it says
        counts in the next renewal.
        """
        patience_ms = self._confirmation.usual_patience_ms
        is_confirmed = self._confirmation.confirm(
            0 if self._store_failure else patience_ms, _ANSWERED_AGE_MS
        )
        self._store_failure.record(has_failed=not is_confirmed)
        return is_confirmed

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

    def _ask(self, name: NodeName, *, renews: bool) -> None:
        directory = self._view.directory
        asked_ms = self._clock.now_ms()
        request = ConfigCheck(directory.config.generation, renews)
        try:
            state = self._peers.call(name, request, _PEER_TIMEOUT_MS)
        except LinkError:
            return  # another parent, or the store, is asked
        if not isinstance(state, ConfigState):
            return
        if state.config is not None:
            sent = from_sent(state.config, directory.first_era)
            directory.apply(sent, str(name))
        is_known = state.generation <= directory.config.generation
        if is_known and state.age_ms >= 0:
            directory.config_monitor.record_confirmed(
                str(name), asked_ms - state.age_ms
            )

    def _serve(self, _link: Link, stream: Stream, request: ConfigCheck) -> None:
        if request.renews:
            self._ensure(_ANSWERED_AGE_MS, _ANSWERED_AGE_MS, _CHILD_WAIT_MS)
        directory = self._view.directory
        stream.send(
            ConfigState(
                directory.config.generation,
                directory.config_monitor.confirmed_age_ms,
                self._later_config(request.generation),
            )
        )

    def _later_config(self, generation: int) -> SentObject | None:
        """Return the configuration in force if it is later than a known one."""
        directory = self._view.directory
        stored = directory.stored_object(CONFIG_NAME)
        if stored is None or directory.config.generation <= generation:
            return None
        return to_sent(stored)
