"""The inputs of a node, each with the errors expected for malformed data."""

import json
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException
from io import BytesIO
from pathlib import Path
from random import Random
from typing import Any

from cbor2 import loads

from bench.spreading import record_of
from laburnumwood.config.declarations import CallerLimits
from laburnumwood.errors import (
    LaburnumwoodError,
    PlatformError,
    ProtocolError,
    SettingsError,
)
from laburnumwood.header_index import HeadError
from laburnumwood.membership.directory import Directory
from laburnumwood.membership.gossip import apply_shard_notice
from laburnumwood.platform.bodies import BodyError
from laburnumwood.platform.manifest import read_manifest
from laburnumwood.platform.reports import decode_report
from laburnumwood.platform.store import read_changes
from laburnumwood.protocol.codec import decode, encode
from laburnumwood.protocol.messages import Failure, LoadReport, WholeAnswer
from laburnumwood.protocol.store_messages import ShardNotice
from laburnumwood.records import NodeName, ShardRecord, StoredObject
from laburnumwood.routing.request_head import HeadReader, read_request_head
from laburnumwood.settings import read_settings
from laburnumwood.store.objects import CONFIG_NAME, node_object_name, to_value
from laburnumwood.upstream.connection import StrictResponse
from tests.features.steps.plain_work import PLAIN_WORK
from tests.fuzz.door import proper_door
from tests.fuzz.mutations import corrupt_bytes, encode_malformed, replace_values
from tests.fuzz.proper_requests import draw_proper_request

Send = Callable[[Random], None]

_CORRUPTED_TENTHS = 3  # of the settings files; their bytes are corrupted too


@dataclass(frozen=True, slots=True)
class Input:
    """An input of a node, and the errors by which it may reject data.

    `send` draws malformed data from a source and passes it to the input.
    """

    send: Send
    expected_errors: tuple[type[Exception], ...]


INPUTS: dict[str, Input] = {}


def _input(
    name: str, *expected_errors: type[Exception]
) -> Callable[[Send], Send]:
    def register(send: Send) -> Send:
        INPUTS[name] = Input(send, expected_errors)
        return send

    return register


_OWNERS = (NodeName('a', 1), NodeName('b', 2))
_SHARD = ShardRecord(3, _OWNERS, shards=8)
_NOTICE = ShardNotice('s/1', _SHARD, 5)
_MESSAGES = (
    _NOTICE,
    PLAIN_WORK,
    Failure('not-owner', False, 'moved'),
    LoadReport(3, {1: 0.5}),
    WholeAnswer(200, (('Content-Length', '2'),), b'ab'),
)
_MANIFEST = {
    'version': 4,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'path_prefix': '/p/',
            'type': 'safe',
            'timeout_ms': 500.0,
            'objective_ms': 300.0,
            'weighted_services': [{'service': 's', 'weight': 1.0}],
        }
    ],
    'services': [{'name': 's', 'sharded': True}],
}
_REPORT = {
    'service': 's',
    'slots': 6,
    'state': 'ready',
    'seq': 1,
    'born': 1,
    'holds': [[0, 63, 8]],
    'released': [[64, 127, 'left']],
}
_SETTINGS = {
    'node_id': 'a',
    'failure_domain': 'd',
    'peer_port': 1,
    'door_port': 2,
    'platform_url': 'http://p',
    'worker_url': 'http://w',
    'service': 's',
    'capacity_owner': 'o',
    'shared_key': 'a key for loopback only',
    'lease': {'renew_ms': 400},
}


@_input('frames of peers', ProtocolError)
def _frames(random: Random) -> None:
    """Decode a frame from a peer and apply it if it is a shard notice."""
    content = loads(encode(1, random.choice(_MESSAGES)))
    _, message = decode(encode_malformed(random, content))
    if isinstance(message, ShardNotice):
        apply_shard_notice(Directory(), message)


@_input('records of the store')
def _records(random: Random) -> None:
    """Apply an object of any name and content, which must not raise."""
    names = (
        'shards/s/1',
        'shards/s',
        'shards/',
        'nodes/a',
        'nodes/',
        CONFIG_NAME,
    )
    content = random.choice((to_value(_SHARD), to_value(record_of(1))))
    name = random.choice((*names, node_object_name('b')))
    stored = StoredObject(name, replace_values(random, content), 7)
    Directory().apply(stored)


@_input('answers of the store', PlatformError)
def _store(random: Random) -> None:
    """Read an answer to a watch of records."""
    metadata = {'name': 'shards.s.1', 'revision': 4}
    event = {'object': {'metadata': metadata, 'spec': to_value(_SHARD)}}
    read_changes(encode_malformed(random, {'events': [event], 'at': 4}))


@_input('manifests', BodyError)
def _manifests(random: Random) -> None:
    """Read a manifest and apply it as a configuration if it is accepted."""
    value = read_manifest(replace_values(random, _MANIFEST))
    Directory().apply(StoredObject(CONFIG_NAME, value, 1))


@_input('reports of workers', BodyError)
def _reports(random: Random) -> None:
    """Decode the body of a report."""
    decode_report('w', encode_malformed(random, _REPORT))


@_input('settings', SettingsError)
def _settings(random: Random) -> None:
    """Read a settings file."""
    text = json.dumps(replace_values(random, _SETTINGS), default=str).encode()
    if random.randrange(10) < _CORRUPTED_TENTHS:
        text = corrupt_bytes(random, text)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_bytes(text)
        read_settings(path)


class _ReceivedSocket:
    """A socket from which only the given data can be read."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, _mode: str) -> BytesIO:
        """Return the data as a file."""
        return BytesIO(self._data)


_WORKER_ANSWER = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n'
)


@_input('answers of workers', HTTPException, OSError)
def _answers(random: Random) -> None:
    """Read an answer and its body."""
    sock: Any = _ReceivedSocket(corrupt_bytes(random, _WORKER_ANSWER))
    response = StrictResponse(sock, 'GET')
    response.begin()
    response.read()


_CALLER_REQUEST = (
    b'POST /s/x?a=b HTTP/1.1\r\nHost: h\r\nShard-Key: 7\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


@_input('heads of callers', HeadError)
def _heads(random: Random) -> None:
    """Read the head of a request."""
    data = BytesIO(corrupt_bytes(random, _CALLER_REQUEST))
    reader = HeadReader(data, CallerLimits().longest_head)
    read_request_head(reader.read_line)


@_input('proper requests of callers')
def _proper_requests(random: Random) -> None:
    """Send a proper request to a door, which must serve it as it was sent."""
    request = draw_proper_request(random)
    assert proper_door().answer(request.sent).startswith(b'HTTP/1.1 200 ')
    served = proper_door().router.request
    assert served is not None
    found = served.work.method, served.work.target, served.body
    assert found == (request.method, request.target, request.body), found


def send_malformed(name: str, seed: int) -> None:
    """Send the data of a seed to an input; raise any unexpected error.

    The name of the input and the seed determine the data.
    """
    target = INPUTS[name]
    try:
        target.send(Random(f'{name} {seed}'))
    except target.expected_errors as error:
        _check_error_type(error)


def _check_error_type(error: Exception) -> None:
    known_types = (LaburnumwoodError, HTTPException, OSError)
    assert isinstance(error, known_types), error
