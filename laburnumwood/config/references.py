"""Checks of a merged configuration: references and consistency."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from laburnumwood.config.declarations import Declarations, Pin

# The steps to a value.  A name among them may contain any character.
ValuePath = tuple[str, ...]
Check = Callable[[Declarations], Iterator['Violation']]
_CHECKS: list[Check] = []


@dataclass(frozen=True, slots=True)
class Violation:
    """An invalid value of a configuration: its path and what is wrong."""

    path: ValuePath
    text: str


def join_path(path: ValuePath) -> str:
    """Return the text of a path, for people."""
    return '.'.join(path)


def _register_check(check: Check) -> Check:
    _CHECKS.append(check)
    return check


def find_violations(merged: Declarations) -> Iterator[Violation]:
    """Yield all violations of a merged configuration."""
    for check in _CHECKS:
        yield from check(merged)


def _undeclared(
    path: ValuePath, name: str, kind: str, declared: Iterable[str]
) -> Violation:
    names = ', '.join(sorted(declared))
    allowed = names or f'none, for no {kind} is declared'
    return Violation(
        path, f'no {kind} {name!r} is declared; allowed: {allowed}'
    )


@_register_check
def _check_owners(merged: Declarations) -> Iterator[Violation]:
    declared = merged.capacity_owners
    for name, service in merged.services.items():
        if service.owner is not None and service.owner not in declared:
            path = ('services', name, 'owner')
            yield _undeclared(path, service.owner, 'capacity owner', declared)


@_register_check
def _check_shards(merged: Declarations) -> Iterator[Violation]:
    for name, service in merged.services.items():
        path = ('services', name, 'shards')
        if service.key is not None and not service.shards:
            yield Violation(
                path, 'found 0; a service with a key needs 1 or more'
            )
        elif service.key is None and service.shards:
            text = f'found {service.shards}; a service without a key needs 0'
            yield Violation(path, text)


@_register_check
def _check_routes(merged: Declarations) -> Iterator[Violation]:
    for name, route in merged.routes.items():
        for service in route.services:
            if service not in merged.services:
                path = ('routes', name, 'services')
                yield _undeclared(path, service, 'service', merged.services)


@_register_check
def _check_domains(merged: Declarations) -> Iterator[Violation]:
    for name, count in Counter(merged.failure_domains).items():
        if count > 1:
            text = f'{name!r} stands {count} times'
            yield Violation(('failure_domains',), text)


@_register_check
def _check_pins(merged: Declarations) -> Iterator[Violation]:
    for name, pin in merged.pins.items():
        yield from _pin_violations(merged, ('pins', name), pin)


@_register_check
def _check_duplicate_pins(merged: Declarations) -> Iterator[Violation]:
    pins: dict[tuple[object, ...], str] = {}
    for name, pin in merged.pins.items():
        target = (pin.service, pin.key, pin.shard)
        if target in pins:
            text = f'binds what pins.{pins[target]} binds; keep one of them'
            yield Violation(('pins', name), text)
        pins.setdefault(target, name)


def _pin_violations(
    merged: Declarations, path: ValuePath, pin: Pin
) -> Iterator[Violation]:
    service = merged.services.get(pin.service)
    if service is None:
        keyed = [name for name, each in merged.services.items() if each.key]
        yield _undeclared((*path, 'service'), pin.service, 'service', keyed)
    elif service.key is None:
        text = f'{pin.service!r} is not divided by key; pins need that'
        yield Violation((*path, 'service'), text)
    elif pin.shard is not None and pin.shard >= service.shards:
        text = f'found {pin.shard}; allowed: 0 to {service.shards - 1}'
        yield Violation((*path, 'shard'), text)
    declared = merged.failure_domains
    if pin.failure_domain is not None and pin.failure_domain not in declared:
        yield _undeclared(
            (*path, 'failure_domain'),
            pin.failure_domain,
            'failure domain',
            declared,
        )


@_register_check
def _check_warm_ups(merged: Declarations) -> Iterator[Violation]:
    for name in merged.warm_ups.keys() - merged.services.keys():
        path = ('warm_ups', name)
        yield _undeclared(path, name, 'service', merged.services)
