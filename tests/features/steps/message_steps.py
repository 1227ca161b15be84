"""Steps about messages between nodes."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import eventlet
from behave import then, when
from behave.runner import Context
from cbor2 import dumps, loads
from eventlet.green import socket
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from laburnumwood.clock import Clock
from laburnumwood.errors import LinkError, MessageUnknownError, ProtocolError
from laburnumwood.protocol import handshake
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.handshake import (
    accept_handshake,
    accepts_added_fields,
    accepts_added_messages,
    dial,
)
from laburnumwood.protocol.kinds import ADDED, KINDS
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Answer, LoadReport, WholeAnswer
from laburnumwood.protocol.security import LinkSecurity
from laburnumwood.protocol.store_messages import (
    Changes,
    ConfigCheck,
    ConfigState,
    Memory,
)
from laburnumwood.records import NodeName, SentObject, WorkerNotice
from laburnumwood.resources.bodies import BodyBuffer, MappedBody
from tests.features.steps.plain_work import PLAIN_WORK

NOTICE = WorkerNotice('worker', 1_700_000_000_000, True, 50.6, 4.5)
MESSAGES: dict[str, Any] = {
    'work': PLAIN_WORK,
    'answer': Answer(200, ()),
    'whole-answer': WholeAnswer(200, (), b'x'),
    'load': LoadReport(3, {1: 0.5}),
}
SECURITY = LinkSecurity('a key of the tests only')
# What nodes of each version of the protocol offer and know.
OFFERS: dict[str, Any] = {
    'old': None,
    'middle': [handshake.ADDED_FIELDS],
    'new': handshake.OFFERED,
}
_NAMES = st.builds(NodeName, st.sampled_from('abc'), st.integers(1, 9))


@then('a body of {size:d} bytes is encoded alike in a mapping and in the heap')
def check_mapped(context: Context, size: int) -> None:
    content = b'x' * size
    with BodyBuffer(size) as buffer:
        buffer.append(content)
        body = buffer.finish()
    assert isinstance(body, MappedBody)
    mapped, plain = (
        encode(1, replace(PLAIN_WORK, body_length=size, body=each))
        for each in (body, content)
    )
    assert mapped == plain


@then('each kind of message is decoded as it was encoded')
def check_round_trip(context: Context) -> None:
    st.register_type_strategy(NodeName, _NAMES)
    st.register_type_strategy(float, st.floats(0, 9))
    st.register_type_strategy(MappedBody, st.binary())  # sent as one
    for message_type in KINDS.values():
        _check_type(message_type)


def _messages(message_type: type[Any]) -> st.SearchStrategy[Any]:
    # Values of stored objects are arbitrary JSON objects.
    objects = st.builds(
        SentObject,
        st.text(max_size=3),
        st.none() | st.dictionaries(st.text(max_size=3), st.integers(0, 9)),
        st.integers(0, 9),
        st.integers(0, 3),
    )
    if message_type is ConfigState:
        return st.builds(message_type, config=st.none() | objects)
    if message_type in {Changes, Memory}:
        return st.builds(
            message_type, objects=st.lists(objects, max_size=2).map(tuple)
        )
    return st.from_type(message_type)


def _check_type(message_type: type[Any]) -> None:
    @hypothesis_settings(
        max_examples=10, derandomize=True, database=None, deadline=None
    )
    @given_any(_messages(message_type), st.integers(1, 9))
    def check(message: Any, stream: int) -> None:
        decoded = decode(encode(stream, message))
        assert decoded == (stream, message), (decoded, message)

    check()


@when('a frame of kind "{kind}" has the values {values}')
def send_frame(context: Context, kind: str, values: str) -> None:
    context.frame = dumps((1, kind, *json.loads(values)))


@then('the frame is rejected')
def check_rejected(context: Context) -> None:
    try:
        decoded = decode(context.frame)
    except ProtocolError:
        return
    raise AssertionError(decoded)


@when('a message of kind "{kind}" has all added fields set')
def add_fields(context: Context, kind: str) -> None:
    context.plain = MESSAGES[kind]
    context.message = replace(MESSAGES[kind], worker=NOTICE)


def _value_count(frame: bytes) -> int:
    return len(loads(frame)) - 2  # less the stream and the kind


@then('a peer that does not know them gets {count:d} values')
def check_first_version(context: Context, count: int) -> None:
    frame = encode(1, context.message, accepts_added_fields=False)
    assert _value_count(frame) == count, loads(frame)
    assert decode(frame) == (1, context.plain), decode(frame)


@then('a peer that knows them gets the message whole')
def check_added(context: Context) -> None:
    decoded = decode(encode(1, context.message))
    assert decoded == (1, context.message), decoded


@then('without them it has {count:d} values for each peer')
def check_plain(context: Context, count: int) -> None:
    for accepts in (True, False):
        frame = encode(1, context.plain, accepts_added_fields=accepts)
        assert _value_count(frame) == count, loads(frame)


def _accept_once(listener: Any, accepted: list[Any], receiver: str) -> None:
    sock, _ = listener.accept()
    known = OFFERS[receiver] or ()
    with patch.object(handshake, '_KNOWN', known):
        accepted.append(accept_handshake(sock, SECURITY)[0])


@contextmanager
def _connection(caller: str, receiver: str) -> Iterator[tuple[Any, Any, Any]]:
    """Connect nodes of two versions; yield both protocols and the socket."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    accepted: list[Any] = []
    server = eventlet.spawn(_accept_once, listener, accepted, receiver)
    with patch.object(handshake, 'OFFERED', OFFERS[caller]):
        host, port = listener.getsockname()
        protocol, sock = dial(host, port, NodeName('a', 1), SECURITY)
    server.wait()
    yield protocol, accepted[0], sock
    sock.close()
    listener.close()


def _is_used(caller: str, receiver: str) -> set[tuple[bool, bool]]:
    with _connection(caller, receiver) as (*protocols, _):
        return {
            (accepts_added_fields(each), accepts_added_messages(each))
            for each in protocols
        }


@when('a node asks one of an earlier version for its configuration')
def ask_earlier(context: Context) -> None:
    unused: Any = None
    with _connection('new', 'middle') as (protocol, _, sock):
        link = Link(protocol, sock, NodeName('b', 1), unused, Clock())
        try:
            link.open_stream().send(ConfigCheck(1, renews=True))
        except LinkError as error:
            context.error = error
        context.is_open = link.is_open


@then('it learns at once that the peer does not know the message')
def check_unknown(context: Context) -> None:
    assert isinstance(context.error, MessageUnknownError), context.error


@then('the link is still open')
def check_open(context: Context) -> None:
    assert context.is_open


@then('links between nodes use added fields and messages as follows')
def check_links(context: Context) -> None:
    for caller, receiver, fields, messages in context.table:
        found = _is_used(caller, receiver)
        expected = fields == 'yes', messages == 'yes'
        assert found == {expected}, (caller, receiver, found)


@then('these messages have added fields, and no others')
def check_added_fields(context: Context) -> None:
    known = {row['kind']: tuple(row['fields'].split()) for row in context.table}
    assert known == {kind: added for kind, added in ADDED.items() if added}
