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
from laburnumwood.protocol.messages import FREQUENT, KINDS, Headers

MAX_FRAME_SIZE = 4 * 1024 * 1024  # bytes

_KIND_BY_TYPE = {message_type: kind for kind, message_type in KINDS.items()}
_FIELDS = {
    kind: tuple(each.name for each in fields(message_type))
    for kind, message_type in KINDS.items()
}


class _FrequentCodec:
    """Encodes one kind of frequent message without pydantic, for speed.

    The values of these messages are of plain types.  Headers are encoded as
    one list in which names and values alternate.
    """

    def __init__(self, kind: str) -> None:
        message_type = KINDS[kind]
        types = [each.type for each in fields(message_type)]
        self._message_type = message_type
        self._field_names = _FIELDS[kind]
        self._headers_index = types.index(Headers) if Headers in types else -1
        self._value_types = [
            list if each is Headers else each for each in types
        ]

    def to_values(self, message: Any) -> list[Any]:
        """Return the values of a message in the form in which they are sent."""
        values = [getattr(message, name) for name in self._field_names]
        if self._headers_index >= 0:
            pairs = values[self._headers_index]
            values[self._headers_index] = list(chain.from_iterable(pairs))
        return values

    def from_values(self, values: list[Any]) -> Any:
        """Return the message with some values; raises `ProtocolError`."""
        if list(map(type, values)) != self._value_types:
            raise ProtocolError(
                f'{self._message_type.__name__}: values of wrong types'
            )
        if self._headers_index >= 0:
            values[self._headers_index] = _pair_headers(
                values[self._headers_index]
            )
        return self._message_type(*values)


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


def encode(stream: int, message: Any) -> bytes:
    """Return the frame that carries a message on a stream."""
    kind = _KIND_BY_TYPE[type(message)]
    codec = _FREQUENT_CODECS.get(kind)
    if codec is None:
        values = _adapter(kind).dump_python(message).values()
    else:
        values = codec.to_values(message)
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
    if len(values) != len(_FIELDS[kind]):
        raise ProtocolError(f'message {kind!r} has {len(values)} values')
    codec = _FREQUENT_CODECS.get(kind)
    if codec is not None:
        return stream, codec.from_values(values)
    content = dict(zip(_FIELDS[kind], values, strict=True))
    try:
        return stream, _adapter(kind).validate_python(content)
    except ValidationError as error:
        raise ProtocolError(f'message {kind!r}: {error}') from None
