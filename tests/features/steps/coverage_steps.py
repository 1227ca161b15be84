"""Steps about the page that says which check judges which rule."""

import re
from dataclasses import dataclass

from behave import then
from behave.runner import Context

from tests.features.steps.metrics_steps import page_rows
from tests.features.steps.processes import ROOT
from tests.soak.judge import RULES

PAGE = 'RULES-COVERAGE.md'
NONE = '-'
WORLDS = 'worlds'
COUNTS = re.compile(
    r'(\d+) of (\d+) rules have a check; of (\d+) a check was seen to fail'
)


@dataclass(frozen=True, slots=True)
class Row:
    """A rule of the users, and the names of its checks."""

    rule: str
    what: str
    random: str
    features: str
    shown_by: str

    @property
    def soak_rules(self) -> set[str]:
        """Return the names of rules of the soak."""
        return set(self.random.split('; ')) - {NONE, WORLDS}

    @property
    def feature_names(self) -> set[str]:
        """Return the names of feature files."""
        return set(self.features.split()) - {NONE}

    @property
    def is_judged(self) -> bool:
        """Return whether any check judges the rule."""
        return self.random != NONE or self.features != NONE


def _rows() -> list[Row]:
    return [Row(*cells) for cells in page_rows(PAGE)]


@then(
    'docs/RULES-COVERAGE.md names features that exist, and each rule of the '
    'soak'
)
def check_names(context: Context) -> None:
    named: set[str] = set()
    for row in _rows():
        named |= row.soak_rules
        for name in row.feature_names:
            path = ROOT / 'tests' / 'features' / f'{name}.feature'
            assert path.exists(), (row.what, name)
    assert named == set(RULES), named ^ set(RULES)


@then('it counts its rows as they are')
def check_counts(context: Context) -> None:
    rows = _rows()
    judged = sum(row.is_judged for row in rows)
    shown = sum(row.shown_by != NONE for row in rows)
    found = COUNTS.search((ROOT / 'docs' / PAGE).read_text())
    assert found is not None, 'no counts'
    assert found.groups() == (str(judged), str(len(rows)), str(shown)), (
        judged,
        len(rows),
        shown,
    )
