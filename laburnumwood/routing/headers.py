"""Which headers pass from hop to hop."""

from collections.abc import Iterable

from laburnumwood.header_index import Header

OWN_PREFIX = 'laburnumwood-'
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
_OF_THE_DOOR = frozenset(('host', 'content-length'))


def _named_by_connection(headers: Iterable[Header]) -> set[str]:
    return {
        token.strip().lower()
        for name, text in headers
        if name.lower() == _CONNECTION
        for token in text.split(',')
    }


def _kept(
    headers: tuple[Header, ...], dropped: frozenset[str]
) -> tuple[Header, ...]:
    unwanted = dropped | _named_by_connection(headers)
    return tuple(each for each in headers if each[0].lower() not in unwanted)


def end_to_end(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are not meant for one connection only."""
    return _kept(headers, _HOP_BY_HOP)


def request_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a caller's request that its worker gets.

    Names and duplicates are kept; what only the router may say is dropped.
    """
    return tuple(
        each
        for each in _kept(headers, _HOP_BY_HOP | _OF_THE_DOOR)
        if not each[0].lower().startswith(OWN_PREFIX)
    )


def find(headers: Iterable[Header], wanted: str) -> list[str]:
    """Return every value of a header."""
    lower = wanted.lower()
    return [text for name, text in headers if name.lower() == lower]
