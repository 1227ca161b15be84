"""Steps about the answers of a fake worker and how they end."""

from contextlib import suppress
from dataclasses import replace
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from types import SimpleNamespace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import Timeout

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import WorkerAnswerError, WorkerTimeoutError
from laburnumwood.header_index import HeaderIndex
from laburnumwood.platform.workers import PlatformWorkerInterface
from laburnumwood.upstream.worker import WorkerClient, WorkerRequest

HOST = '127.0.0.1'
HALF = b'half'
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
BODY = b'whole'
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n%b' % BODY
TIMEOUT_MS = 10_000
SECOND = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: own\r\n'
    b'Response-Stamp: second\r\n\r\n'
)
OWN_REQUEST = WorkerRequest('POST', '/', (), b'', TIMEOUT_MS, 'own')
RESET_ON_CLOSE = pack('ii', 1, 0)  # makes a close send a reset


def _send_half(context: Context, listener: Any) -> None:
    context.worker_socket = listener.accept()[0]
    context.worker_socket.recv(TIMEOUT_MS)
    context.worker_socket.sendall(HEAD + HALF)


@given('a worker that sends half of an answer without a length')
def start_worker(context: Context) -> None:
    listener = eventlet.listen((HOST, 0))
    eventlet.spawn_n(_send_half, context, listener)
    worker = WorkerClient(
        f'http://{HOST}:{listener.getsockname()[1]}', 1, Clock()
    )
    context.answer = worker.send(WorkerRequest('GET', '/', (), b'', TIMEOUT_MS))


@when('the half is read and the worker closes the connection with {end}')
def end_connection(context: Context, end: str) -> None:
    chunks = context.answer.chunks()
    assert next(chunks) == HALF
    if end == 'a reset':
        context.worker_socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    context.worker_socket.close()
    try:
        context.outcome = 'truncated' if list(chunks) else 'complete'
    except WorkerAnswerError:
        context.outcome = 'truncated'


@then('the answer is {what}')
def check_outcome(context: Context, what: str) -> None:
    assert context.outcome == what, context.outcome


@given('a worker that answers with "{head}" and three bytes')
def start_framed_answer(context: Context, head: str) -> None:
    fields = head.replace(', ', '\r\n').replace(';', ', ')
    answer_once(context, f'HTTP/1.1 200 OK\r\n{fields}\r\n\r\nabc'.encode())


@given('a worker that answers with status "{status}" and three bytes')
def start_status_answer(context: Context, status: str) -> None:
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\n'
    answer_once(context, f'{head}abc'.encode())


def answer_once(context: Context, answer: bytes) -> None:
    """Start a worker that answers one request and closes the connection."""

    def send(sock: Any) -> None:
        sock.recv(TIMEOUT_MS)
        sock.sendall(answer)
        sock.close()

    context.bytes_sent = 0
    _start_worker(context, send)


@then('the body is complete')
def check_complete(context: Context) -> None:
    assert context.verdict == b'abc', context.verdict


_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS = {  # the start of an answer, and the part that is sent repeatedly
    'the status line': (b'HTTP/1.1 200 ', b'O' * 4_096),
    'interim answers': (b'', b'HTTP/1.1 102 Wait\r\n\r\n' * 128),
    'a header': (b'HTTP/1.1 200 OK\r\nX-A: ', b'a' * 4_096),
    'the headers': (b'HTTP/1.1 200 OK\r\n', b'X-A: a\r\n' * 512),
    'the size of a chunk': (_CHUNKED, b'0' * 4_096),
    'the trailers': (b'%b0\r\n' % _CHUNKED, b'X-A: a\r\n' * 512),
    'a body of no length': (HEAD, b'b' * 4_096),
    'a chunked body': (_CHUNKED, b'1000\r\n%b\r\n' % (b'b' * 4_096)),
}


def _send_endless(context: Context, sock: Any, where: str) -> None:
    prefix, repeated = ENDLESS[where]
    with suppress(OSError):
        sock.sendall(prefix)
        while True:
            sock.sendall(repeated)
            context.bytes_sent += len(repeated)


