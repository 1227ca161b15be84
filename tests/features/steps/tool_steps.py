"""Steps that run the command-line tool and compare its output."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from approvaltests import verify
from approvaltests.core.options import Options
from approvaltests.namer import NamerBase
from approvaltests.reporters import PythonNativeReporter
from behave import given, then, when
from behave.runner import Context

from bench.deployment import OPERATOR_TOKEN, Place, wait_for
from tests.features.steps.processes import ROOT

LIMIT_S = 120
GOLDEN = ROOT / 'tests' / 'features' / 'golden'
REPLACEMENTS = (
    (re.compile(r'\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ'), '<------ time ------>'),
    (re.compile(r'"when_ms": \d+'), '"when_ms": "<time>"'),
    (re.compile(r'"write_id": "\w+"'), '"write_id": "<id>"'),
    (re.compile(r'127\.0\.0\.1:\d+'), '<address>'),
    (re.compile(' +$', re.MULTILINE), ''),
)


class _GoldenFileNamer(NamerBase):
    """Locates the golden file of a session."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def get_file_name(self) -> str:
        """Return the name of the file without its suffix."""
        return self._name

    def get_directory(self) -> str:
        """Return the folder of the golden files."""
        return str(GOLDEN)

    def get_config(self) -> dict[str, str]:
        """Return an empty configuration."""
        return {}


def _working_folder(context: Context) -> Path:
    if not hasattr(context, 'working_folder'):
        working_folder = tempfile.TemporaryDirectory()
        context.add_cleanup(working_folder.cleanup)
        context.working_folder = Path(working_folder.name)
        context.session = []
    path: Path = context.working_folder
    return path


@given('the folder "{folder}" with the file "{name}"')
def write_file(context: Context, folder: str, name: str) -> None:
    path = _working_folder(context) / folder
    path.mkdir(exist_ok=True)
    (path / name).write_text(context.text)


@when('the folder "{folder}" now has the file "{name}"')
def change_file(context: Context, folder: str, name: str) -> None:
    write_file(context, folder, name)
    context.session.append(f'# {folder}/{name} is changed\n')


def _environment(context: Context, who: str) -> dict[str, str]:
    if hasattr(context, 'deployment'):
        platform = context.deployment.platform_url
    else:
        platform = context.standins['platform'].url
    return {
        **os.environ,
        'LABURNUMWOOD_PLATFORM': platform,
        'LABURNUMWOOD_TOKEN': '' if 'stranger' in who else OPERATOR_TOKEN,
        'LABURNUMWOOD_OPERATOR': who,
        'PYTHONPATH': str(ROOT),
        'PYTHONWARNINGS': 'ignore',
    }


@when('"{who}" runs "{command}"')
def run_command(context: Context, who: str, command: str) -> None:
    working_folder = _working_folder(context)
    ended = subprocess.run(
        (sys.executable, '-m', 'laburnumwood.cli.main', *command.split(' ')),
        cwd=working_folder,
        env=_environment(context, who),
        capture_output=True,
        text=True,
        check=False,
    )
    text = f'{ended.stdout}{ended.stderr}'
    for pattern, placeholder in REPLACEMENTS:
        text = pattern.sub(placeholder, text)
    prompt = f'{who}$ laburnumwood {command}'
    context.session.append(f'{prompt}\n{text}exit {ended.returncode}\n')


@when('the shards of "{node_id}" have other owners')
def wait_for_owners(context: Context, node_id: str) -> None:
    def have_other_owners() -> bool:
        owners: set[str] = set()
        for member in context.deployment.members.values():
            if member.node.is_running:
                page = context.deployment.page(member, 'owners')
                owners.update(map(str, page['trader-portal'].values()))
        return not any(owner.startswith(node_id) for owner in owners)

    wait_for('other owners', have_other_owners, LIMIT_S)


@given('a node "{node_id}" with other operator tokens has joined "{other}"')
def add_node_with_other_tokens(
    context: Context, node_id: str, other: str
) -> None:
    deployment = context.deployment
    operators = {'theirs': {'token': 'a token of other operators'}}
    place = Place(node_id, 'abertawe', 'portal')
    deployment.add(place, operators=operators)

    def is_listed() -> bool:
        rows = deployment.page(deployment.members[other], 'nodes')
        return any(row['node'] == f'{node_id}#1' for row in rows)

    wait_for(node_id, is_listed, LIMIT_S)


@when('generation {number:d} is in force on "{node_id}"')
def wait_for_generation(context: Context, number: int, node_id: str) -> None:
    member = context.deployment.members[node_id]

    def is_in_force() -> bool:
        page = context.deployment.page(member, 'generation')
        return bool(page['generation'] == number)

    wait_for('the generation', is_in_force, LIMIT_S)


@then('the session matches the golden file "{name}"')
def check_session(context: Context, name: str) -> None:
    verify(
        '\n'.join(context.session),
        options=Options()
        .with_namer(_GoldenFileNamer(name))
        .with_reporter(PythonNativeReporter()),
    )
