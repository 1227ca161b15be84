"""Headers: read line by line, and asked for by their names."""

from collections.abc import Callable, Iterable
from re import Pattern

from laburnumwood.errors import LaburnumwoodError

Header = tuple[str, str]

_ENDS_OF_HEAD = frozenset((b'\r\n', b'\n'))
_MOST_HEADERS = 100
_LONGEST_TOLD = 80  # bytes of a line that can't be read


class HeadError(LaburnumwoodError):
    """The head of a request or of an answer can't be read."""


class TooManyHeadersError(HeadError):
    """A head has more headers than are taken."""


def read_headers(
    read_line: Callable[[], bytes], form: Pattern[bytes]
) -> tuple[Header, ...]:
    """Return the headers up to the empty line that ends them.

    `form` has a group for the name and one for the text.  Raises `HeadError`
    for a line of another form, also where the head ends early.
    """
    fields: list[Header] = []
    for line in iter(read_line, None):
        if line in _ENDS_OF_HEAD:
            break
        found = form.fullmatch(line)
        if found is None:
            raise HeadError(f'header {line[:_LONGEST_TOLD]!r}')
        if len(fields) >= _MOST_HEADERS:
            raise TooManyHeadersError(f'more than {_MOST_HEADERS} headers')
        fields.append((found[1].decode('latin1'), found[2].decode('latin1')))
    return tuple(fields)


class HeaderIndex:
    """Headers by their names in lower case, made once for many questions."""

    def __init__(self, headers: Iterable[Header]) -> None:
        self._texts: dict[str, list[str]] = {}
        for name, text in headers:
            self._texts.setdefault(name.lower(), []).append(text)

    def first(self, lower_name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        found = self._texts.get(lower_name)
        return found[0] if found else ''

    def tokens(self, lower_name: str) -> set[str]:
        """Return the parts of a header that lists them, in lower case."""
        return {
            token.strip().lower()
            for text in self.all(lower_name)
            for token in text.split(',')
        }

    def all(self, lower_name: str) -> list[str]:
        """Return every value of a header."""
        return self._texts.get(lower_name, [])

    def get(self, lower_name: str) -> str | None:
        """Return the first value of a header, None if there is none."""
        return self.first(lower_name) if self.has(lower_name) else None

    def has(self, lower_name: str) -> bool:
        """Tell whether a header is there."""
        return lower_name in self._texts
