"""Selection of the headers to forward."""

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
    headers: tuple[Header, ...], removed_names: frozenset[str]
) -> list[tuple[str, Header]]:
    """Return the headers to keep, each after its name in lower case."""
    by_name = [(header[0].lower(), header) for header in headers]
    removed: Set[str] = removed_names
    if any(lower_name == _CONNECTION for lower_name, _ in by_name):
        removed = removed_names | HeaderIndex(headers).tokens(_CONNECTION)
    return [header for header in by_name if header[0] not in removed]


def end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers without those that concern one connection only."""
    return tuple(header for _, header in _forwarded(headers, _HOP_BY_HOP))


def forwarded_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a caller's request to forward to the worker.

    Case of names and duplicates are kept; headers with the reserved prefix,
    which only the router may set, are removed.
    """
    return tuple(
        header
        for lower_name, header in _forwarded(headers, _DROPPED_FROM_REQUESTS)
        if not lower_name.startswith(RESERVED_PREFIX)
    )


def header_values(headers: Iterable[Header], wanted_name: str) -> list[str]:
    """Return all values of a header, whatever the case of its name."""
    lower_name = wanted_name.lower()
    return [text for name, text in headers if name.lower() == lower_name]
