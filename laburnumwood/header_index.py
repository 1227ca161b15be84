"""Headers that are asked for by their names."""

from collections.abc import Iterable

Header = tuple[str, str]


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
