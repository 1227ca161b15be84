"""Steps that merge and accept configurations."""

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
from laburnumwood.config.acceptance import (
    ConfigAcceptance,
    Proposal,
    read_accepted,
)
from laburnumwood.config.audit import read_audit_trail
from laburnumwood.config.files import digest, parse_file
from laburnumwood.config.merge import merge_files, merge_record
from laburnumwood.errors import (
    ConcurrentChangeError,
    DeclarationError,
    PlatformUnavailableError,
)
from laburnumwood.membership.directory import Directory
from laburnumwood.records import ConfigRecord, StoredObject
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import CONFIG_NAME, to_value

MAX_GENERATION = 6


@given('the file "{name}"')
def add_file(context: Context, name: str) -> None:
    context.files = getattr(context, 'files', {})
    context.files[name] = parse_file(name, context.text)


@then('the value "{path}" is {value}, set by "{file}"')
def check_origin(context: Context, path: str, value: str, file: str) -> None:
    merged = merge_files(context.files)
    steps = tuple(path.split('.'))
    plain = merged.declarations.model_dump(mode='json')
    found = reduce(lambda node, step: node[step], steps, plain)
    assert found == json.loads(value), found
    assert merged.origin(steps) == file, merged.set_by


@then(
    'an accepted configuration of them, with or without rules, means the same'
)
def check_same_meaning(context: Context) -> None:
    first = min(context.files)
    plain = {
        name: content
        for name, content in context.files[first].items()
        if name != 'rules'
    }
    for files in (context.files, {**context.files, first: plain}):
        declared = merge_record(ConfigRecord(1, files))
        assert declared == merge_files(files).declarations, declared


@then('the files are refused with')
def check_refusal(context: Context) -> None:
    try:
        merge_files(context.files)
    except DeclarationError as refused:
        assert str(refused) == context.text, f'\n{refused}'
    else:
        raise AssertionError('the files were accepted')


@then('the file content is refused with "{message}"')
def check_content_refusal(context: Context, message: str) -> None:
    try:
        parse_file('a.json', context.text)
    except DeclarationError as refused:
        assert str(refused) == message, refused
    else:
        raise AssertionError('the content was accepted')


class _InterleavedStore(HttpStore):
    """Calls `concurrent_write` once, before the next update of an object."""

    def __init__(self, url: str, concurrent_write: Callable[[], None]) -> None:
        super().__init__(url)
        self._concurrent_write: Callable[[], None] | None = concurrent_write

    def update(self, name: str, value: dict[str, Any], version: int) -> int:
        concurrent_write, self._concurrent_write = self._concurrent_write, None
        if concurrent_write is not None:
            concurrent_write()
        return super().update(name, value, version)


class _FailingAuditStore(HttpStore):
    """Fails the write of the audit entry of generation 2."""

    def create(self, name: str, value: dict[str, Any]) -> int:
        if name == 'audit/2':
            raise PlatformUnavailableError(name)
        return super().create(name, value)


def _propose(context: Context, platform: Store, who: str, text: str) -> None:
    proposal = Proposal(json.loads(text), who, context.seen)
    context.refusal = None
    try:
        ConfigAcceptance(platform, Clock()).propose(proposal)
    except (ConcurrentChangeError, DeclarationError) as refused:
        context.refusal = refused


def _update_seen(context: Context) -> None:
    files = read_accepted(HttpStore(context.standins['platform'].url))[0].files
    context.seen = {name: digest(content) for name, content in files.items()}


@given('"{who}" has accepted the files')
def accept_files(context: Context, who: str) -> None:
    context.seen = {}
    _propose(
        context, HttpStore(context.standins['platform'].url), who, context.text
    )
    _update_seen(context)


@when('"{who}" proposes files between the read and the write of "{other}"')
def propose_concurrently(context: Context, who: str, other: str) -> None:
    url = context.standins['platform'].url
    row = context.table[0]
    platform = _InterleavedStore(
        url, lambda: _propose(context, HttpStore(url), who, row[who])
    )
    _propose(context, platform, other, row[other])


@when('"{who}" proposes {text} and fails before writing the audit entry')
def propose_and_fail(context: Context, who: str, text: str) -> None:
    _propose(
        context, _FailingAuditStore(context.standins['platform'].url), who, text
    )


@when('"{who}" proposes {text}')
def propose(context: Context, who: str, text: str) -> None:
    _update_seen(context)
    _propose(context, HttpStore(context.standins['platform'].url), who, text)


@when('"{who}" rolls back to generation {generation:d}')
def roll_back(context: Context, who: str, generation: int) -> None:
    platform = HttpStore(context.standins['platform'].url)
    ConfigAcceptance(platform, Clock()).roll_back(generation, who)


@then('the accepted files of generation {generation:d} are')
def check_accepted(context: Context, generation: int) -> None:
    record, _ = read_accepted(HttpStore(context.standins['platform'].url))
    assert record.generation == generation, record
    assert record.files == json.loads(context.text), record.files


@then('the proposal was refused because others changed "{name}"')
def check_changed_since(context: Context, name: str) -> None:
    assert isinstance(context.refusal, ConcurrentChangeError), context.refusal
    assert str(context.refusal) == name, context.refusal


@then('the proposal was refused with "{text}"')
def check_refused_proposal(context: Context, text: str) -> None:
    assert str(context.refusal).startswith(text), context.refusal


@then('the audit trail names {names}')
def check_audit_trail(context: Context, names: str) -> None:
    entries = list(
        read_audit_trail(HttpStore(context.standins['platform'].url))
    )
    entries.reverse()
    assert [entry.who for entry in entries] == names.split(', '), entries
    numbers = [entry.generation for entry in entries]
    assert numbers == list(range(1, len(entries) + 1)), numbers


@then('the audit entry of generation {generation:d} is in the store')
def check_audit_entry(context: Context, generation: int) -> None:
    platform = HttpStore(context.standins['platform'].url)
    assert platform.get(f'audit/{generation}') is not None


@then(
    'no order of configuration records makes the generation of a directory '
    'decrease'
)
def check_monotonic_generation(context: Context) -> None:
    generations = st.lists(st.integers(1, MAX_GENERATION), min_size=1)

    @settings(derandomize=True, database=None)
    @for_all(generations)
    def never_decreases(numbers: list[int]) -> None:
        directory = Directory()
        newest = 0
        for version, number in enumerate(numbers, 1):
            value = to_value(ConfigRecord(number))
            directory.apply(StoredObject(CONFIG_NAME, value, version))
            newest = max(newest, number)
            assert directory.config.generation == newest

    never_decreases()
