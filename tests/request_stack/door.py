"""A door of the users' platform whose requests end at a recording router."""

from random import Random
from typing import Any

from laburnumwood.clock import Clock
from laburnumwood.membership.directory import Directory
from laburnumwood.platform.callers import PlatformCallerInterface
from laburnumwood.protocol.messages import WholeAnswer, Work
from laburnumwood.routing.caller import Caller
from laburnumwood.routing.caller_request import CallerRequest
from laburnumwood.routing.exchange import local_pair
from laburnumwood.routing.ingress import Ingress
from laburnumwood.routing.pending_answer import PendingAnswer
from laburnumwood.routing.server import HttpListener
from laburnumwood.settings import DaemonSettings
from tests.request_stack.ingress import AlwaysCurrent

_DEADLINE_MS = 2_000
_SETTINGS = DaemonSettings(
    node_id='a',
    failure_domain='d',
    peer_port=1,
    door_port=2,
    platform_url='http://p',
    worker_url='http://w',
    service='origin',
    capacity_owner='o',
    shared_key='a key for loopback only',
)


class RecordingRouter:
    """A router that answers each request itself and keeps the last one."""

    def __init__(self) -> None:
        self.request: CallerRequest | None = None

    @property
    def work(self) -> Work:
        """Return the work of the last request."""
        assert self.request is not None, 'no request was routed'
        return self.request.work

    def send(self, request: CallerRequest, _caller: Caller) -> PendingAnswer:
        """Answer a request."""
        self.request = request
        clock = Clock()
        local_end, _ = local_pair()
        whole = WholeAnswer(200, (('Content-Length', '2'),), b'ok')
        until_ms = clock.now_ms() + _DEADLINE_MS
        answer = PendingAnswer(whole, local_end, until_ms, clock)
        answer.await_first_chunk()
        return answer


def serve_door(
    address: tuple[str, int], directory: Directory, router: RecordingRouter
) -> HttpListener:
    """Serve the requests of callers at an address."""
    served_by: Any = router
    ingress = Ingress(
        served_by,
        PlatformCallerInterface(_SETTINGS, Random(1)),
        lambda: directory.declarations,
        directory.config_monitor.status,
        AlwaysCurrent(),
        Clock(),
    )
    return HttpListener(
        address,
        ingress,
        Clock(),
        lambda: directory.declarations.caller_limits,
    )
