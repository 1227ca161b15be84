"""Encoding of messages as CBOR arrays of stream, kind and values."""

from dataclasses import fields
from typing import Any

from cbor2 import CBORError, dumps, loads
from pydantic import TypeAdapter, ValidationError

from laburnumwood.errors import ProtocolError
from laburnumwood.metrics import MESSAGE_BYTES, MESSAGES
from laburnumwood.protocol.messages import KINDS

LARGEST_FRAME = 4 * 1024 * 1024  # bytes

_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    kind: TypeAdapter(form) for kind, form in KINDS.items()
}
_KIND_OF = {form: kind for kind, form in KINDS.items()}
_FIELDS = {
    kind: tuple(each.name for each in fields(form))
    for kind, form in KINDS.items()
}


def encode(stream: int, message: Any) -> bytes:
    """Return the frame of a message on a stream."""
    kind = _KIND_OF[type(message)]
    content = _ADAPTERS[kind].dump_python(message)
    frame = dumps((stream, kind, *content.values()))
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
    if not isinstance(stream, int) or kind not in KINDS:
        raise ProtocolError(f'message kind {kind!r} is not known')
    if len(values) != len(_FIELDS[kind]):
        raise ProtocolError(f'message {kind!r} has {len(values)} values')
    content = dict(zip(_FIELDS[kind], values, strict=True))
    try:
        return stream, _ADAPTERS[kind].validate_python(content)
    except ValidationError as invalid:
        raise ProtocolError(f'message {kind!r}: {invalid}') from None