@given('a worker whose answers are endless in {where}')
def start_endless_answer(context: Context, where: str) -> None:
    context.bytes_sent = 0

    def send(sock: Any) -> None:
        sock.recv(TIMEOUT_MS)
        _send_endless(context, sock, where)

    _start_worker(context, send)


@given('a worker that sends one byte of a head every {pause:d} ms')
def start_slow_head(context: Context, pause: int) -> None:
    def send(sock: Any) -> None:
        sock.sendall(b'HTTP/1.1 200 OK\r\nX-A: ')
        with suppress(OSError):
            while True:
                eventlet.sleep(pause / MS_PER_SECOND)
                sock.sendall(b'a')

    _start_worker(context, send)


def _start_worker(context: Context, send: Any) -> None:
    listener = eventlet.listen((HOST, 0))
    eventlet.spawn_n(lambda: send(listener.accept()[0]))
    context.worker = WorkerClient(
        f'http://{HOST}:{listener.getsockname()[1]}', 1, Clock()
    )


def _count_task_switches(context: Context) -> None:
    while True:
        context.task_switches += 1
        eventlet.sleep(0)


@when('the answer to a request is read completely, up to {longest:d} bytes')
def read_endless(context: Context, longest: int) -> None:
    context.task_switches = 0
    counting = eventlet.spawn(_count_task_switches, context)
    context.add_cleanup(counting.kill)
    with Timeout(TIMEOUT_MS / MS_PER_SECOND):
        try:
            answer = _send_request(context)
            context.verdict = answer.read_body(longest)
        except WorkerAnswerError as error:
            context.verdict = error


@then('the body is truncated')
def check_truncated(context: Context) -> None:
    assert isinstance(context.verdict, WorkerAnswerError), context.verdict


@then('the worker could send less than {most:d} bytes')
def check_sent(context: Context, most: int) -> None:
    assert context.bytes_sent < most, context.bytes_sent


@then('other tasks ran in the meantime')
def check_other_tasks(context: Context) -> None:
    assert context.task_switches, context.task_switches


@when('the answer to a request with {span:d} ms left is awaited')
def await_slow_head(context: Context, span: int) -> None:
    clock = Clock()
    began_ms = clock.now_ms()
    with Timeout(TIMEOUT_MS / MS_PER_SECOND):
        try:
            context.verdict = context.worker.send(
                WorkerRequest('GET', '/', (), b'', span)
            )
        except WorkerAnswerError as error:
            context.verdict = error
    context.duration_ms = clock.now_ms() - began_ms


@then('it times out after at most {most:d} ms')
def check_timed_out(context: Context, most: int) -> None:
    assert isinstance(context.verdict, WorkerTimeoutError), context.verdict
    assert context.duration_ms <= most, context.duration_ms


def _answer_all(context: Context, listener: Any) -> None:
    while True:
        connection = listener.accept()[0]
        context.connections += 1
        eventlet.spawn_n(_answer_each, connection)


def _answer_each(connection: Any) -> None:
    while connection.recv(TIMEOUT_MS):
        connection.sendall(WHOLE)


@given('a worker that answers every request on a connection')
def start_answering(context: Context) -> None:
    context.connections = 0
    listener = eventlet.listen((HOST, 0))
    eventlet.spawn_n(_answer_all, context, listener)
    context.worker = WorkerClient(
        f'http://{HOST}:{listener.getsockname()[1]}', 4, Clock()
    )


@when('{number:d} requests are sent to it one after the other')
def send_sequentially(context: Context, number: int) -> None:
    for _ in range(number):
        answer = context.worker.send(
            WorkerRequest('GET', '/', (), b'', TIMEOUT_MS)
        )
        assert b''.join(answer.chunks()) == BODY
        answer.release()


def _send_request(context: Context) -> Any:
    return context.worker.send(WorkerRequest('GET', '/', (), b'', TIMEOUT_MS))


