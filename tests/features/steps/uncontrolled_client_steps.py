"""Steps about crowds of callers that stop before the end of a request."""

import socket
from contextlib import suppress
from functools import partial
from resource import RLIMIT_NOFILE, getrlimit, setrlimit

import psutil
from behave import given, then, when
from behave.runner import Context

from bench.deployment import HOST, Deployment, Place, wait_for
from laburnumwood.clock import Clock
from laburnumwood.config.acceptance import replace_configuration
from laburnumwood.errors import BodyMemoryError
from laburnumwood.resources.body_memory import BodyMemory
from laburnumwood.resources.connections import ConnectionTable
from laburnumwood.resources.resident_limit import ResidentLimit
from laburnumwood.store.client import HttpStore
from tests.features.steps.crowds import chunked, is_answered
from tests.features.steps.fake_clock import FakeClock

SERVICE = 'portal'
LIMIT_S = 60
SEND_LIMIT_S = 20
COMPLETE_ONE_OF = 8  # callers; the others stop
PIECE_SIZE = 100_000  # bytes
MB = 1_048_576  # bytes
CALLERS = 10  # of whom each holds a part of the memory
SMALL_BODY = b'x' * 1_000
CONFIGURATION = {
    'services': {
        # The deadline comes after the end of a scenario.
        SERVICE: {'deadline_ms': 600_000, 'longest_body': MB},
    },
    'failure_domains': ['a'],
    'capacity_owners': {'licensing': {'contact': 'x'}},
}


def _connect(context: Context) -> socket.socket:
    port = context.member.settings['door_port']
    return socket.create_connection((HOST, port), SEND_LIMIT_S)


def _head(fields: str) -> bytes:
    return f'PUT /{SERVICE}/x HTTP/1.1\r\nHost: a\r\n{fields}\r\n\r\n'.encode()


def _is_answered(context: Context) -> bool:
    """Return whether a request with a body is answered on a new connection."""
    head = _head(f'Content-Length: {len(SMALL_BODY)}')
    address = HOST, context.member.settings['door_port']
    return is_answered(address, head + SMALL_BODY)


@given('a node with {size:d} MB for bodies and {descriptors:d} descriptors')
def start_node(context: Context, size: int, descriptors: int) -> None:
    context.deployment = Deployment()
    context.add_cleanup(context.deployment.close)
    store = HttpStore(context.deployment.platform_url)
    files = {'10-all.json': CONFIGURATION}
    replace_configuration(store, files, 'scenario', Clock())
    limits = getrlimit(RLIMIT_NOFILE)
    setrlimit(RLIMIT_NOFILE, (descriptors, limits[1]))
    try:
        context.member = context.deployment.add(
            Place('p1', 'a', SERVICE), body_memory_mb=size
        )
    finally:
        setrlimit(RLIMIT_NOFILE, limits)
    wait_for('an answer', partial(_is_answered, context), LIMIT_S)
    context.process = psutil.Process(context.member.node.pid)
    context.memory_before = context.process.memory_info().rss
    context.most_grown = 0


def _send_crowd(
    context: Context, count: int, content: bytes, piece_size: int
) -> None:
    """Send a request on many connections, on most without its last byte."""
    crowd = [_connect(context) for _ in range(count)]
    for caller in crowd:
        context.add_cleanup(caller.close)
    stopping = count - count // COMPLETE_ONE_OF
    _send_in_pieces(context, crowd[:stopping], content[:-1], piece_size)
    _send_in_pieces(context, crowd[stopping:], content, piece_size)


def _send_in_pieces(
    context: Context,
    callers: list[socket.socket],
    content: bytes,
    piece_size: int,
) -> None:
    """Send a request on all connections, a piece on each at a time."""
    for offset in range(0, len(content), piece_size):
        for caller in callers:
            with suppress(OSError):  # refused, or closed
                caller.sendall(content[offset : offset + piece_size])
        _note_memory(context)


def _note_memory(context: Context) -> None:
    grown = context.process.memory_info().rss - context.memory_before
    context.most_grown = max(context.most_grown, grown)


@when(
    '{count:d} callers send bodies of {size:d} bytes, and most stop just '
    'short of the end'
)
def send_bodies(context: Context, count: int, size: int) -> None:
    content = _head(f'Content-Length: {size}') + b'x' * size
    _send_crowd(context, count, content, len(content))


@when(
    '{count:d} callers send bodies of {size:d} bytes in pieces, and most stop '
    'just short of the end'
)
def send_bodies_in_pieces(context: Context, count: int, size: int) -> None:
    content = _head(f'Content-Length: {size}') + b'x' * size
    _send_crowd(context, count, content, PIECE_SIZE)


