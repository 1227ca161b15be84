"""Steps about messages that are sent to a peer within a time limit."""

from dataclasses import replace
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from laburnumwood.clock import Clock
from laburnumwood.errors import (
    LinkError,
    LinkTimeoutError,
    MessageNotSentError,
)
from laburnumwood.protocol.messages import Cancel, Chunk, Done
from laburnumwood.protocol.streams import WINDOW_SIZE, Stream
from laburnumwood.protocol.time_limit import time_limit
from tests.features.steps.link_steps import PEER, start_silent
from tests.features.steps.plain_work import PLAIN_WORK

MAX_REQUESTS = 64  # exceed the buffers of a connection


@when(
    'requests of {size:d} bytes are sent on it within {limit_ms:d} ms each '
    'until one was not sent'
)
def send_requests(context: Context, size: int, limit_ms: int) -> None:
    work = replace(PLAIN_WORK, body=bytes(size), body_length=size)
    context.failures = []
    clock = Clock()
    for _ in range(MAX_REQUESTS):
        started_ms = clock.now_ms()
        stream = context.peers.open_stream(PEER, survives_silence=lambda: True)
        try:
            with time_limit(limit_ms, 'the time was over'):
                stream.send(work)
        except LinkTimeoutError as failure:
            context.failures.append(failure)
            context.took_ms = clock.now_ms() - started_ms
            eventlet.sleep(0)  # what is left of it is sent by another task
            if isinstance(failure, MessageNotSentError):
                return
    raise AssertionError('the link was not blocked')


@then('it ended within {limit_ms:d} ms, and one before it may have been sent')
def check_failures(context: Context, limit_ms: int) -> None:
    assert context.took_ms <= limit_ms, context.took_ms
    first = context.failures[0]
    assert not isinstance(first, MessageNotSentError), repr(first)


def _send_within(stream: Stream, message: Any, limit_ms: int) -> None:
    try:
        with time_limit(limit_ms, 'the time was over'):
            stream.send(message)
    except LinkError:
        return


@when(
    '{count:d} requests of {size:d} bytes are sent on it at the same time '
    'within {limit_ms:d} ms each'
)
def send_at_once(
    context: Context, count: int, size: int, limit_ms: int
) -> None:
    work = replace(PLAIN_WORK, body=bytes(size), body_length=size)
    context.stream = context.peers.open_stream(
        PEER, survives_silence=lambda: True
    )
    senders = [
        eventlet.spawn(
            _send_within,
            context.peers.open_stream(PEER, survives_silence=lambda: True),
            work,
            limit_ms,
        )
        for _ in range(count)
    ]
    for sender in senders:
        sender.wait()


@then('its link is closed within {limit_ms:d} ms')
def check_closed(context: Context, limit_ms: int) -> None:
    clock = Clock()
    started_ms = clock.now_ms()
    try:
        context.stream.receive(limit_ms)
    except LinkTimeoutError as error:
        raise AssertionError('the link is still open') from error
    except LinkError:
        assert clock.now_ms() - started_ms <= limit_ms


@given('a peer that answers the handshake after {delay_ms:d} ms')
def start_slow(context: Context, delay_ms: int) -> None:
    start_silent(context)
    context.connections = 1  # none of its connections becomes silent
    context.handshake_delay_ms = delay_ms


@when('{count:d} calls with a timeout of {timeout_ms:d} ms are made to it')
def call_slow(context: Context, count: int, timeout_ms: int) -> None:
    context.outcomes = []
    for _ in range(count):
        try:
            answer = context.peers.call(PEER, Cancel(), timeout_ms)
        except LinkError as error:
            answer = error
        context.outcomes.append(answer)


@then('the last call was answered, over one connection')
def check_one_connection(context: Context) -> None:
    assert isinstance(context.outcomes[-1], Done), context.outcomes
    assert context.connections == 2, context.connections


@when('a body of {size:d} bytes is read on it within {limit_ms:d} ms')
def read_body(context: Context, size: int, limit_ms: int) -> None:
    until_ms = Clock().now_ms() + limit_ms
    for _ in range(0, size, WINDOW_SIZE // 4):
        context.stream.deliver(Chunk(bytes(WINDOW_SIZE // 4)))
        context.stream.receive(max(0, until_ms - Clock().now_ms()))
    context.over_ms = max(0, Clock().now_ms() - until_ms)


@then('reading has ended in time')
def check_reading(context: Context) -> None:
    assert not context.over_ms, context.over_ms
