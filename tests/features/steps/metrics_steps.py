"""Steps about the reference pages for operators."""

from collections.abc import Sequence

import logbook
from behave import then, when
from behave.runner import Context

from bench.deployment import OPERATOR_TOKEN
from laburnumwood.events import CATALOGUE as EVENTS
from laburnumwood.metrics import CATALOGUE as METRICS
from tests.features.steps.processes import ROOT


def page_rows(page: str) -> list[tuple[str, ...]]:
    """Return the cells of each row of the tables of a page in docs/."""
    lines = (ROOT / 'docs' / page).read_text().splitlines()
    table = [line for line in lines if line.startswith('| ')][1:]
    return [
        tuple(cell.strip() for cell in line.strip('|').split(' | '))
        for line in table
    ]


def _compare(page: str, wanted: Sequence[tuple[str, ...]]) -> None:
    found = page_rows(page)
    expected = '\n'.join('| {} |'.format(' | '.join(row)) for row in wanted)
    assert found == list(wanted), f'docs/{page} should contain\n{expected}'


@then('docs/EVENTS.md has exactly one row for each event')
def check_events(context: Context) -> None:
    wanted = [
        (
            f'LW{event.number}',
            event.name,
            logbook.get_level_name(event.level).lower(),
            event.text,
            event.advice,
        )
        for _, event in sorted(EVENTS.items())
    ]
    _compare('EVENTS.md', wanted)


@then('docs/METRICS.md has exactly one row for each metric')
def check_metrics(context: Context) -> None:
    wanted = [
        (metric.name, metric.unit, metric.description)
        for _, metric in sorted(METRICS.items())
    ]
    _compare('METRICS.md', wanted)


@when('a service that is not declared is requested at "{node_id}"')
def request_undeclared(context: Context, node_id: str) -> None:
    member = context.deployment.members[node_id]
    context.deployment.get(f'{member.door}/nowhere')


@then('the metrics of "{node_id}" contain')
def check_exposition(context: Context, node_id: str) -> None:
    member = context.deployment.members[node_id]
    headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}
    url = f'{member.operators}/metrics'
    text = context.deployment.get(url, headers=headers).data.decode()
    lines = text.splitlines()
    for row in context.table:
        assert row['line'] in lines, f'{row["line"]} not in\n{text}'
