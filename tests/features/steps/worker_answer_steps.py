"""Steps about the ends of answers, on one connection to a played worker."""

from contextlib import suppress
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
from laburnumwood.upstream.worker import Worker, WorkerRequest

HOST = '127.0.0.1'
HALF = b'half'
HEAD = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
BODY = b'whole'
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n%b' % BODY
LIMIT_MS = 10_000
AT_ONCE = pack('ii', 1, 0)  # a close drops what is under way


def _send_half(context: Context, listener: Any) -> None:
    context.worker_end = listener.accept()[0]
    context.worker_end.recv(LIMIT_MS)
    context.worker_end.sendall(HEAD + HALF)


@given('a worker that sends half of an answer without a length')
def start_worker(context: Context) -> None:
    listener = eventlet.listen((HOST, 0))
    eventlet.spawn_n(_send_half, context, listener)
    worker = Worker(f'http://{HOST}:{listener.getsockname()[1]}', 1, Clock())
    context.answer = worker.send(WorkerRequest('GET', '/', (), b'', LIMIT_MS))


@when('the half is read and the worker ends the connection with {end}')
def end_connection(context: Context, end: str) -> None:
    parts = context.answer.chunks()
    assert next(parts) == HALF
    if end == 'a reset':
        context.worker_end.setsockopt(SOL_SOCKET, SO_LINGER, AT_ONCE)
    context.worker_end.close()
    try:
        context.outcome = 'cut' if list(parts) else 'whole'
    except WorkerAnswerError:
        context.outcome = 'cut'


@then('the answer is {what}')
def check_outcome(context: Context, what: str) -> None:
    assert context.outcome == what, context.outcome


@given('a worker that answers with "{head}" and three bytes')
def start_framing(context: Context, head: str) -> None:
    fields = head.replace(', ', '\r\n').replace(';', ', ')
    answer_once(context, f'HTTP/1.1 200 OK\r\n{fields}\r\n\r\nabc'.encode())


def answer_once(context: Context, answer: bytes) -> None:
    """Start a worker that sends an answer to a request and closes."""

    def send(sock: Any) -> None:
        sock.recv(LIMIT_MS)
        sock.sendall(answer)
        sock.close()

    context.sent = 0
    _start_worker(context, send)


@then('it is whole')
def check_whole(context: Context) -> None:
    assert context.verdict == b'abc', context.verdict


