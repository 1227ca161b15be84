"""Options of sockets, by which TCP notices that a connection went silent.

A peer that is alive answers probes although it has nothing to say, so a call
may wait for long, and still fail soon after its connection was cut.
"""

import socket
from contextlib import suppress

from urllib3.connection import HTTPConnection

SocketOption = tuple[int, int, int]

_PROBE_AFTER_S = 1  # without a packet, and between two probes
_SILENCE_LIMIT_MS = 2_500  # two probes have been unanswered by then
_OPTIONS: tuple[tuple[int, str, int], ...] = (
    (socket.SOL_SOCKET, 'SO_KEEPALIVE', 1),
    (socket.IPPROTO_TCP, 'TCP_KEEPIDLE', _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, 'TCP_KEEPINTVL', _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, 'TCP_USER_TIMEOUT', _SILENCE_LIMIT_MS),
)


def socket_options() -> list[SocketOption]:
    """Return the options for connections that are probed.

    Options that this system does not know are left out, since a connection
    with one of them could not be opened.
    """
    options = list(HTTPConnection.default_socket_options)
    with socket.socket() as sock:
        for level, name, number in _OPTIONS:
            with suppress(AttributeError, OSError):
                option = level, getattr(socket, name), number
                sock.setsockopt(*option)
                options.append(option)
    return options