@when(
    '{count:d} callers send bodies of {size:d} bytes in chunks of '
    '{chunk_size:d}, and most stop just short of the end'
)
def send_chunks(
    context: Context, count: int, size: int, chunk_size: int
) -> None:
    content = _head('Transfer-Encoding: chunked') + chunked(size, chunk_size)
    _send_crowd(context, count, content, PIECE_SIZE)


@when(
    '{count:d} callers send heads of {size:d} bytes, and most stop just short '
    'of the end'
)
def send_heads(context: Context, count: int, size: int) -> None:
    head = _head(f'X: {"x" * size}')
    _send_crowd(context, count, head, len(head))


@then(
    'the node runs with at most {size:d} MB more memory and {descriptors:d} '
    'descriptors'
)
def check_process(context: Context, size: int, descriptors: int) -> None:
    assert context.member.node.is_running
    _note_memory(context)
    assert context.most_grown <= size * MB, context.most_grown / MB
    opened = context.process.num_fds()
    assert opened <= descriptors, opened


@then('an ordinary request with a body is answered')
def check_answered(context: Context) -> None:
    wait_for('an answer', partial(_is_answered, context), LIMIT_S)
    assert context.member.node.is_running


@given(
    'memory for {size:d} bytes, all held by callers that stopped {span_ms:d} '
    'ms ago'
)
def fill_memory(context: Context, size: int, span_ms: int) -> None:
    clock = FakeClock()
    context.evicted = []
    context.memory = BodyMemory(size, clock)
    for _ in range(CALLERS):
        held = context.memory.reserve(evict=context.evicted.append)
        held.grow(size // CALLERS)
    clock.pass_ms(span_ms)


@given(
    'memory for {size:d} bytes in a VM of {vm_size:d} bytes, {held:d} held and '
    '{other:d} used otherwise'
)
def limit_memory(
    context: Context, size: int, vm_size: int, held: int, other: int
) -> None:
    clock = FakeClock()
    context.evicted = []
    context.memory = BodyMemory(size, clock)
    context.memory.reserve(evict=context.evicted.append).grow(held)
    clock.pass_ms(500)

    def measure() -> int:
        if other < 0:
            raise FileNotFoundError('not told')
        return held + other

    limit = ResidentLimit(vm_size, clock, measure)
    context.memory.set_resident_limit(limit)


@when('a caller sends {size:d} bytes')
def send_bytes(context: Context, size: int) -> None:
    try:
        context.memory.reserve(evict=context.evicted.append).grow(size)
    except BodyMemoryError as error:
        assert not error.never_fits or size > context.memory.max_bytes * 7 / 8
        context.end = 'refused'
    else:
        context.end = 'received'


@then('it is {end} and {count:d} others were evicted')
def check_evicted(context: Context, end: str, count: int) -> None:
    assert context.end == end, context.end
    assert len(context.evicted) == count, context.evicted


@given(
    '{count:d} of {most:d} connections, of which all but one have waited '
    '{span_ms:d} ms'
)
def fill_connections(
    context: Context, count: int, most: int, span_ms: int
) -> None:
    clock = FakeClock()
    context.connections = ConnectionTable(most, clock)
    context.pairs = [socket.socketpair() for _ in range(count)]
    opened = [context.connections.open(first) for first, _ in context.pairs]
    for each in opened[1:]:
        clock.pass_ms(1)
        each.begin_wait()
    opened[1].end_wait()
    context.entries = opened
    clock.pass_ms(span_ms - count + 1)


@given('the one that has waited longest is sent an answer')
def begin_answer(context: Context) -> None:
    context.entries[0].is_answering = True


@when('another connection is opened')
def open_connection(context: Context) -> None:
    pair = socket.socketpair()
    context.pairs.append(pair)
    context.opened = context.connections.open(pair[0])


@then('that connection is {end}')
def check_connection(context: Context, end: str) -> None:
    assert bool(context.opened) == (end != 'refused'), context.opened
    ended = [second for _, second in context.pairs if _has_ended(second)]
    longest = [context.pairs[0][1]] if context.opened else []
    assert ended == longest, ended


@then('the idle one is closed, and what it has sent is not run')
def check_idle_closed(context: Context) -> None:
    ended = [_has_ended(second) for _, second in context.pairs]
    assert ended == [False, False, True, False], ended
    closed = [each.is_closed for each in context.entries]
    assert closed == [False, False, True], closed


def _has_ended(sock: socket.socket) -> bool:
    sock.setblocking(False)
    with suppress(BlockingIOError):
        return not sock.recv(1)
    return False
