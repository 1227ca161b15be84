"""Encoding of messages as CBOR arrays.

An array holds the number of the stream, the kind of the message and its
values.
"""

from dataclasses import fields
from functools import cache
from itertools import chain
from typing import Any

from cbor2 import CBORError, dumps, loads
from pydantic import TypeAdapter, ValidationError

from laburnumwood.errors import ProtocolError
from laburnumwood.metrics import MESSAGE_BYTES, MESSAGES
from laburnumwood.protocol import messages, store_messages
from laburnumwood.protocol.kinds import (
    ADDED,
    ADDED_KINDS,
    FREQUENT,
    KINDS,
)
from laburnumwood.resources.bodies import Body

MAX_FRAME_SIZE = 4 * 1024 * 1024  # bytes

Headers = messages.Headers
Status = messages.Status
MESSAGE_MODULES = (messages, store_messages)  # which register their kinds
_KIND_BY_TYPE = {message_type: kind for kind, message_type in KINDS.items()}
# The fields of the first version of the protocol.
_FIELDS = {
    kind: tuple(
        each.name
        for each in fields(message_type)
        if each.name not in ADDED[kind]
    )
    for kind, message_type in KINDS.items()
}


class _FrequentCodec:
    """Encodes one kind of frequent message without pydantic, for speed.

    The values of these messages are of plain types.  Headers are encoded as
    one list in which names and values alternate.
    """

    def __init__(self, kind: str) -> None:
        message_type = KINDS[kind]
        types = [
            each.type
            for each in fields(message_type)
            if each.name in _FIELDS[kind]
        ]
        self._message_type = message_type
        self._field_names = _FIELDS[kind]
        self._headers_index = types.index(Headers) if Headers in types else -1
        self._status_index = types.index(Status) if Status in types else -1
        self._body_index = types.index(Body) if Body in types else -1
        self._value_types = [_sent_type(each) for each in types]

    def to_values(self, message: Any) -> list[Any]:
        """Return the values of a message in the form in which they are sent."""
        values = [getattr(message, name) for name in self._field_names]
        if self._headers_index >= 0:
            pairs = values[self._headers_index]
            values[self._headers_index] = list(chain.from_iterable(pairs))
        if self._body_index >= 0:
            values[self._body_index] = bytes(values[self._body_index])
        return values

    def from_values(self, values: list[Any], added: dict[str, Any]) -> Any:
        """Return the message with some values; raises `ProtocolError`."""
        if list(map(type, values)) != self._value_types:
            raise ProtocolError(
                f'{self._message_type.__name__}: values of wrong types'
            )
        if self._headers_index >= 0:
            values[self._headers_index] = _pair_headers(
                values[self._headers_index]
            )
        if self._status_index >= 0:
            _check_status(values[self._status_index])
        if added:
            content = dict(zip(self._field_names, values, strict=True))
            return self._message_type(**content, **added)
        return self._message_type(*values)


def _sent_type(annotation: Any) -> Any:
    """Return the type in which the values of a field are sent."""
    if annotation is Headers:
        return list
    if annotation is Body:
        return bytes
    return int if annotation is Status else annotation


def _check_status(status: int) -> None:
    if not messages.FIRST_STATUS <= status <= messages.LAST_STATUS:
        raise ProtocolError(f'no answer has status {status}')


def _pair_headers(values: list[Any]) -> Headers:
    """Return a list of alternating names and values as pairs."""
    if len(values) % 2 or not _STR.issuperset(map(type, values)):
        raise ProtocolError('headers are not pairs of strings')
    return tuple(zip(values[::2], values[1::2], strict=True))


_STR = frozenset((str,))
_FREQUENT_CODECS = {kind: _FrequentCodec(kind) for kind in FREQUENT}


@cache
def _adapter(kind: str) -> TypeAdapter[Any]:
    # Created at first use: creating all of them would take a tenth of the
    # time that a node needs to start.
    return TypeAdapter(KINDS[kind])


@cache
def _added_adapter(kind: str, name: str) -> TypeAdapter[Any]:
    types: dict[str, Any] = {
        each.name: each.type for each in fields(KINDS[kind])
    }
    return TypeAdapter(types[name])


def _added_values(kind: str, message: Any) -> list[Any]:
    """Return the values of the added fields up to the last that is set."""
    added = [(name, getattr(message, name)) for name in ADDED[kind]]
    while added and added[-1][1] is None:
        added.pop()
    return [
        _added_adapter(kind, name).dump_python(content)
        for name, content in added
    ]


def _read_added(kind: str, values: list[Any]) -> dict[str, Any]:
    """Return the added fields with some values; raises `ValidationError`."""
    pairs = zip(ADDED[kind], values, strict=False)
    return {
        name: _added_adapter(kind, name).validate_python(content)
        for name, content in pairs
    }


def is_added(message: Any) -> bool:
    """Return whether only peers that accept added messages know a message."""
    return _KIND_BY_TYPE[type(message)] in ADDED_KINDS


def encode(
    stream: int, message: Any, *, accepts_added_fields: bool = True
) -> bytes:
    """Return the frame that carries a message on a stream.

    A peer that does not accept added fields rejects messages that have any.
    """
    kind = _KIND_BY_TYPE[type(message)]
    codec = _FREQUENT_CODECS.get(kind)
    if codec is None:
        content = _adapter(kind).dump_python(message)
        values = [content[name] for name in _FIELDS[kind]]
    else:
        values = codec.to_values(message)
    if accepts_added_fields and ADDED[kind]:
        values += _added_values(kind, message)
    frame = dumps((stream, kind, *values))
    MESSAGES.record(1, {'kind': kind})
    MESSAGE_BYTES.record(len(frame), {'kind': kind})
    return frame


def decode(frame: bytes) -> tuple[int, Any]:
    """Return the number of the stream and the message in a frame.

    Raises `ProtocolError` for a frame that is not a valid message.
    """
    try:
        stream, kind, *values = loads(frame)
    except (CBORError, TypeError, ValueError) as error:
        raise ProtocolError(f'frame is not readable: {error}') from None
    is_known = isinstance(kind, str) and kind in KINDS
    if not is_known or not isinstance(stream, int):
        raise ProtocolError(f'message kind {kind!r} is not known')
    first_count = len(_FIELDS[kind])
    if not 0 <= len(values) - first_count <= len(ADDED[kind]):
        raise ProtocolError(f'message {kind!r} has {len(values)} values')
    try:
        return stream, _to_message(
            kind, values[:first_count], values[first_count:]
        )
    except ValidationError as error:
        raise ProtocolError(f'message {kind!r}: {error}') from None


def _to_message(kind: str, values: list[Any], added: list[Any]) -> Any:
    added_fields = _read_added(kind, added) if added else {}
    codec = _FREQUENT_CODECS.get(kind)
    if codec is not None:
        return codec.from_values(values, added_fields)
    content = dict(zip(_FIELDS[kind], values, strict=True)) | added_fields
    return _adapter(kind).validate_python(content)
