"""Parsing of HTTP headers and an index of them by name."""

from collections.abc import Callable, Iterable
from re import Pattern

from laburnumwood.errors import LaburnumwoodError

Header = tuple[str, str]

EMPTY_LINES = frozenset((b'\r\n', b'\n'))
_WHITE_SPACE = b' \t'
_MAX_QUOTED_LENGTH = 80  # bytes of an invalid line in an error message


class HeadError(LaburnumwoodError):
    """The head of a request or of an answer is malformed."""


def read_headers(
    read_line: Callable[[], bytes],
    pattern: Pattern[bytes],
    max_headers: int | None = None,
) -> tuple[Header, ...]:
    """Read headers up to the empty line that ends them, and return them.

    `pattern` has one group for the name and one for the value, which may be
    surrounded by white space.  Raises `HeadError` for a line that does not
    match it, also if the head ends early, and for more than `max_headers`.
    """
    fields: list[Header] = []
    for line in iter(read_line, None):
        if line in EMPTY_LINES:
            break
        found = pattern.fullmatch(line)
        if found is None:
            raise HeadError(f'header {line[:_MAX_QUOTED_LENGTH]!r}')
        if len(fields) == max_headers:
            raise HeadError(f'more than {max_headers} headers')
        name, value = found.groups()
        fields.append(
            (name.decode('latin1'), value.strip(_WHITE_SPACE).decode('latin1'))
        )
    return tuple(fields)


class HeaderIndex:
    """Headers indexed by their names in lower case."""

    def __init__(self, headers: Iterable[Header]) -> None:
        self._values: dict[str, list[str]] = {}
        for name, value in headers:
            self._values.setdefault(name.lower(), []).append(value)

    def first(self, lower_name: str) -> str:
        """Return the first value of a header, or '' if it is missing."""
        found = self._values.get(lower_name)
        return found[0] if found else ''

    def tokens(self, lower_name: str) -> set[str]:
        """Return the elements of comma-separated values, in lower case."""
        return {
            token.strip().lower()
            for value in self.all(lower_name)
            for token in value.split(',')
        }

    def all(self, lower_name: str) -> list[str]:
        """Return all values of a header."""
        return self._values.get(lower_name, [])

    def get(self, lower_name: str) -> str | None:
        """Return the first value of a header, or None if it is missing."""
        return self.first(lower_name) if self.has(lower_name) else None

    def has(self, lower_name: str) -> bool:
        """Return whether a header is present."""
        return lower_name in self._values
