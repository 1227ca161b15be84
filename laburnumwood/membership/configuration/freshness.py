"""Keeping the proof recent that a node's configuration is the latest.

The nodes of a fleet form a tree in which each asks its parent, and the root
asks the store.  While its parent is away or late, a node asks another one too,
in a second tree, then the store, and then some of the others.

A proof is overdue when it is older than the time within which an accepted
configuration has to be in force.  A request is handled by such a proof only
while the store is away, so that nobody can be told of a later one.  A fleet
under load is late and not away.
"""

from laburnumwood.clock import Clock
from laburnumwood.membership.configuration.confirmation import (
    ConfigConfirmation,
)
from laburnumwood.membership.configuration.recent_failure import RecentFailure
from laburnumwood.membership.configuration.renewal import (
    ANSWERED_AGE_MS,
    MAX_AGE_MS,
    RENEWAL_LIMIT_MS,
    ConfigRenewal,
)
from laburnumwood.membership.configuration.status import (
    ConfigMonitor,
    RenewalEnd,
)
from laburnumwood.membership.sent_objects import to_sent
from laburnumwood.membership.shared_call import SharedCall
from laburnumwood.membership.view import FleetView
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.peers import Dispatcher, Peers
from laburnumwood.protocol.store_messages import ConfigCheck, ConfigState
from laburnumwood.protocol.streams import Stream
from laburnumwood.records import NodeName, SentObject
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME

REFRESH_AGE_MS = 700  # from which a request has the proof renewed
_INTERVAL_MS = 250  # at least, from the start of a renewal to the next
_REQUEST_WAIT_MS = RENEWAL_LIMIT_MS  # of a request, for a renewal
_CHILD_WAIT_MS = 800  # of a child in the tree, which asks others meanwhile


class ConfigFreshness:
    """Renews the proof when requests or children in the tree need it.

    A proof that is older than `limit_ms` is overdue.
    """

    def __init__(
        self,
        own: NodeName,
        view: FleetView,
        store: Store,
        peers: Peers,
        dispatcher: Dispatcher,
        clock: Clock,
        limit_ms: int,
    ) -> None:
        self._view = view
        self._confirmation = ConfigConfirmation(store, view.directory, clock)
        self._renewal = ConfigRenewal(
            own, view, self._confirmation, peers, clock, limit_ms
        )
        self._call = SharedCall(self._renew, _INTERVAL_MS, clock)
        self._outage = RecentFailure(clock)  # nobody could prove anything
        dispatcher.on(ConfigCheck)(self._serve)

    def refresh(self) -> bool:
        """Have the proof renewed if a request should not go by it for long.

        Returns whether a request may be handled without a wait.
        """
        if not self._monitor.is_confirmed_within(REFRESH_AGE_MS):
            self._call.ensure_started()
        return self._monitor.is_confirmed_within(MAX_AGE_MS)

    def ensure_recent(self, patience_ms: int) -> bool:
        """Return whether a request may be handled by what is known.

        Waits for a renewal up to `patience_ms`, and never longer than a second,
        but not if the store has been found to be away within the last second.
        """
        if not self.refresh() and not self._is_outage:
            self._call.wait(min(patience_ms, _REQUEST_WAIT_MS))
        return self._is_outage or not self._renewal.is_overdue

    def confirm_latest(self, patience_ms: int) -> bool:
        """Return whether the store has just confirmed the configuration.

        Waits up to `patience_ms` for it.
        """
        return self._confirmation.confirm(patience_ms)

    @property
    def _monitor(self) -> ConfigMonitor:
        return self._view.directory.config_monitor

    @property
    def _is_outage(self) -> bool:
        """Return whether waiting is of no use: the store is away."""
        return bool(self._outage) and self._renewal.is_store_away

    def _renew(self) -> None:
        end = self._renewal.run()
        self._outage.record(has_failed=end is RenewalEnd.STORE_FAILED)

    def _serve(self, _link: Link, stream: Stream, request: ConfigCheck) -> None:
        if request.renews:
            self._renew_for_child()
        directory = self._view.directory
        stream.send(
            ConfigState(
                directory.config.generation,
                directory.config_monitor.confirmed_age_ms,
                self._later_config(request.generation),
            )
        )

    def _renew_for_child(self) -> None:
        if not self._monitor.is_confirmed_within(ANSWERED_AGE_MS):
            self._call.ensure_started()
            if not self._outage:
                self._call.wait(_CHILD_WAIT_MS)

    def _later_config(self, generation: int) -> SentObject | None:
        """Return the configuration in force if it is later than a known one."""
        directory = self._view.directory
        stored = directory.stored_object(CONFIG_NAME)
        if stored is None or directory.config.generation <= generation:
            return None
        return to_sent(stored)
