"""Steps about the turns of long frames."""

from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet.event import Event

from laburnumwood.clock import MS_PER_SECOND
from laburnumwood.protocol import link
from laburnumwood.protocol.bulk import LONG_FRAME, BulkTurns
from laburnumwood.protocol.link import Link
from laburnumwood.protocol.messages import Chunk
from laburnumwood.records import NodeName
from tests.features.steps.fake_clock import FakeClock


class HeldSocket:
    """A connection whose peer takes a frame when the test says so."""

    def __init__(self) -> None:
        self.leaving: list[tuple[int, Event]] = []

    def send(self, content: bytes) -> int:
        """Send a frame; wait until the peer has taken it."""
        taken = Event()
        self.leaving.append((len(content), taken))
        try:
            taken.wait()
        finally:
            self.leaving.pop(0)
        return len(content)


class Plain:
    """Frames as they are, in the place of the protocol's."""

    def __init__(self) -> None:
        self._frames: list[bytes] = []

    def send_binary(self, frame: bytes) -> None:
        """Take a frame that is to be sent."""
        self._frames.append(frame)

    def data_to_send(self) -> list[bytes]:
        """Return what is to be sent, once."""
        frames, self._frames = self._frames, []
        return frames


def _leaving(context: Context) -> list[tuple[int, Event]]:
    return [each for sock in context.sockets for each in sock.leaving]


def _set_turns(context: Context, turns: BulkTurns) -> None:
    before: Any = vars(link)['_TURNS']
    context.add_cleanup(setattr, link, '_TURNS', before)
    setattr(link, '_TURNS', turns)  # noqa: B010


@given('links to {count:d} peers that take a frame when the test says so')
def make_links(context: Context, count: int) -> None:
    _set_turns(context, BulkTurns())
    make: Any = Link
    context.sockets = [HeldSocket() for _ in range(count)]
    context.links = [
        make(Plain(), sock, NodeName(f'p{place}', 1), None, FakeClock())
        for place, sock in enumerate(context.sockets)
    ]
    context.senders = []


@given('long frames wait for {span:d} ms at the most')
def set_patience(context: Context, span: int) -> None:
    _set_turns(context, BulkTurns(span))


def _send(context: Context, place: int, size: int) -> None:
    message = Chunk(bytes(size))
    sender = eventlet.spawn(context.links[place].send, 1, message)
    context.senders.append(sender)
    context.add_cleanup(sender.kill)
    eventlet.sleep(0)


@when('a long frame is sent on each of them')
def send_long(context: Context) -> None:
    for place, _ in enumerate(context.links):
        _send(context, place, LONG_FRAME)


@when('a short frame is sent on the last of them')
def send_short(context: Context) -> None:
    _send(context, len(context.links) - 1, 1)


@when('nothing is taken for {span:d} ms')
def take_nothing(_context: Context, span: int) -> None:
    eventlet.sleep(span / MS_PER_SECOND)


@when('the sender of the first one is ended')
def end_first(context: Context) -> None:
    context.senders[0].kill()
    eventlet.sleep(0)
    eventlet.sleep(0)


@when('the peers take every frame that leaves, one by one')
def take_all(context: Context) -> None:
    context.taken, context.most = 0, 0
    while _leaving(context):
        context.most = max(context.most, len(_leaving(context)))
        _leaving(context)[0][1].send()
        context.taken += 1
        for _ in range(3):
            eventlet.sleep(0)


@then('{count:d} frames were taken, never more than {most:d} at a time')
def check_taken(context: Context, count: int, most: int) -> None:
    assert (context.taken, context.most) == (count, most), context.most


@then('{count:d} frame is leaving')
@then('{count:d} frames are leaving')
def check_leaving(context: Context, count: int) -> None:
    assert len(_leaving(context)) == count, _leaving(context)


@then('1 long frame and 1 short frame are leaving')
def check_both(context: Context) -> None:
    sizes = sorted(size for size, _ in _leaving(context))
    assert len(sizes) == 2, sizes
    assert sizes[0] < LONG_FRAME <= sizes[1], sizes
