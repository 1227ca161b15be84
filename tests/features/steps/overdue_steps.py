"""Steps about the rules of the soak for requests that outlast their timeout."""

from typing import Any

from behave import given, then
from behave.runner import Context

from tests.soak.caller_requests import CallerRequest
from tests.soak.callers import Call, CallEnd
from tests.soak.fleet import SHARDED_SERVICE, NodeIncarnation
from tests.soak.judge import RULES, Record
from tests.soak.manifests import ManifestChange
from tests.soak.plans import ResponsePlan

NODE = 'n1'
SENT_MS = 10_000
TIMEOUT_MS = 1_000
EARLIER_TIMEOUT_MS = 2_000
PAUSE_MS = 100
HELD_RULES = {
    'some': 'requests were held past the timeout of their route',
    'one': 'a request was held long past the timeout of its route',
}


def _call(late_ms: int, part_ms: int) -> Call:
    request = CallerRequest(
        attempt_id=f'{late_ms}',
        node=NODE,
        is_relayed=False,
        is_idempotent=True,
        service=SHARDED_SERVICE,
        plan=ResponsePlan(),
        deadline_ms=SENT_MS,
        key=0,
        body=b'',
        part_ms=part_ms,
    )
    done_ms = SENT_MS + TIMEOUT_MS + late_ms
    return Call(request, SENT_MS, SENT_MS, done_ms, CallEnd.answered)


@given('a timeout that was shortened to 1000 ms at {changed:d} ms')
def set_timeouts(context: Context, changed: int) -> None:
    context.changes = [
        ManifestChange(EARLIER_TIMEOUT_MS, 0, 0),
        ManifestChange(TIMEOUT_MS, changed, changed),
    ]
    context.calls = []


@given(
    'a node that served from {served:d} ms and was paused until {resumed:d} ms'
)
def set_node(context: Context, served: int, resumed: int) -> None:
    process: Any = None
    pauses: list[tuple[float, float]] = [(resumed - PAUSE_MS, resumed)]
    context.incarnations = [
        NodeIncarnation(
            NODE, process, 0, started_ms=0, pauses=pauses, serving_ms=served
        )
    ]


@given(
    '{count:d} requests sent to it {how} at 10000 ms that ended {late:d} ms '
    'after the timeout'
)
def add_calls(context: Context, count: int, how: str, late: int) -> None:
    part_ms = {'slowly': 1, 'at once': 0}[how]
    context.calls.extend(_call(late, part_ms) for _ in range(count))


@then('the soak finds that {found} held')
def check_found(context: Context, found: str) -> None:
    record = Record(
        context.calls,
        context.incarnations,
        worker_incarnations=(),
        manifest_changes=context.changes,
    )
    broken = [
        name for name, rule in HELD_RULES.items() if list(RULES[rule](record))
    ]
    expected = {'none were': [], 'some were': ['some'], 'one was': ['one']}
    assert broken == expected[found], broken
