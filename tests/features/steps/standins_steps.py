"""Steps about the stand-ins for the platform and for workers."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import urllib3
from behave import given, then, when
from behave.model import Row
from behave.runner import Context

from standins.answers import RefusedError
from standins.platform.history import History, StoredObject
from standins.worker.bodies import body_of, checksum_of
from tests.features.steps.processes import Process

MS_PER_SECOND = 1_000
POLL_SECONDS = 0.01
LIMIT_SECONDS = 120
NON_HEADER_COLUMNS = ('request', 'body', 'status', 'answer')
ENDLESS_MS = 3_600_000
UNREAD_BYTES = 100_000_000


def _start(context: Context, name: str, *options: str) -> None:
    process = Process((f'standins.{name}', '--port', '0', *options))
    context.add_cleanup(process.stop)
    if not hasattr(context, 'standins'):
        context.standins = {}
        context.client = urllib3.PoolManager(
            retries=False,
            maxsize=4,
            timeout=LIMIT_SECONDS,
        )
        context.add_cleanup(context.client.clear)
    context.standins[name] = process


def _call(
    context: Context,
    name: str,
    request: str,
    **arguments: Any,
) -> urllib3.BaseHTTPResponse:
    method, path = request.split()
    url = context.standins[name].url + path
    return context.client.request(method, url, **arguments)


def _contains(actual: Any, expected: Any) -> bool:
    if isinstance(expected, dict):
        return isinstance(actual, dict) and all(
            key in actual and _contains(actual[key], part)
            for key, part in expected.items()
        )
    if isinstance(expected, list):
        return len(actual) == len(expected) and all(
            _contains(*pair) for pair in zip(actual, expected, strict=True)
        )
    return bool(actual == expected)


def _check_reply(
    reply: urllib3.BaseHTTPResponse,
    status: int,
    expected: str,
) -> None:
    assert reply.status == status, (reply.status, reply.data)
    assert _contains(reply.json(), json.loads(expected)), reply.data


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + LIMIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, 'the condition was not met in time'
        time.sleep(POLL_SECONDS)


def _header(column: str) -> str:
    return column if column.startswith('If-') else f'Laburnumwood-{column}'


def _headers(row: Row) -> dict[str, str]:
    return {
        _header(column): row[column]
        for column in row.headings
        if column not in NON_HEADER_COLUMNS and row[column]
    }


def _assert_closed(call: Callable[[], Any]) -> None:
    try:
        reply = call()
    except urllib3.exceptions.ProtocolError:
        return
    raise AssertionError(f'answered with {reply.status}: {reply.data!r}')


def _journal_matches(context: Context) -> bool:
    entries = _call(context, 'journal', 'GET /journal').json()
    columns = context.table.headings
    found = [
        tuple(
            '' if entry[name] is None else str(entry[name]) for name in columns
        )
        for entry in entries
    ]
    return found == [tuple(row.cells) for row in context.table]


def _check_row(context: Context, name: str, row: Row) -> None:
    call = partial(
        _call,
        context,
        name,
        row['request'],
        body=row.get('body') or None,
        headers=_headers(row),
    )
    if row['status'] == 'closed':
        _assert_closed(call)
    else:
        _check_reply(call(), int(row['status']), row['answer'])


@given('a stand-in platform')
def start_platform(context: Context) -> None:
    _start(context, 'platform')


@given('a stand-in journal')
def start_journal(context: Context) -> None:
    _start(context, 'journal')


@given('a stand-in worker with "{options}"')
def start_worker(context: Context, options: str) -> None:
    collector = context.standins['journal'].url
    url = f'{collector}/journal'
    _start(context, 'worker', '--journal-url', url, *options.split())


@given('the stand-in {name} was sent "{request}" with {body}')
def send(context: Context, name: str, request: str, body: str) -> None:
    reply = _call(context, name, request, body=body)
    assert reply.status == 200, reply.data


@then('the stand-in {name} answers')
def check_answers(context: Context, name: str) -> None:
    for row in context.table:
        _check_row(context, name, row)


@then('a stand-in object of {size:d} bytes is answered with status {status:d}')
def check_size(context: Context, size: int, status: int) -> None:
    body = json.dumps('x' * (size - len('""')))
    reply = _call(
        context,
        'platform',
        f'PUT /objects/config/{size}',
        body=body,
        headers={'If-None-Match': '*'},
    )
    assert reply.status == status, reply.data


def _start_call(
    context: Context, name: str, request: str, **headers: str
) -> None:
    executor = ThreadPoolExecutor(max_workers=1)
    context.add_cleanup(executor.shutdown, wait=False)
    context.started_call = executor.submit(
        _call,
        context,
        name,
        request,
        headers={_header(key): text for key, text in headers.items()},
    )


@when('"{request}" is started at the stand-in {name}')
def start_call(context: Context, request: str, name: str) -> None:
    _start_call(context, name, request)


@when('work "{request_id}" is started at the stand-in worker')
def start_work(context: Context, request_id: str) -> None:
    _start_call(context, 'worker', 'GET /work/a', Request=request_id)


@when('"{request}" at the stand-in {name} becomes {expected}')
def wait_for_answer(
    context: Context,
    request: str,
    name: str,
    expected: str,
) -> None:
    content = json.loads(expected)
    _wait_until(
        lambda: _contains(_call(context, name, request).json(), content)
    )


@then('the started call ends with status {status:d} and {expected}')
def check_started_call(context: Context, status: int, expected: str) -> None:
    _check_reply(context.started_call.result(LIMIT_SECONDS), status, expected)


@then('the started call was closed without an answer')
def check_started_call_closed(context: Context) -> None:
    _assert_closed(lambda: context.started_call.result(LIMIT_SECONDS))


@given('a stand-in history of {limit:d} events after {count:d} writes')
def fill_history(context: Context, limit: int, count: int) -> None:
    context.history = History(limit)
    for revision in range(1, count + 1):
        context.history.append(StoredObject('name', revision, revision))


@then('the events since {revision:d} are {versions}')
def check_history(context: Context, revision: int, versions: str) -> None:
    if versions == 'compacted':
        try:
            context.history.since(revision, '')
        except RefusedError as error:
            assert error.status == 410, error.status
            return
    events = context.history.since(revision, '')
    assert ', '.join(str(event.version) for event in events) == versions


@then('"{request}" at the stand-in {name} takes at least {limit_ms:d} ms')
def check_delay(
    context: Context,
    request: str,
    name: str,
    limit_ms: int,
) -> None:
    begun = time.monotonic()
    _call(context, name, request)
    taken_ms = (time.monotonic() - begun) * MS_PER_SECOND
    assert taken_ms >= limit_ms, taken_ms


@then('"{request}" at the stand-in {name} gets no answer within {ms:d} ms')
def check_silence(context: Context, request: str, name: str, ms: int) -> None:
    try:
        reply = _call(context, name, request, timeout=ms / MS_PER_SECOND)
    except urllib3.exceptions.TimeoutError:
        return
    raise AssertionError(f'answered with {reply.status}')


@when('the stand-in {name} is paused')
def pause(context: Context, name: str) -> None:
    context.standins[name].pause()


@when('the stand-in {name} is resumed')
def resume(context: Context, name: str) -> None:
    context.standins[name].resume()


@then('the stand-in worker ended with status {status:d}')
def check_exit(context: Context, status: int) -> None:
    assert context.standins['worker'].wait() == status


@then('the stand-in journal has')
def check_journal(context: Context) -> None:
    assert _journal_matches(context)


@when('the stand-in journal becomes')
@then('the stand-in journal becomes')
def wait_for_journal(context: Context) -> None:
    _wait_until(lambda: _journal_matches(context))


def _open_download(
    context: Context,
    size: int,
    chunks: str,
    request_id: str = 'r1',
) -> urllib3.BaseHTTPResponse:
    return _call(
        context,
        'worker',
        f'GET /work/a?bytes={size}&{chunks}',
        headers={'Laburnumwood-Request': request_id},
        preload_content=False,
    )


@then('a stand-in download of {size:d} bytes for "{request_id}" is complete')
def check_download(context: Context, size: int, request_id: str) -> None:
    reply = _open_download(context, size, 'chunk_ms=1', request_id)
    body = reply.read()
    assert body == body_of(request_id, size)
    assert reply.headers['Laburnumwood-Checksum'] == checksum_of(body)


@when('a stand-in download with an endless pause is closed by its caller')
def close_download(context: Context) -> None:
    reply = _open_download(context, UNREAD_BYTES, f'chunk_ms={ENDLESS_MS}')
    reply.read(1)
    reply.close()


@when('a stand-in download is left unread by its caller')
def leave_download_unread(context: Context) -> None:
    one_chunk = f'chunk_bytes={UNREAD_BYTES}'
    reply = _open_download(context, UNREAD_BYTES, one_chunk)
    context.add_cleanup(reply.close)
