"""Steps about the queue for large messages to other nodes."""

import tracemalloc
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.green import socket
from websockets.frames import Opcode
from websockets.protocol import Protocol, Side, State

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.protocol import link as links
from laburnumwood.protocol.codec import decode
from laburnumwood.protocol.messages import Failure, WholeAnswer
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.protocol.send_queue import SendQueue, Transfer
from laburnumwood.records import NodeName
from laburnumwood.routing.exchange import Exchange, local_pair
from laburnumwood.routing.observed import LongAnswerDelays
from laburnumwood.routing.read_ahead import ReadAhead
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.gate_steps import make_gate_with
from tests.features.steps.plain_work import PLAIN_WORK

SHORT, LARGE = 100, 90_000
READ_SIZE = 65_536
LIMIT_S = 5
SETTLE_S = 0.3  # longer than the send queue waits between two checks


@given('a send queue')
def make_send_queue(context: Context) -> None:
    context.clock = FakeClock()
    context.send_queue = SendQueue(context.clock)
    context.tasks = []
    context.sent = {}


@given('{count:d} earlier messages that took {span:d} ms each')
def send_before(context: Context, count: int, span: int) -> None:
    for _ in range(count):
        transfer = context.send_queue.acquire(LARGE)
        context.clock.pass_ms(span)
        context.send_queue.release(transfer)


def _acquire(context: Context, number: int, size: int) -> None:
    context.sent[number] = context.send_queue.acquire(size)


@when('{count:d} message of {size:d} bytes is queued')
@when('{count:d} messages of {size:d} bytes are queued')
def queue_messages(context: Context, count: int, size: int) -> None:
    for number in range(count):
        task = eventlet.spawn(_acquire, context, number, size)
        context.add_cleanup(task.kill)
        context.tasks.append(task)
        eventlet.sleep(0)


@when('the first message arrives after {span:d} ms')
def arrive(context: Context, span: int) -> None:
    context.clock.pass_ms(span)
    first: Transfer = context.sent[0]
    context.send_queue.release(first)
    eventlet.sleep(0)
    eventlet.sleep(0)


@when('{span:d} ms pass for the send queue')
def let_pass(context: Context, span: int) -> None:
    context.clock.pass_ms(span)
    eventlet.sleep(SETTLE_S)


@when('the second message is cancelled')
def cancel(context: Context) -> None:
    context.tasks[1].kill()


@then('{count:d} of them is sent')
@then('{count:d} of them are sent')
def check_sent(context: Context, count: int) -> None:
    assert sorted(context.sent) == list(range(count)), context.sent


@then('the last of them is sent')
def check_last(context: Context) -> None:
    assert max(context.sent) == len(context.tasks) - 1, context.sent


@then('another message would wait for {span:d} ms')
def check_wait(context: Context, span: int) -> None:
    assert round(context.send_queue.queueing_delay_ms) == span, (
        context.send_queue.queueing_delay_ms
    )


@given(
    'answers of rank {rank:d} have {length:d} bytes, '
    'and those of rank {other:d} have {short:d}'
)
def record_lengths(
    context: Context, rank: int, length: int, other: int, short: int
) -> None:
    context.answers = LongAnswerDelays(context.send_queue, context.clock)
    context.answers.record(rank, length)
    context.answers.record(other, short)


@then(
    'an answer of rank {rank:d} would wait for {span:d} ms '
    'and one of rank {other:d} for 0 ms'
)
def check_ranks(context: Context, rank: int, span: int, other: int) -> None:
    assert context.answers.expected_wait_ms(rank) == span, (
        context.answers.expected_wait_ms(rank)
    )
    assert not context.answers.expected_wait_ms(other), (
        context.answers.expected_wait_ms(other)
    )


class _Peer:
    """The peer of a link, which reads only in `receive`."""

    def __init__(self, context: Context, number: int) -> None:
        near, self.sock = socket.socketpair()
        self._protocol = Protocol(Side.SERVER, state=State.OPEN)
        self.lengths: list[int] = []
        self.link = links.Link(
            Protocol(Side.CLIENT, state=State.OPEN),
            near,
            NodeName(f'peer-{number}', 1),
            Dispatcher().handle,
            Clock(),
        )
        eventlet.spawn_n(self.link.run)
        context.add_cleanup(self.link.close)

    def receive(self, *, answers_pings: bool) -> None:
        """Read all data and, if `answers_pings`, answer the pings in it."""
        with eventlet.Timeout(SETTLE_S, exception=False):
            while True:
                self._protocol.receive_data(self.sock.recv(READ_SIZE))
        for event in self._protocol.events_received():
            if event.opcode is Opcode.BINARY:
                _, message = decode(bytes(event.data))
                self.lengths.append(len(message.body))
        if answers_pings:
            self.sock.sendall(b''.join(self._protocol.data_to_send()))


@given('links to {count:d} peers')
def make_links(context: Context, count: int) -> None:
    fresh = patch.object(
        links, 'SEND_QUEUE', SendQueue(FakeClock()), create=True
    )
    fresh.start()
    context.add_cleanup(fresh.stop)
    context.peers = [_Peer(context, number) for number in range(count)]


def _send(context: Context, peer: _Peer, length: int) -> None:
    answer = WholeAnswer(200, (), bytes(length))
    task = eventlet.spawn(peer.link.send, 1, answer)
    context.add_cleanup(task.kill)
    eventlet.sleep(0)


@when('{count:d} requests with a body of {length:d} bytes wait for one link')
def send_waiting(context: Context, count: int, length: int) -> None:
    work = replace(PLAIN_WORK, body_length=length, body=bytes(length))
    link = context.peers[0].link
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for stream in range(1, count + 1):
        task = eventlet.spawn(link.send, stream, work)
        context.add_cleanup(task.kill)
    eventlet.sleep(0)
    context.taken = tracemalloc.get_traced_memory()[0]


