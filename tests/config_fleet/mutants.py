"""Variants of the code without one safeguard, to show that runs detect it."""

from collections.abc import Callable
from typing import Any

from laburnumwood.membership.configuration import confirmation
from laburnumwood.membership.configuration.confirmation import (
    ConfigConfirmation,
)
from laburnumwood.membership.configuration.freshness import ConfigFreshness
from laburnumwood.membership.configuration.renewal import ConfigRenewal
from laburnumwood.membership.configuration.status import (
    FROM_STORE,
    ConfigMonitor,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.store_watcher import StoreWatcher
from laburnumwood.protocol.store_messages import ConfigCheck, ConfigState
from laburnumwood.routing import destination

_Remove = Callable[[], None]
MUTANTS: dict[str, _Remove] = {}


def _mutant(safeguard: str) -> Callable[[_Remove], _Remove]:
    def register(remove: _Remove) -> _Remove:
        MUTANTS[safeguard] = remove
        return remove

    return register


def apply_mutant(safeguard: str) -> None:
    """Remove a safeguard from all nodes of this operating system process."""
    MUTANTS[safeguard]()


@_mutant('the age of a proof')
def _count_from_receipt() -> None:
    record = ConfigMonitor.record_confirmed

    def record_now(monitor: Any, source: str, _at_ms: int) -> None:
        record(monitor, source, monitor._clock.now_ms())

    _replace(ConfigMonitor, 'record_confirmed', record_now)


@_mutant('the age that a peer tells')
def _tell_no_age() -> None:
    def serve(
        freshness: Any, _link: Any, stream: Any, request: ConfigCheck
    ) -> None:
        generation = freshness._view.directory.config.generation
        later = freshness._later_config(request.generation)
        stream.send(ConfigState(generation, 0, later))

    _replace(ConfigFreshness, '_serve', serve)


@_mutant('the age of stale answers')
def _trust_stale_answers() -> None:
    apply = StoreWatcher._apply

    def apply_as_fresh(
        watcher: Any, scope: str, objects: Any, _source: str, asked_ms: int
    ) -> None:
        apply(watcher, scope, objects, FROM_STORE, asked_ms)

    _replace(StoreWatcher, '_apply', apply_as_fresh)


@_mutant('the begin of a watch')
def _count_watches_from_their_end() -> None:
    apply = StoreWatcher._apply

    def apply_now(
        watcher: Any, scope: str, objects: Any, source: str, _asked_ms: int
    ) -> None:
        apply(watcher, scope, objects, source, watcher._clock.now_ms())

    _replace(StoreWatcher, '_apply', apply_now)


@_mutant('the look at the store before a refusal')
def _refuse_at_once() -> None:
    def confirm(_freshness: Any, _patience_ms: int) -> bool:
        return True

    _replace(ConfigFreshness, 'confirm_latest', confirm)
    _forgo_renewals()


@_mutant('the renewal of a proof')
def _forgo_renewals() -> None:
    def ensure(_freshness: Any, _patience_ms: int = 0) -> bool:
        return True

    _replace(ConfigFreshness, 'refresh', ensure)
    _replace(ConfigFreshness, 'ensure_recent', ensure)


@_mutant('the limit of an old proof')
def _handle_by_any_proof() -> None:
    _replace(ConfigRenewal, 'is_overdue', property(lambda _: False))


class _NeverRaisedError(Exception):
    """An error in place of one that is to be handled like all others."""


@_mutant('429 as no outage')
def _take_rates_for_outages() -> None:
    _replace(confirmation, 'PlatformRateLimitedError', _NeverRaisedError)


@_mutant('the order of generations')
def _take_any_generation() -> None:
    apply = Directory._apply_config

    def apply_any(directory: Any, stored: Any, source: str) -> None:
        directory._config = type(directory._config)(0)
        apply(directory, stored, source)

    _replace(Directory, '_apply_config', apply_any)
    _replace(Directory, 'apply', _apply_always)


def _apply_always(
    directory: Any, stored: Any, source: str = FROM_STORE
) -> bool:
    directory._apply_object(stored, source)
    directory._objects.put(stored)
    directory.change_count += 1
    directory.changes.notify_all()
    return True


@_mutant('what an answer of the store has')
def _prove_by_any_answer() -> None:
    def has_latest(_confirmation: Any, _found: Any) -> bool:
        return True

    _replace(ConfigConfirmation, '_has_latest', has_latest)


@_mutant('the weights')
def _ignore_weights() -> None:
    def first(route: Any, _random: Any) -> str:
        return next(iter(route.services))

    _replace(destination, 'choose_service', first)


def _replace(owner: Any, name: str, variant: Any) -> None:
    setattr(owner, name, variant)
