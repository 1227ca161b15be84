"""Steps about the turns of long messages on their way out."""

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
from laburnumwood.protocol.messages import WholeAnswer
from laburnumwood.protocol.outlet import SendQueue, Transfer
from laburnumwood.protocol.peers import Dispatcher
from laburnumwood.records import NodeName
from laburnumwood.routing.exchange import Exchange, local_pair
from laburnumwood.routing.observed import LongAnswerDelays
from tests.features.steps.fake_clock import FakeClock
from tests.features.steps.gate_steps import make_gate_with
from tests.features.steps.plain_work import PLAIN_WORK

SHORT, LONG = 100, 90_000
READ_SIZE = 65_536
LONGEST_S = 5
SOON_S = 0.3  # twice as long as an outlet waits for news


@given('an outlet')
def make_outlet(context: Context) -> None:
    context.clock = FakeClock()
    context.send_queue = SendQueue(context.clock)
    context.tasks = []
    context.gone = {}


@given('{count:d} long messages before, which arrived after {span:d} ms each')
def send_before(context: Context, count: int, span: int) -> None:
    for _ in range(count):
        transfer = context.send_queue.acquire(LONG)
        context.clock.pass_ms(span)
        context.send_queue.release(transfer)


def _go(context: Context, number: int, size: int) -> None:
    context.gone[number] = context.send_queue.acquire(size)


@when('{count:d} long messages of {size:d} bytes ask to go')
def ask(context: Context, count: int, size: int) -> None:
    for number in range(count):
        task = eventlet.spawn(_go, context, number, size)
        context.add_cleanup(task.kill)
        context.tasks.append(task)
        eventlet.sleep(0)


@when('the first arrives after {span:d} ms')
def arrive(context: Context, span: int) -> None:
    context.clock.pass_ms(span)
    first: Transfer = context.gone[0]
    context.send_queue.release(first)
    eventlet.sleep(0)
    eventlet.sleep(0)


@when('{span:d} ms pass for the outlet')
def let_pass(context: Context, span: int) -> None:
    context.clock.pass_ms(span)
    eventlet.sleep(SOON_S)


@when('the second is given up')
def give_up(context: Context) -> None:
    context.tasks[1].kill()


@then('{count:d} of them has gone')
@then('{count:d} of them have gone')
def check_gone(context: Context, count: int) -> None:
    assert sorted(context.gone) == list(range(count)), context.gone


@then('the last of them has gone')
def check_last(context: Context) -> None:
    assert max(context.gone) == len(context.tasks) - 1, context.gone


@then('one more would wait for {span:d} ms')
def check_wait(context: Context, span: int) -> None:
    assert round(context.send_queue.queueing_delay_ms) == span, (
        context.send_queue.queueing_delay_ms
    )


@given(
    'answers of rank {rank:d} have {length:d} bytes, '
    'and those of rank {other:d} have {short:d}'
)
def note_lengths(
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
        context.answers.wait_ms(rank)
    )
    assert not context.answers.expected_wait_ms(other), context.answers.wait_ms(
        other
    )


class _Peer:
    """The other end of a link, which reads when it is told to."""

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

    def take(self, *, answers: bool) -> None:
        """Read what has come, and perhaps answer the pings in it."""
        with eventlet.Timeout(SOON_S, exception=False):
            while True:
                self._protocol.receive_data(self.sock.recv(READ_SIZE))
        for event in self._protocol.events_received():
            if event.opcode is Opcode.BINARY:
                _, message = decode(bytes(event.data))
                self.lengths.append(len(message.body))
        if answers:
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


@when('an answer of {length:d} bytes is sent on each')
def send_long(context: Context, length: int) -> None:
    for peer in context.peers:
        _send(context, peer, length)


@when('a short answer is sent to peer {number:d}')
def send_short(context: Context, number: int) -> None:
    _send(context, context.peers[number], SHORT)


@then('the peer {number:d} has it and the peer {other:d} has not')
def check_one(context: Context, number: int, other: int) -> None:
    context.peers[other].take(answers=False)
    assert not context.peers[other].lengths, context.peers[other].lengths


@when('the peer {number:d} has read what it has')
def read_all(context: Context, number: int) -> None:
    context.peers[number].take(answers=True)
    assert context.peers[number].lengths == [LONG]


@then('the peer {number:d} has the short one')
def check_short(context: Context, number: int) -> None:
    context.peers[number].take(answers=True)
    assert context.peers[number].lengths == [SHORT]


@then('the peer {number:d} has the long one')
def check_long(context: Context, number: int) -> None:
    context.peers[number].take(answers=True)
    assert context.peers[number].lengths == [SHORT, LONG]


class _Waiting:
    """Answers each request with an answer that can't leave yet."""

    def __init__(self) -> None:
        self.count = 0

    def execute(self, exchange: Exchange, _run: Any, _may_act: Any) -> None:
        """Run one request."""
        self.count += 1
        exchange.send(WholeAnswer(200, (), bytes(LONG)))


@given('a gate whose answers wait for the line')
def make_waiting_gate(context: Context) -> None:
    context.executor = _Waiting()
    make_gate_with(context, 0, context.executor)


def _hold(exchange: Any) -> Any:
    """Let what is sent on an exchange wait; return how to end that."""

    def wait(_message: Any) -> None:
        eventlet.sleep(LONGEST_S)

    hold = patch.object(exchange, 'send', wait)
    hold.start()
    return hold.stop


@when('{count:d} requests come one after the other')
def come(context: Context, count: int) -> None:
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
        deadline_ms=LONGEST_S * MS_PER_SECOND,
        idempotent=True,
    )


@then('all of them ran')
def check_ran(context: Context) -> None:
    assert context.executor.count == context.count, context.executor.count