@given(
    "a platform's worker that repeats its first answer when the request comes "
    'again'
)
def start_repeating(context: Context) -> None:
    context.sockets = []
    listener = eventlet.listen((HOST, 0))

    def serve(sock: Any) -> None:
        while sock.recv(TIMEOUT_MS):
            context.sockets.append(sock)
            context.sockets[0].sendall(context.first)
            if len(context.sockets) > 1:
                eventlet.sleep(0)
                sock.sendall(SECOND)

    def accept() -> None:
        while True:
            eventlet.spawn_n(serve, listener.accept()[0])

    eventlet.spawn_n(accept)
    context.worker = WorkerClient(
        f'http://{HOST}:{listener.getsockname()[1]}', 4, Clock()
    )


@when('a request that it answers with {status:d} and "{header}" is sent twice')
def send_twice(context: Context, status: int, header: str) -> None:
    head = f'HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n{header}'
    context.first = f'{head}\r\nAttempt-Id: own\r\n\r\n'.encode()
    for _ in range(2):
        context.answer = context.worker.send(OWN_REQUEST)
        assert not context.answer.read_body(0)
        context.answer.release()


@then('the second answer is that to the second sending')
def check_second(context: Context) -> None:
    assert context.answer.index.first('response-stamp') == 'second'


@when('{number:d} requests are sent to it, each of them twice')
def send_each_twice(context: Context, number: int) -> None:
    for each in range(2 * number):
        request = replace(OWN_REQUEST, request_id=str(each // 2))
        answer = context.worker.send(request)
        assert answer.read_body(len(BODY)) == BODY
        answer.release()


@when('the answer to a request is released twice and closed')
def release_twice(context: Context) -> None:
    answer = _send_request(context)
    assert b''.join(answer.chunks()) == BODY
    answer.release()
    answer.release()
    answer.close()


@when('{number:d} requests are sent to it before the first answer is read')
def send_concurrently(context: Context, number: int) -> None:
    answers = [_send_request(context) for _ in range(number)]
    bodies = [b''.join(answer.chunks()) for answer in answers]
    assert set(bodies) == {BODY}, bodies


@then('it has accepted one connection')
def check_connected(context: Context) -> None:
    check_connections(context, 1)


@then('it has accepted {number:d} connections')
def check_connections(context: Context, number: int) -> None:
    assert context.connections == number, context.connections


@given("a connection to the platform's worker that is {use}")
def use_connection(context: Context, use: str) -> None:
    start_answering(context)
    answer = _send_request(context)
    if use == 'reused':
        assert b''.join(answer.chunks()) == BODY
        answer.release()
        answer = _send_request(context)
    context.is_duplicate_possible = answer.may_answer_earlier_request
    answer.close()


@when('it answers "own" with {status:d} and "{headers}"')
def answer_with_headers(context: Context, status: int, headers: str) -> None:
    pairs = [each.split(': ') for each in headers.split(', ')]
    index = HeaderIndex((name, text) for name, text in pairs)
    work = SimpleNamespace(request_id='own')
    run: Any = SimpleNamespace(work=work)
    is_duplicate_possible = context.is_duplicate_possible
    answer: Any = SimpleNamespace(
        status=status,
        index=index,
        may_answer_earlier_request=is_duplicate_possible,
    )
    reporting: Any = None
    try:
        PlatformWorkerInterface(reporting).check_answer(run, answer)
    except WorkerAnswerError:
        context.verdict = 'discarded'
    else:
        context.verdict = 'accepted'


@when(
    'the platform\'s worker refuses a request with {status:d} and load "{load}"'
)
def refuse_with_load(context: Context, status: int, load: str) -> None:
    index = HeaderIndex([('Not-Executed', '1'), ('Server-Load', load)])
    answer: Any = SimpleNamespace(status=status, index=index)
    reporting: Any = None
    context.verdict = PlatformWorkerInterface(reporting).refusal_kind(
        answer, b''
    )


@then('that is interpreted as "{what}"')
@then('that answer is {what}')
def check_verdict(context: Context, what: str) -> None:
    assert context.verdict == what, context.verdict
