"""The registry of the kinds of messages between nodes."""

from collections.abc import Callable
from typing import Any, TypeVar

_MessageType = TypeVar('_MessageType', bound=type[Any])

KINDS: dict[str, type[Any]] = {}
FREQUENT: set[str] = set()  # kinds that each request sends; plain values
# By kind, the fields that nodes of the first version of the protocol do not
# know.  They are sent last, and only if they are not None.
ADDED: dict[str, tuple[str, ...]] = {}
# Kinds that nodes without the subprotocol for them do not know.
ADDED_KINDS: set[str] = set()


def message(
    kind: str,
    *,
    is_frequent: bool = False,
    added: tuple[str, ...] = (),
    is_added: bool = False,
) -> Callable[[_MessageType], _MessageType]:
    """Return a decorator that registers a class as the message of a kind.

    `added` names the fields that were added to the first version of the
    protocol, all of them optional.  A message that `is_added` is sent only to
    peers that know it.
    """

    def register(message_type: _MessageType) -> _MessageType:
        if kind in KINDS:
            raise ValueError(f'duplicate message kind {kind!r}')
        KINDS[kind] = message_type
        ADDED[kind] = added
        if is_added:
            ADDED_KINDS.add(kind)
        if is_frequent:
            FREQUENT.add(kind)
        return message_type

    return register
