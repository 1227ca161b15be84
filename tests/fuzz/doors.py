"""The ways into a node, each with what it may raise for malformed input."""

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
from laburnumwood.protocol.messages import (
    Failure,
    LoadReport,
    ShardNotice,
    WholeAnswer,
)
from laburnumwood.records import NodeName, ShardRecord, StoredObject
from laburnumwood.routing.caller_protocol import CallerProtocol
from laburnumwood.settings import read_settings
from laburnumwood.store.objects import CONFIG, node_object, to_value
from laburnumwood.upstream.connection import StrictResponse
from tests.features.steps.plain_work import PLAIN_WORK
from tests.fuzz.mutations import malformed, mutate, replace

Enter = Callable[[Random], None]

_BROKEN_FILES = 3  # of ten settings files: with broken bytes besides


@dataclass(frozen=True, slots=True)
class Door:
    """A way in, and the errors by which it may refuse what comes."""

    enter: Enter
    refuses: tuple[type[Exception], ...]


DOORS: dict[str, Door] = {}


def _door(name: str, *refuses: type[Exception]) -> Callable[[Enter], Enter]:
    def register(enter: Enter) -> Enter:
        DOORS[name] = Door(enter, refuses)
        return enter

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


@_door('frames of peers', ProtocolError)
def _frames(random: Random) -> None:
    """Take a frame as it comes on a link."""
    content = loads(encode(1, random.choice(_MESSAGES)))
    _, message = decode(malformed(random, content))
    if isinstance(message, ShardNotice):
        apply_shard_notice(Directory(), message)


@_door('records of the store')
def _records(random: Random) -> None:
    """Take in an object of any name and content, which must not fail."""
    names = ('shards/s/1', 'shards/s', 'shards/', 'nodes/a', 'nodes/', CONFIG)
    content = random.choice((to_value(_SHARD), to_value(record_of(1))))
    name = random.choice((*names, node_object('b')))
    stored = StoredObject(name, replace(random, content), 7)
    Directory().apply(stored)


@_door('answers of the store', PlatformError)
def _store(random: Random) -> None:
    """Take an answer to a watch of records."""
    metadata = {'name': 'shards.s.1', 'revision': 4}
    event = {'object': {'metadata': metadata, 'spec': to_value(_SHARD)}}
    read_changes(malformed(random, {'events': [event], 'at': 4}))


@_door('manifests', BodyError)
def _manifests(random: Random) -> None:
    """Take a manifest; what is left of it is a configuration."""
    value = read_manifest(replace(random, _MANIFEST))
    Directory().apply(StoredObject(CONFIG, value, 1))


@_door('reports of workers', BodyError)
def _reports(random: Random) -> None:
    """Take the body of a report."""
    decode_report('w', malformed(random, _REPORT))


@_door('settings', SettingsError)
def _settings(random: Random) -> None:
    """Read a file of settings."""
    text = json.dumps(replace(random, _SETTINGS), default=str).encode()
    if random.randrange(10) < _BROKEN_FILES:
        text = mutate(random, text)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.json'
        path.write_bytes(text)
        read_settings(path)


class _Read:
    """A socket of which only what came can be read."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def makefile(self, _mode: str) -> BytesIO:
        """Return what came as a file."""
        return BytesIO(self._data)


_ANSWER = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n'
)


@_door('answers of workers', HTTPException, OSError)
def _answers(random: Random) -> None:
    """Read an answer with its body."""
    sock: Any = _Read(mutate(random, _ANSWER))
    response = StrictResponse(sock, 'GET')
    response.begin()
    response.read()


_REQUEST = (
    b'POST /s/x?a=b HTTP/1.1\r\nHost: h\r\nShard-Key: 7\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


@_door('heads of callers', HeadError)
def _heads(random: Random) -> None:
    """Read the head of a request."""
    data = BytesIO(mutate(random, _REQUEST))
    protocol: Any = CallerProtocol.__new__(CallerProtocol)
    protocol.raw_requestline = data.readline(65_536)
    protocol.rfile = data
    protocol.read_head()


def enter(name: str, seed: int) -> None:
    """Send one malformed input in; raise what the door may not raise."""
    door = DOORS[name]
    try:
        door.enter(Random(f'{name} {seed}'))
    except door.refuses as refused:
        _check_typed(refused)


def _check_typed(refused: Exception) -> None:
    typed = (LaburnumwoodError, HTTPException, OSError)
    assert isinstance(refused, typed), refused