_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
ENDLESS = {  # what comes first, and what comes again and again after it
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
    first, again = ENDLESS[where]
    with suppress(OSError):
        sock.sendall(first)
        while True:
            sock.sendall(again)
            context.sent += len(again)


@given('a worker whose answers have no end in {where}')
def start_endless(context: Context, where: str) -> None:
    context.sent = 0

    def send(sock: Any) -> None:
        sock.recv(LIMIT_MS)
        _send_endless(context, sock, where)

    _start_worker(context, send)


@given('a worker whose heads come a byte every {pause:d} ms')
def start_trickling(context: Context, pause: int) -> None:
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
    context.worker = Worker(
        f'http://{HOST}:{listener.getsockname()[1]}', 1, Clock()
    )


def _count_turns(context: Context) -> None:
    while True:
        context.turns += 1
        eventlet.sleep(0)


@when('the answer to a request is read whole, up to {longest:d} bytes')
def read_endless(context: Context, longest: int) -> None:
    context.turns = 0
    counting = eventlet.spawn(_count_turns, context)
    context.add_cleanup(counting.kill)
    with Timeout(LIMIT_MS / MS_PER_SECOND):
        try:
            answer = _ask(context)
            context.verdict = answer.read_body(longest)
        except WorkerAnswerError as cut:
            context.verdict = cut


@then('it is cut')
def check_cut(context: Context) -> None:
    assert isinstance(context.verdict, WorkerAnswerError), context.verdict


@then('the worker could send less than {most:d} bytes')
def check_sent(context: Context, most: int) -> None:
    assert context.sent < most, context.sent


@then('other tasks went on meanwhile')
def check_turns(context: Context) -> None:
    assert context.turns, context.turns


@when('the answer to a request with {span:d} ms left is awaited')
def await_trickle(context: Context, span: int) -> None:
    clock = Clock()
    began_ms = clock.now_ms()
    with Timeout(LIMIT_MS / MS_PER_SECOND):
        try:
            context.verdict = context.worker.send(
                WorkerRequest('GET', '/', (), b'', span)
            )
        except WorkerAnswerError as cut:
            context.verdict = cut
    context.taken_ms = clock.now_ms() - began_ms


@then('it is given up as late after at most {most:d} ms')
def check_late(context: Context, most: int) -> None:
    assert isinstance(context.verdict, WorkerTimeoutError), context.verdict
    assert context.taken_ms <= most, context.taken_ms


def _answer_all(context: Context, listener: Any) -> None:
    while True:
        connection = listener.accept()[0]
        context.connected += 1
        eventlet.spawn_n(_answer_each, connection)


def _answer_each(connection: Any) -> None:
    while connection.recv(LIMIT_MS):
        connection.sendall(WHOLE)


@given('a worker that answers every request on a connection')
def start_answering(context: Context) -> None:
    context.connected = 0
    listener = eventlet.listen((HOST, 0))
    eventlet.spawn_n(_answer_all, context, listener)
    context.worker = Worker(
        f'http://{HOST}:{listener.getsockname()[1]}', 4, Clock()
    )


@when('{number:d} requests are sent to it and read one after the other')
def ask_often(context: Context, number: int) -> None:
    for _ in range(number):
        answer = context.worker.send(
            WorkerRequest('GET', '/', (), b'', LIMIT_MS)
        )
        assert b''.join(answer.chunks()) == BODY
        answer.release()


def _ask(context: Context) -> Any:
    return context.worker.send(WorkerRequest('GET', '/', (), b'', LIMIT_MS))


@when('the answer to a request is given back twice and closed')
def give_back_twice(context: Context) -> None:
    answer = _ask(context)
    assert b''.join(answer.chunks()) == BODY
    answer.release()
    answer.release()
    answer.close()


@when('{number:d} requests are sent to it before the first is read')
def ask_together(context: Context, number: int) -> None:
    answers = [_ask(context) for _ in range(number)]
    bodies = [b''.join(answer.chunks()) for answer in answers]
    assert set(bodies) == {BODY}, bodies


@then('it was connected to once')
def check_connected(context: Context) -> None:
    check_connections(context, 1)


@then('it was connected to {number:d} times')
def check_connections(context: Context, number: int) -> None:
    assert context.connected == number, context.connected


@given("a connection to the platform's worker that is {use}")
def use_connection(context: Context, use: str) -> None:
    start_answering(context)
    answer = _ask(context)
    if use == 'used again':
        assert b''.join(answer.chunks()) == BODY
        answer.release()
        answer = _ask(context)
    context.may_answer_earlier_request = answer.may_answer_earlier_request
    answer.close()


@when('it answers "own" with {status:d} and "{headers}"')
def answer_own(context: Context, status: int, headers: str) -> None:
    pairs = [each.split(': ') for each in headers.split(', ')]
    index = HeaderIndex((name, text) for name, text in pairs)
    work = SimpleNamespace(request_id='own')
    run: Any = SimpleNamespace(work=work)
    late = context.may_answer_earlier_request
    answer: Any = SimpleNamespace(
        status=status, index=index, may_answer_earlier_request=late
    )
    reporting: Any = None
    try:
        PlatformWorkerInterface(reporting).check(run, answer)
    except WorkerAnswerError:
        context.verdict = 'refused'
    else:
        context.verdict = 'taken'


@when(
    'the platform\'s worker refuses a request with {status:d} and load "{load}"'
)
def refuse_with_load(context: Context, status: int, load: str) -> None:
    index = HeaderIndex([('Not-Executed', '1'), ('Server-Load', load)])
    answer: Any = SimpleNamespace(status=status, index=index)
    reporting: Any = None
    context.verdict = PlatformWorkerInterface(reporting).refusal(answer, b'')


@then('that is read as "{what}"')
@then('that answer is {what}')
def check_verdict(context: Context, what: str) -> None:
    assert context.verdict == what, context.verdict
