"""The HTTP server used by all stand-in servers."""

import socket

from eventlet import wsgi

from standins.application import Application

HOST = '127.0.0.1'
BACKLOG = 1_024
MAX_CONNECTIONS = 20_000


def serve(application: Application, port: int) -> None:
    """Serve on the loopback address until the process ends.

    Port 0 selects a free port; the port in use is printed.
    """
    listener = socket.create_server((HOST, port), backlog=BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound_port = listener.getsockname()[1]
    print(f'listening on {HOST}:{bound_port}', flush=True)
    wsgi.server(
        listener,
        application,
        max_size=MAX_CONNECTIONS,
        minimum_chunk_size=1,
        log_output=False,
        debug=False,
    )
