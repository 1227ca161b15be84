"""Which headers pass from hop to hop."""

from collections.abc import Iterable, Set

from laburnumwood.header_index import Header, HeaderIndex

RESERVED_PREFIX = 'laburnumwood-'
_CONNECTION = 'connection'
_HOP_BY_HOP = frozenset(
    (
        _CONNECTION,
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | {'host', 'content-length'}


def _forwarded(
    headers: tuple[Header, ...], dropped: frozenset[str]
) -> list[tuple[str, Header]]:
    """Return the headers that stay, each after its name in lower case."""
    named = [(each[0].lower(), each) for each in headers]
    unwanted: Set[str] = dropped
    if any(lower == _CONNECTION for lower, _ in named):
        unwanted = dropped | HeaderIndex(headers).tokens(_CONNECTION)
    return [each for each in named if each[0] not in unwanted]


def end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are not meant for one connection only."""
    return tuple(each for _, each in _forwarded(headers, _HOP_BY_HOP))


def forwarded_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a caller's request that its worker gets.

    Names and duplicates are kept; what only the router may say is dropped.
    """
    return tuple(
        each
        for lower, each in _forwarded(headers, _DROPPED_FROM_REQUESTS)
        if not lower.startswith(RESERVED_PREFIX)
    )


def header_values(headers: Iterable[Header], wanted: str) -> list[str]:
    """Return every value of a header."""
    lower = wanted.lower()
    return [text for name, text in headers if name.lower() == lower]
