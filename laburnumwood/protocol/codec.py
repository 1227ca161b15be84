"""Encoding of messages as CBOR arrays of stream, kind and values."""

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

_KIND_OF = {form: kind for kind, form in KINDS.items()}
_FIELDS = {
    kind: tuple(each.name for each in fields(form))
    for kind, form in KINDS.items()
}


class _Plain:
    """How a frequent message, whose values are plain, goes into a frame.

    Headers go as one list of names and texts in turn.
    """

    def __init__(self, kind: str) -> None:
        form = KINDS[kind]
        types = [each.type for each in fields(form)]
        self._form = form
        self._names = _FIELDS[kind]
        self._headers_at = types.index(Headers) if Headers in types else -1
        self._types = [list if each is Headers else each for each in types]

    def values(self, message: Any) -> list[Any]:
        """Return the values of a message as they are sent."""
        found = [getattr(message, name) for name in self._names]
        if self._headers_at >= 0:
            pairs = found[self._headers_at]
            found[self._headers_at] = list(chain.from_iterable(pairs))
        return found

    def message(self, values: list[Any]) -> Any:
        """Return the message of some values; raises `ProtocolError`."""
        if list(map(type, values)) != self._types:
            raise ProtocolError(f'{self._form.__name__}: values of wrong types')
        if self._headers_at >= 0:
            values[self._headers_at] = _headers(values[self._headers_at])
        return self._form(*values)


def _headers(found: list[Any]) -> Headers:
    """Return pairs of names and texts as they were before they were sent."""
    if len(found) % 2 or not _TEXT.issuperset(map(type, found)):
        raise ProtocolError('headers are no pairs of texts')
    return tuple(zip(found[::2], found[1::2], strict=True))


_TEXT = frozenset((str,))
_PLAIN = {kind: _Plain(kind) for kind in FREQUENT}


@cache
def _adapter(kind: str) -> TypeAdapter[Any]:
    # Made at first use: all together they would be a tenth of the start.
    return TypeAdapter(KINDS[kind])


def encode(stream: int, message: Any) -> bytes:
    """Return the frame of a message on a stream."""
    kind = _KIND_OF[type(message)]
    plain = _PLAIN.get(kind)
    if plain is None:
        values = _adapter(kind).dump_python(message).values()
    else:
        values = plain.values(message)
    frame = dumps((stream, kind, *values))
    MESSAGES.record(1, {'kind': kind})
    MESSAGE_BYTES.record(len(frame), {'kind': kind})
    return frame


def decode(frame: bytes) -> tuple[int, Any]:
    """Return the stream and the message of a frame.

    Raises `ProtocolError` for a frame that is not of a known form.
    """
    try:
        stream, kind, *values = loads(frame)
    except (CBORError, TypeError, ValueError) as unreadable:
        raise ProtocolError(f'frame is not readable: {unreadable}') from None
    is_known = isinstance(kind, str) and kind in KINDS
    if not is_known or not isinstance(stream, int):
        raise ProtocolError(f'message kind {kind!r} is not known')
    if len(values) != len(_FIELDS[kind]):
        raise ProtocolError(f'message {kind!r} has {len(values)} values')
    plain = _PLAIN.get(kind)
    if plain is not None:
        return stream, plain.message(values)
    content = dict(zip(_FIELDS[kind], values, strict=True))
    try:
        return stream, _adapter(kind).validate_python(content)
    except ValidationError as invalid:
        raise ProtocolError(f'message {kind!r}: {invalid}') from None
