"""Encoding and validation of the platform's request and response bodies.

Bodies are encoded as CBOR.
"""

from typing import Any, TypeVar

from cbor2 import CBORError, dumps, loads
from pydantic import BaseModel, ValidationError

from laburnumwood.errors import LaburnumwoodError

CONTENT_TYPE = 'application/cbor'

_Model = TypeVar('_Model', bound=BaseModel)


class BodyError(LaburnumwoodError):
    """A body cannot be decoded or does not match its model."""


def encode(content: Any) -> bytes:
    """Return the encoded content."""
    return dumps(content)


def decode(body: bytes) -> Any:
    """Return the decoded content of a body; raises `BodyError`."""
    try:
        return loads(body)
    except (CBORError, ValueError, TypeError) as unreadable:
        raise BodyError(f'not readable: {unreadable}') from unreadable


def decode_as(model: type[_Model], content: Any) -> _Model:
    """Return decoded content as an instance of a model; raises `BodyError`."""
    try:
        return model.model_validate(content)
    except ValidationError as invalid:
        errors = '; '.join(
            '{}: {}'.format('.'.join(map(str, each['loc'])), each['msg'])
            for each in invalid.errors()
        )
        raise BodyError(errors) from invalid