@then('they take less than {size:d} bytes besides their bodies')
def check_taken(context: Context, size: int) -> None:
    assert context.taken < size, context.taken


@when('an answer of {length:d} bytes is sent on each link')
def send_large(context: Context, length: int) -> None:
    for peer in context.peers:
        _send(context, peer, length)


@when('a short answer is sent to peer {number:d}')
def send_short(context: Context, number: int) -> None:
    _send(context, context.peers[number], SHORT)


@then('peer {number:d} has received it and peer {other:d} has not')
def check_first_only(context: Context, number: int, other: int) -> None:
    context.peers[other].receive(answers_pings=False)
    assert not context.peers[other].lengths, context.peers[other].lengths


@when('peer {number:d} reads all data')
def read_all(context: Context, number: int) -> None:
    context.peers[number].receive(answers_pings=True)
    assert context.peers[number].lengths == [LARGE]


@then('peer {number:d} has received the short answer')
def check_short(context: Context, number: int) -> None:
    context.peers[number].receive(answers_pings=True)
    assert context.peers[number].lengths == [SHORT]


@then('peer {number:d} has received the long answer')
def check_large(context: Context, number: int) -> None:
    context.peers[number].receive(answers_pings=True)
    assert context.peers[number].lengths == [SHORT, LARGE]


class _LargeAnswers:
    """Answers each request with a large answer."""

    def __init__(self) -> None:
        self.count = 0

    def execute(self, exchange: Exchange, _run: Any, _may_act: Any) -> None:
        """Answer one request."""
        self.count += 1
        exchange.send(WholeAnswer(200, (), bytes(LARGE)))


@given('a gate whose answers wait to be sent')
def make_waiting_gate(context: Context) -> None:
    context.executor = _LargeAnswers()
    make_gate_with(context, 0, context.executor)


def _hold(exchange: Any) -> Any:
    """Block `send` of an exchange; return a function that ends it."""

    def wait(_message: Any) -> None:
        eventlet.sleep(LIMIT_S)

    hold = patch.object(exchange, 'send', wait)
    hold.start()
    return hold.stop


@when('{count:d} requests arrive one after the other')
def send_requests(context: Context, count: int) -> None:
    context.count = count
    for number in range(count):
        _, far = local_pair()
        context.add_cleanup(_hold(far))
        work = _work(number)
        task = eventlet.spawn(context.gate.serve, far, work)
        context.add_cleanup(task.kill)
        eventlet.sleep(0)


def _work(number: int) -> Any:
    return replace(
        PLAIN_WORK,
        request_id=f'request-{number}',
        service='s',
        shard=-1,
        deadline_ms=LIMIT_S * MS_PER_SECOND,
        idempotent=True,
    )


@then('all requests ran')
def check_ran(context: Context) -> None:
    assert context.executor.count == context.count, context.executor.count


class _BlockedExchange:
    """An exchange on which nothing is ever sent."""

    def send(self, _message: Any) -> None:
        eventlet.sleep(LIMIT_S)


@when('an answer of {size:d} bytes is read ahead')
def read_ahead(context: Context, size: int) -> None:
    exchange: Any = _BlockedExchange()
    context.read_ahead = ReadAhead(exchange, context.send_queue)
    context.add_cleanup(context.read_ahead.close)
    context.read_ahead.read((bytes(size // 2), bytes(size // 2)))


@when('that answer is given up')
def give_up(context: Context) -> None:
    context.read_ahead.close()


@given(
    'two answers of which the first parts of {size:d} bytes are on their way'
)
def begin_answers(context: Context, size: int) -> None:
    context.turns = [context.send_queue.new_turn() for _ in range(2)]
    _queue_part(context, 0, size, 0)


def _queue_part(context: Context, number: int, size: int, place: int) -> None:
    def acquire() -> None:
        turn = context.turns[place]
        context.sent[number] = context.send_queue.acquire(size, turn)

    task = eventlet.spawn(acquire)
    context.add_cleanup(task.kill)
    eventlet.sleep(0)


@when('the next part of the second and then that of the first are queued')
def queue_next_parts(context: Context) -> None:
    _queue_part(context, 1, LARGE, 1)
    _queue_part(context, 2, LARGE, 0)


@then('the next part of the first answer is sent and that of the second is not')
def check_order(context: Context) -> None:
    assert context.sent.keys() == {0, 2}, context.sent


@given(
    'a gate with free slots whose answers of rank {rank:d} wait {wait_ms:d} ms '
    'to be sent'
)
def make_gate_with_delays(context: Context, rank: int, wait_ms: int) -> None:
    def wait_of(_delays: LongAnswerDelays, of_rank: int) -> int:
        return wait_ms if of_rank == rank else 0

    delays = patch.object(LongAnswerDelays, 'expected_wait_ms', wait_of)
    context.add_cleanup(delays.stop)
    delays.start()
    make_gate_with(context, 0, _LargeAnswers())


@when(
    'a request useful for {objective_ms:d} ms and with {left_ms:d} ms left '
    'arrives'
)
def send_with_objective(
    context: Context, objective_ms: int, left_ms: int
) -> None:
    context.near, far = local_pair()
    work = replace(
        PLAIN_WORK,
        shard=-1,
        priority=2,
        idempotent=True,
        objective_ms=objective_ms,
        deadline_ms=left_ms,
    )
    context.gate.serve(far, work)


@then('the request for a large answer is {what}')
def check_admitted(context: Context, what: str) -> None:
    found = context.near.receive(LIMIT_S * MS_PER_SECOND)
    wanted = {'served': WholeAnswer, 'returned': Failure}[what]
    assert isinstance(found, wanted), type(found)
