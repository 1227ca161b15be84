"""Steps about messages between nodes."""

import json
from typing import Any

from behave import then, when
from behave.runner import Context
from cbor2 import dumps
from hypothesis import given as given_any
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from laburnumwood.errors import ProtocolError
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.messages import KINDS, Changes
from laburnumwood.records import NodeName, StoredObject

_NAMES = st.builds(NodeName, st.sampled_from('abc'), st.integers(1, 9))


@then('each kind of message is decoded as it was encoded')
def check_round_trip(context: Context) -> None:
    st.register_type_strategy(NodeName, _NAMES)
    st.register_type_strategy(float, st.floats(0, 9))
    for message_type in KINDS.values():
        _check_type(message_type)


def _messages(message_type: type[Any]) -> st.SearchStrategy[Any]:
    # Values of stored objects are arbitrary JSON objects.
    objects = st.builds(
        StoredObject,
        st.text(max_size=3),
        st.none() | st.dictionaries(st.text(max_size=3), st.integers(0, 9)),
        st.integers(0, 9),
    )
    if message_type is Changes:
        return st.builds(
            Changes, objects=st.lists(objects, max_size=2).map(tuple)
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
