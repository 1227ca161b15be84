"""Steps about an answer whose parts still come after its deadline."""

import eventlet
from behave import then, when
from behave.runner import Context

from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.errors import LinkError, LinkTimeoutError
from laburnumwood.protocol.messages import Answer, Chunk, End
from laburnumwood.protocol.streams import Stream
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.tasks import start

PART = bytes(0x10000)


def _send_parts(stream: Stream, clock: Clock, until_ms: int) -> None:
    length = 0
    while clock.now_ms() < until_ms:
        stream.send(Chunk(PART))
        length += len(PART)
        eventlet.sleep(0)
    stream.send(End(length))


@when(
    'an answer with {deadline:d} ms left is read, and its parts come for '
    '{span:d} ms'
)
def read_answer(context: Context, deadline: int, span: int) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    local_end, remote_end = local_pair()
    start(_send_parts, remote_end, clock, started_ms + span)
    answer = PendingAnswer(
        Answer(200, ()), local_end, started_ms + deadline, clock
    )
    context.failure = None
    try:
        for _ in answer.body():
            eventlet.sleep(0)
    except LinkError as failure:
        context.failure = failure
    answer.close()
    context.elapsed_ms = clock.now_ms() - started_ms


@when(
    'an answer with {deadline:d} ms left has come whole, and is read after '
    '{span:d} ms'
)
def read_late(context: Context, deadline: int, span: int) -> None:
    clock = Clock()
    local_end, remote_end = local_pair()
    until_ms = clock.now_ms() + deadline
    remote_end.send(Chunk(PART))
    remote_end.send(End(len(PART)))
    answer = PendingAnswer(Answer(200, ()), local_end, until_ms, clock)
    eventlet.sleep(span / MS_PER_SECOND)
    context.parts = list(answer.body())


@then('it is cut within {span:d} ms')
def check_cut(context: Context, span: int) -> None:
    assert isinstance(context.failure, LinkTimeoutError), context.failure
    assert context.elapsed_ms <= span, context.elapsed_ms


@then('it is whole')
def check_whole(context: Context) -> None:
    assert context.parts == [PART], len(context.parts)
