"""Steps that write faults into logs and check that they are found."""

import json
from collections.abc import Callable
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from bench.calls import Call, Told
from bench.checker import judge
from standins.journal.entry import JournalEntry, Outcome
from standins.worker.bodies import body_of, checksum_of

SIZE = 1_000
COUNT = 6
RUN_MS = 5

ALTERATIONS: dict[str, Callable[[list[Call], list[JournalEntry]], None]] = {}


def _entry(number: int) -> JournalEntry:
    return JournalEntry(
        boot='boot',
        index=number,
        worker='w1',
        request=f'op{number}.0',
        key='k',
        service='portal',
        shard=0,
        token=8,
        method='GET' if number % 2 else 'POST',
        started_ms=number * 10,
        finished_ms=number * 10 + RUN_MS,
        outcome=Outcome.ran,
    )


def _call(number: int) -> Call:
    request = f'op{number}.0'
    is_download = number % 2 == 1
    receipt = json.dumps({'request': request, 'key': 'k'}).encode()
    body = body_of(request, SIZE) if is_download else receipt
    return Call(
        request=request,
        operation=f'op{number}',
        is_keyed=not is_download,
        key='k',
        service='portal',
        method='GET' if is_download else 'POST',
        door='door',
        sent_ms=number * 10 - 1,
        done_ms=number * 10 + 6,
        told=Told.answered,
        status=200,
        body=body,
        size=SIZE if is_download else None,
        checksum=checksum_of(body) if is_download else '',
    )


@given('a log of payments and downloads that all went well')
def write_log(context: Context) -> None:
    context.calls = [_call(number) for number in range(COUNT)]
    context.entries = [_entry(number) for number in range(COUNT)]


def _alteration(
    how: str,
) -> Callable[
    [Callable[[list[Call], list[JournalEntry]], None]],
    Callable[[list[Call], list[JournalEntry]], None],
]:
    def register(
        alter: Callable[[list[Call], list[JournalEntry]], None],
    ) -> Callable[[list[Call], list[JournalEntry]], None]:
        ALTERATIONS[how] = alter
        return alter

    return register


@_alteration('a request runs a second time')
def _run_again(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries.append(replace(entries[0], started_ms=90, finished_ms=95))


@_alteration('a resend runs a second time')
def _run_resend(calls: list[Call], entries: list[JournalEntry]) -> None:
    calls.append(replace(calls[0], request='op0.1', told=Told.unknown))
    again = replace(entries[0], started_ms=90, finished_ms=95)
    entries.append(replace(again, request='op0.1'))


@_alteration('a request reported as not run ran')
def _report_not_run(calls: list[Call], entries: list[JournalEntry]) -> None:
    calls[0] = replace(calls[0], told=Told.not_run)


@_alteration('a download lacks its last byte')
def _truncate_download(calls: list[Call], entries: list[JournalEntry]) -> None:
    calls[1] = replace(calls[1], body=calls[1].body[:-1])


@_alteration('a caller gets the answer to another request')
def _swap_answers(calls: list[Call], entries: list[JournalEntry]) -> None:
    calls[0] = replace(calls[0], body=calls[2].body)


@_alteration('an answer has no run')
def _remove_run(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries.pop(1)


@_alteration('two workers run a shard at once')
def _overlap(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries[2].worker = 'w2'
    entries[0].finished_ms = entries[2].started_ms + 1


@_alteration('a new owner starts before a long run has ended')
def _overlap_long_run(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries[0].finished_ms = entries[-2].started_ms + 1
    entries[-2].worker = 'w2'


@_alteration('a new owner starts before a download has ended')
def _overlap_download(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries[1].finished_ms = entries[-2].started_ms + 1
    entries[-2].worker = 'w2'


@_alteration('a token decreases')
def _lower_token(calls: list[Call], entries: list[JournalEntry]) -> None:
    entries[-1].token = 7


@_alteration('a request is refused and then runs')
def _refuse_first(calls: list[Call], entries: list[JournalEntry]) -> None:
    refused = replace(entries[0], outcome=Outcome.refused, worker='w2')
    entries.insert(0, refused)


@when('the log is altered: {how}')
def alter_log(context: Context, how: str) -> None:
    ALTERATIONS[how](context.calls, context.entries)


@then('the checker finds nothing')
def check_clean(context: Context) -> None:
    verdict = judge(context.calls, context.entries)
    assert not verdict.faults, str(verdict)
    assert verdict.runs == COUNT, verdict.runs


@then('the checker finds exactly "{rule}"')
def check_found(context: Context, rule: str) -> None:
    verdict = judge(context.calls, context.entries)
    assert {fault.rule for fault in verdict.faults} == {rule}, str(verdict)
