"""Steps about configurations: merging and acceptance."""

import json
from collections.abc import Callable
from functools import reduce
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import Acceptance, Proposal, current
from laburnumwood.config.audit import read_newest
from laburnumwood.config.files import digest, parse
from laburnumwood.config.merge import merge_files
from laburnumwood.errors import (
    ConcurrentChangeError,
    DeclarationError,
    PlatformUnavailableError,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.records import ConfigRecord, StoredObject
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG, to_value

GENERATIONS = 6


@given('the file "{name}"')
def keep_file(context: Context, name: str) -> None:
    context.files = getattr(context, 'files', {})
    context.files[name] = parse(name, context.text)


@then('"{path}" is {value} by "{file}"')
def check_origin(context: Context, path: str, value: str, file: str) -> None:
    merged = merge_files(context.files)
    plain = merged.declarations.model_dump(mode='json')
    found = reduce(lambda node, step: node[step], path.split('.'), plain)
    assert found == json.loads(value), found
    assert merged.origin(path) == file, merged.set_by


@then('the files are refused with')
def check_refusal(context: Context) -> None:
    try:
        merge_files(context.files)
    except DeclarationError as refused:
        assert str(refused) == context.text, f'\n{refused}'
    else:
        raise AssertionError('the files were taken')


@then('the text is refused with "{message}"')
def check_text_refusal(context: Context, message: str) -> None:
    try:
        parse('a.json', context.text)
    except DeclarationError as refused:
        assert str(refused) == message, refused
    else:
        raise AssertionError('the text was taken')


class _MeddledPlatform(HttpStore):
    """Calls `meddle` once, just before the next write of `config`."""

    def __init__(self, url: str, meddle: Callable[[], None]) -> None:
        super().__init__(url)
        self._meddle: Callable[[], None] | None = meddle

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        meddle, self._meddle = self._meddle, None
        if meddle is not None:
            meddle()
        return super().update(name, value, version)


class _DyingPlatform(HttpStore):
    """Fails all writes of the audit trail but the first."""

    def create(self, name: str, value: dict[str, Any]) -> int:
        if name == 'audit/2':
            raise PlatformUnavailableError(name)
        return super().create(name, value)


def _propose(context: Context, platform: Store, who: str, text: str) -> None:
    proposal = Proposal(json.loads(text), who, context.seen)
    context.refusal = None
    try:
        Acceptance(platform, Clock()).propose(proposal)
    except (ConcurrentChangeError, DeclarationError) as refused:
        context.refusal = refused


def _look(context: Context) -> None:
    files = current(HttpStore(context.standins['platform'].url))[0].files
    context.seen = {name: digest(content) for name, content in files.items()}


@given('"{who}" has accepted the files')
def accept_first(context: Context, who: str) -> None:
    context.seen = {}
    _propose(
        context, HttpStore(context.standins['platform'].url), who, context.text
    )
    _look(context)


@when('"{who}" proposes files just before the write of "{other}"')
def race(context: Context, who: str, other: str) -> None:
    url = context.standins['platform'].url
    row = context.table[0]
    platform = _MeddledPlatform(
        url, lambda: _propose(context, HttpStore(url), who, row[who])
    )
    _propose(context, platform, other, row[other])


@when('"{who}" proposes {text} and dies before the audit entry')
def propose_and_die(context: Context, who: str, text: str) -> None:
    _propose(
        context, _DyingPlatform(context.standins['platform'].url), who, text
    )


@when('"{who}" proposes {text}')
def propose(context: Context, who: str, text: str) -> None:
    _look(context)
    _propose(context, HttpStore(context.standins['platform'].url), who, text)


@when('"{who}" rolls back to generation {generation:d}')
def roll_back(context: Context, who: str, generation: int) -> None:
    platform = HttpStore(context.standins['platform'].url)
    Acceptance(platform, Clock()).roll_back(generation, who)


@then('the accepted files of generation {generation:d} are')
def check_accepted(context: Context, generation: int) -> None:
    record, _ = current(HttpStore(context.standins['platform'].url))
    assert record.generation == generation, record
    assert record.files == json.loads(context.text), record.files


@then('the proposal was refused since "{name}" has changed')
def check_changed_since(context: Context, name: str) -> None:
    assert isinstance(context.refusal, ConcurrentChangeError), context.refusal
    assert str(context.refusal) == name, context.refusal


@then('the proposal was refused with "{text}"')
def check_refused(context: Context, text: str) -> None:
    assert str(context.refusal).startswith(text), context.refusal


@then('the audit trail names {names}')
def check_trail(context: Context, names: str) -> None:
    entries = list(read_newest(HttpStore(context.standins['platform'].url)))
    entries.reverse()
    assert [entry.who for entry in entries] == names.split(', '), entries
    numbers = [entry.generation for entry in entries]
    assert numbers == list(range(1, len(entries) + 1)), numbers


@then('the entry of generation {generation:d} is in the store')
def check_entry(context: Context, generation: int) -> None:
    platform = HttpStore(context.standins['platform'].url)
    assert platform.get(f'audit/{generation}') is not None


@then("no order of stale news makes a node's generation fall")
def check_monotone(context: Context) -> None:
    news = st.lists(st.integers(1, GENERATIONS), min_size=1)

    @settings(derandomize=True, database=None)
    @for_all(news)
    def never_falls(numbers: list[int]) -> None:
        directory = Directory()
        highest = 0
        for version, number in enumerate(numbers, 1):
            value = to_value(ConfigRecord(number))
            directory.apply(StoredObject(CONFIG, value, version))
            highest = max(highest, number)
            assert directory.config.generation == highest

    never_falls()
