"""The requests that callers draw."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from random import Random

from bench.reporting import HOST_NAME
from tests.soak.fleet import SHARDED_SERVICE, UNSHARDED_SERVICE
from tests.soak.plans import Break, Framing, ResponsePlan

_KEY_COUNT = 65_536
_REQUEST_SIZES = (0, 0, 0, 300, 200_000)
_RESPONSE_SIZES = (0, 40, 5_000, 150_000)
_BROKEN_RESPONSE_SIZE = 20_000  # more than one chunk of the worker
_BROKEN_RESPONSE_SHARE = 0.08  # responses that the worker breaks off
_NEAR_DEADLINE_SHARE = 0.15  # responses that end near the deadline
_ABANDONED_SHARE = 0.04  # requests whose caller stops waiting early
_PATIENCE_MS = 12_000  # several times the longest timeout of a route
_PATIENT_REQUEST_SIZES = (0, 300, 200_000, 900_000)
_PATIENT_RESPONSE_SIZES = (40, 5_000, 150_000)
_MAX_SENDING_MS = 3_000  # somewhat more than the longest timeout of a route
_MAX_WORK_MS = 4_000
_MAX_PART_COUNT = 12


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that a caller sends."""

    attempt_id: str
    node: str
    is_relayed: bool  # through a relay, whose faults may break the connection
    is_idempotent: bool
    service: str
    plan: ResponsePlan
    deadline_ms: int
    key: int
    body: bytes
    abandon_after_ms: int | None = None  # for a caller that stops waiting early
    part_count: int = 1  # in how many parts it is sent
    part_ms: int = 0  # the time after each part
    route_changes: bool = False  # the route may be moved, dropped or added

    @property
    def content(self) -> bytes:
        """Return the bytes of the request."""
        kind = 'safe' if self.is_idempotent else 'unsafe'
        method = 'POST' if self.body else 'GET'
        lines = (
            f'{method} /{self.service}/{kind}/x?{self.plan.query} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'Attempt-Id: {self.attempt_id}',
            f'Deadline-Ms: {self.deadline_ms}',
            f'Shard-Key: {self.key}',
            f'Content-Length: {len(self.body)}',
        )
        return '\r\n'.join((*lines, '', '')).encode() + self.body

    @property
    def parts(self) -> Iterator[bytes]:
        """Return the parts in which the request is sent."""
        content = self.content
        size = len(content) // self.part_count + 1
        return (
            content[start : start + size]
            for start in range(0, len(content), size)
        )


Draw = Callable[[Random, str, Sequence[str]], CallerRequest]


def draw_request(
    rng: Random, attempt_id: str, nodes: Sequence[str], *, is_relayed: bool
) -> CallerRequest:
    """Draw a request to one of some nodes."""
    deadline_ms = rng.choice((rng.randint(100, 400), 1_000, 3_000))
    plan = _draw_plan(rng)
    if rng.random() < _NEAR_DEADLINE_SHARE:
        plan = _end_near_deadline(plan, deadline_ms, rng)
    is_abandoned = rng.random() < _ABANDONED_SHARE
    return CallerRequest(
        attempt_id=attempt_id,
        node=rng.choice(nodes),
        is_relayed=is_relayed,
        is_idempotent=rng.choice((False, True)),
        service=rng.choice((SHARDED_SERVICE, UNSHARDED_SERVICE)),
        plan=plan,
        deadline_ms=deadline_ms,
        key=rng.randrange(_KEY_COUNT),
        body=b'b' * rng.choice(_REQUEST_SIZES),
        abandon_after_ms=rng.randint(1, 300) if is_abandoned else None,
    )


def draw_patient_request(
    rng: Random, attempt_id: str, nodes: Sequence[str]
) -> CallerRequest:
    """Draw a request that may last beyond the timeout of its route.

    Its caller waits for longer than that.
    """
    body = b'b' * rng.choice(_PATIENT_REQUEST_SIZES)
    part_count = rng.randint(2, _MAX_PART_COUNT)
    slow_ms = rng.randint(0, _MAX_SENDING_MS)
    sending_ms = rng.choice((0, slow_ms, slow_ms))
    return CallerRequest(
        attempt_id=attempt_id,
        node=rng.choice(nodes),
        is_relayed=False,
        is_idempotent=rng.choice((False, True)),
        service=rng.choice((SHARDED_SERVICE, UNSHARDED_SERVICE)),
        plan=_draw_slow_plan(rng),
        deadline_ms=_PATIENCE_MS,
        key=rng.randrange(_KEY_COUNT),
        body=body,
        part_count=part_count,
        part_ms=sending_ms // part_count if body else 0,
    )


def draw_routed_request(
    rng: Random,
    attempt_id: str,
    nodes: Sequence[str],
    *,
    get_routes: Callable[[], Sequence[str]],
) -> CallerRequest:
    """Draw a request on one of the routes that change."""
    return CallerRequest(
        attempt_id=attempt_id,
        node=rng.choice(nodes),
        is_relayed=False,
        is_idempotent=True,
        service=rng.choice(get_routes()),
        plan=ResponsePlan(size=40),
        deadline_ms=1_000,
        key=rng.randrange(_KEY_COUNT),
        body=b'',
        route_changes=True,
    )


def _draw_slow_plan(rng: Random) -> ResponsePlan:
    return ResponsePlan(
        work_ms=rng.choice((5, rng.randint(0, _MAX_WORK_MS), _MAX_WORK_MS)),
        size=rng.choice(_PATIENT_RESPONSE_SIZES),
        form=rng.choice(list(Framing)),
        sending_ms=rng.choice((0, rng.randint(0, _MAX_WORK_MS))),
    )


def _draw_plan(rng: Random) -> ResponsePlan:
    form = rng.choice(list(Framing))
    if rng.random() < _BROKEN_RESPONSE_SHARE:
        # An unframed body ends with the connection: if the worker closed it
        # normally after half of the body, the response would look complete.
        breaks = [Break.before, Break.reset]
        if form is not Framing.unframed:
            breaks.append(Break.in_body)
        return ResponsePlan(
            size=_BROKEN_RESPONSE_SIZE, form=form, breaks=rng.choice(breaks)
        )
    return ResponsePlan(
        work_ms=rng.choice((0, 0, 5, 5, rng.randint(20, 300))),
        body_ms=rng.choice((0, 0, 0, rng.randint(5, 300))),
        size=rng.choice(_RESPONSE_SIZES),
        status=rng.choice((200,) * 9 + (500,)),
        form=form,
    )


def _end_near_deadline(
    plan: ResponsePlan, deadline_ms: int, rng: Random
) -> ResponsePlan:
    """Return a plan whose response ends within 60 ms of the deadline."""
    total_ms = max(0, deadline_ms + rng.randint(-60, 60))
    work_ms = rng.choice((0, total_ms, total_ms // 2))
    return replace(plan, work_ms=work_ms, body_ms=total_ms - work_ms)
