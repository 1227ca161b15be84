"""Steps about the rules of the soak for configurations, and what they guard."""

import time
from dataclasses import replace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from standins.journal.entry import JournalEntry
from tests.features.steps.plain_run import PLAIN_RUN
from tests.soak.caller_requests import CallerRequest
from tests.soak.callers import Call, CallEnd
from tests.soak.configurations import CONFIG_RULES
from tests.soak.fleet import (
    FIRST_ROUTES,
    MOVED_ROUTE,
    SHARDED_SERVICE,
    START_TIMEOUT_S,
    UNSHARDED_SERVICE,
    NodeIncarnation,
    SoakFleet,
)
from tests.soak.judge import RULES, Record
from tests.soak.manifests import ManifestChange
from tests.soak.plans import ResponsePlan

NODE = 'n1'
RUN_MS = 5
CHANGED_MS = 5_000
NO_ANSWER, NO_ROUTE = 'busy', 'none'
ASKED_ROUNDS = 10
IN_FORCE_S = 2


@given(
    'a node, a manifest, a second one at 5000 ms that moves "moved" from docs '
    'to portal and adds "added-2", and an invalid one at 6000 ms with "bad"'
)
def write_manifests(context: Context) -> None:
    moved = {**FIRST_ROUTES, MOVED_ROUTE: {SHARDED_SERVICE: 1}}
    changed = {**moved, 'added-2': {UNSHARDED_SERVICE: 1}}
    invalid = {**moved, 'bad': {UNSHARDED_SERVICE: 1}}
    context.changes = [
        ManifestChange(1_000, 0, 0, FIRST_ROUTES),
        ManifestChange(1_000, CHANGED_MS, CHANGED_MS, changed),
        ManifestChange(1_000, 6_000, None, invalid, is_valid=False),
    ]
    process: Any = None
    context.incarnations = [
        NodeIncarnation(NODE, process, 0, started_ms=0, serving_ms=100)
    ]


def _call(attempt_id: str, route: str, sent_ms: int, outcome: str) -> Call:
    request = CallerRequest(
        attempt_id=attempt_id,
        node=NODE,
        is_relayed=False,
        is_idempotent=True,
        service=route,
        plan=ResponsePlan(),
        deadline_ms=1_000,
        key=0,
        body=b'',
        route_changes=True,
    )
    status = {NO_ROUTE: 404, NO_ANSWER: 503}.get(outcome, 200)
    stamp = f'{attempt_id}.200' if status == 200 else ''
    end_ms = sent_ms + RUN_MS
    return Call(
        request,
        sent_ms,
        sent_ms,
        end_ms,
        CallEnd.answered,
        status=status,
        stamp=stamp,
    )


def _run(attempt_id: str, service: str, started_ms: int) -> JournalEntry:
    return replace(
        PLAIN_RUN, request=attempt_id, service=service, started_ms=started_ms
    )


@when('it decides {decisions}')
def decide(context: Context, decisions: str) -> None:
    """Read decisions: `times*route:service@ms`, with or without the times."""
    context.calls, context.runs = [], []
    for each in decisions.split():
        count, _, rest = each.rpartition('*')
        what, _, sent = rest.partition('@')
        route, _, outcome = what.partition(':')
        for _ in range(int(count or 1)):
            attempt_id = str(len(context.calls))
            context.calls.append(_call(attempt_id, route, int(sent), outcome))
            if outcome not in {NO_ROUTE, NO_ANSWER}:
                context.runs.append(_run(attempt_id, outcome, int(sent)))


@then('the soak finds: {found}')
def check_found(context: Context, found: str) -> None:
    record = Record.of(
        context.calls,
        context.incarnations,
        (),
        context.runs,
        manifest_changes=context.changes,
    )
    broken = [name for name in CONFIG_RULES if list(RULES[name](record))]
    expected = [] if found == 'nothing' else [found]
    assert broken == expected, broken


@given('a soak of {nodes:d} nodes whose watches of the store bring nothing')
def start_stalled(context: Context, nodes: int) -> None:
    context.fleet = SoakFleet(nodes)
    context.add_cleanup(context.fleet.close)
    context.fleet.wait_ready(START_TIMEOUT_S)
    context.fleet.set_store_faults(watch_stall=True)


@when('a route moves to another service, and 2 s pass')
def move_route(context: Context) -> None:
    routes = {**context.fleet.routes, MOVED_ROUTE: {SHARDED_SERVICE: 1}}
    context.fleet.replace_routes(routes)
    time.sleep(IN_FORCE_S)


@then('no door sends its requests to the former service')
def check_moved(context: Context) -> None:
    for number in range(ASKED_ROUNDS):
        for name, member in context.fleet.members.items():
            path, attempt_id = f'/{MOVED_ROUTE}/safe/x?', f'{name}-{number}'
            context.fleet.ask(member, path, attempt_id, Shard_Key='7')
    services = {
        entry.request: entry.service
        for entry in context.fleet.journal_entries()
        if '-' in entry.request
    }
    assert services, 'nothing ran'
    assert set(services.values()) == {SHARDED_SERVICE}, services
