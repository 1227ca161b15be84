"""Parsing of the heads of callers' requests, within a limit on their size."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from laburnumwood.errors import LaburnumwoodError
from laburnumwood.header_index import (
    EMPTY_LINES,
    Header,
    HeaderIndex,
    HeadError,
    read_headers,
)
from laburnumwood.resources.body_memory import BodyReservation

_REQUEST_LINE = re.compile(
    r'([^\x00-\x20\x7f]+) ([^\x00-\x20\x7f]+) (HTTP/1\.[01])\r?\n'
)
_ABSOLUTE_TARGET = re.compile('https?://([^/?#]+)(.*)', re.IGNORECASE)
_HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\r\n\0]*)\r?\n")
_LENGTH = 'content-length'
_LENGTH_PATTERN = re.compile('[0-9]{1,18}')
_MAX_QUOTED_LENGTH = 80  # characters of an invalid line in an error message
_LONGEST_EMPTY_LINE = 2  # bytes
_LINE_OVERHEAD = 256  # bytes that a parsed header takes besides its text


class HeadTooLargeError(HeadError):
    """A head is larger than allowed."""


class TargetTooLongError(HeadTooLargeError):
    """The request line alone is larger than a head may be."""


class HeadTimeoutError(LaburnumwoodError):
    """A head did not arrive in time."""


class LineStream(Protocol):
    """A stream of bytes that are read in lines."""

    def readline(self, size: int, /) -> bytes:
        """Return the next line, or its first `size` bytes."""


class HeadReader:
    """Reads the lines of one head, of at most `max_bytes` together.

    The empty line that ends a head does not count.  `memory` grows with what
    is read.
    """

    def __init__(
        self,
        stream: LineStream,
        max_bytes: int,
        memory: BodyReservation | None = None,
    ) -> None:
        self._stream = stream
        self._left = max_bytes
        self._memory = memory

    def read_line(self) -> bytes:
        """Return the next line; raises `HeadTooLargeError`."""
        line = self._stream.readline(self._left + _LONGEST_EMPTY_LINE)
        if line in EMPTY_LINES:
            return line
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLargeError('a header or all of them')
        if self._memory is not None:
            self._memory.grow(len(line) + _LINE_OVERHEAD)
        return line


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and the headers of a request.

    The target is in origin form: it has no scheme and no host.
    """

    method: str
    target: str
    version: str
    fields: tuple[Header, ...]
    index: HeaderIndex


def _with_single_length(fields: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return headers without repetitions of an equal length of the body.

    Different lengths are all kept (RFC 9112, section 6.3).
    """
    given = [value for name, value in fields if name.lower() == _LENGTH]
    lengths = {length.strip() for value in given for length in value.split(',')}
    if len(lengths) > 1:
        return fields
    others = (each for each in fields if each[0].lower() != _LENGTH)
    return (*others, (_LENGTH, lengths.pop()))


def _framing_error(headers: HeaderIndex) -> str:
    """Return why the length of a body is ambiguous, or an empty text."""
    lengths = headers.all(_LENGTH)
    encodings = headers.all('transfer-encoding')
    if lengths and encodings:
        return 'both Content-Length and Transfer-Encoding are given'
    if len(lengths) > 1 or len(encodings) > 1:
        return 'the length of the body is given twice'
    if lengths and not _LENGTH_PATTERN.fullmatch(lengths[0]):
        return f'Content-Length {lengths[0]!r} is no number'
    if encodings and encodings[0].lower() != 'chunked':
        return f'Transfer-Encoding {encodings[0]!r} is not known'
    return ''


def _in_origin_form(
    target: str, fields: tuple[Header, ...]
) -> tuple[str, tuple[Header, ...]]:
    """Return path and query of a target, and the headers with its host.

    The host of a target in absolute form replaces that of the headers (RFC
    9112, section 3.2.2).  Other targets are returned unchanged.
    """
    match = _ABSOLUTE_TARGET.fullmatch(target)
    if match is None:
        return target, fields
    host, path = match.groups()
    others = tuple(each for each in fields if each[0].lower() != 'host')
    origin_form = path if path.startswith('/') else f'/{path}'
    return origin_form, (('Host', host), *others)


def _read_request_line(read_line: Callable[[], bytes]) -> bytes:
    try:
        return read_line()
    except HeadTooLargeError as error:
        raise TargetTooLongError('the request line') from error


def read_request_head(read_line: Callable[[], bytes]) -> RequestHead | None:
    """Return a head, or None for an empty line in its place.

    Raises `HeadError`.
    """
    request_line = _read_request_line(read_line)
    if request_line in EMPTY_LINES:
        return None
    text = request_line.decode('latin1')
    match = _REQUEST_LINE.fullmatch(text)
    if match is None:
        raise HeadError(f'request line {text[:_MAX_QUOTED_LENGTH]!r}')
    method, target, version = match.groups()
    target, fields = _in_origin_form(
        target, read_headers(read_line, _HEADER_LINE)
    )
    index = HeaderIndex(fields)
    if ',' in ','.join(index.all(_LENGTH)):
        fields = _with_single_length(fields)
        index = HeaderIndex(fields)
    framing_error = _framing_error(index)
    if framing_error:
        raise HeadError(framing_error)
    return RequestHead(method, target, version, fields, index)
