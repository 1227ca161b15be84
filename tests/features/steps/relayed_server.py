"""A server behind a relay, whose open connections can be silenced."""

import socket
from contextlib import suppress
from threading import Thread
from time import sleep

import urllib3
from behave.runner import Context

from tests.features.steps.processes import Process

_HOST = '127.0.0.1'
_READ_BYTES = 65_536
_READ_S = 0.2
_NOT_FOUND = b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n'


def _keep_answering(connection: socket.socket) -> None:
    with suppress(OSError):
        while connection.recv(_READ_BYTES):
            sleep(_READ_S)  # so that simultaneous requests overlap
            connection.sendall(_NOT_FOUND)


def _keep_serving(listener: socket.socket) -> None:
    with suppress(OSError):
        while True:
            connection = listener.accept()[0]
            Thread(
                target=_keep_answering, args=(connection,), daemon=True
            ).start()


def start_relayed_server(context: Context) -> str:
    """Start a server that answers each request with 404; return its URL."""
    listener = socket.create_server((_HOST, 0))
    context.add_cleanup(listener.close)
    Thread(target=_keep_serving, args=(listener,), daemon=True).start()
    relay = Process(('standins.relay',))
    context.add_cleanup(relay.stop)
    context.route = f'{relay.url}/routes/server'
    target = {'target_port': listener.getsockname()[1]}
    opened = urllib3.request('PUT', context.route, json=target).json()
    return f'http://{_HOST}:{opened["port"]}'


def open_count(context: Context) -> int:
    """Return how many connections are open through the relay."""
    return int(urllib3.request('GET', context.route).json()['open'])
