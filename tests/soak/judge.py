"""Judges the log of the callers against the journals of the workers."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from itertools import chain

from standins.journal.entry import JournalEntry, Outcome
from standins.worker.bodies import body_of
from tests.soak.callers import Call, CallEnd
from tests.soak.fleet import NodeIncarnation
from tests.soak.holds import WorkerIncarnation, find_concurrent_holders
from tests.soak.plans import Framing

_READ_TIME_MS = 1_000  # more than a request takes to be read
_SHOWN_BYTES = 60  # bytes of a body in what shows a broken promise
_SUCCESS = range(200, 300)
_NODE_REFUSALS = frozenset((408, 421, 429, 503))  # each says: it has not run
_NODE_STATUSES = frozenset((502, 504)) | _NODE_REFUSALS


@dataclass(slots=True)
class Record:
    """All that is known of a soak when it is over."""

    calls: Sequence[Call]
    node_incarnations: Sequence[NodeIncarnation]
    worker_incarnations: Sequence[WorkerIncarnation]
    runs: dict[str, list[JournalEntry]] = field(default_factory=dict)

    @classmethod
    def of(
        cls,
        calls: Sequence[Call],
        node_incarnations: Sequence[NodeIncarnation],
        worker_incarnations: Sequence[WorkerIncarnation],
        journal_entries: Sequence[JournalEntry],
    ) -> 'Record':
        """Return the record with runs grouped by request."""
        runs = defaultdict(list)
        for entry in journal_entries:
            runs[entry.request].append(entry)
        return cls(calls, node_incarnations, worker_incarnations, runs)

    def has_run(self, call: Call) -> bool:
        """Tell whether a worker has run a request."""
        return call.request.attempt_id in self.runs

    def ran_to_completion(self, call: Call) -> bool:
        """Tell whether every worker came to the end of its answer."""
        runs = self.runs.get(call.request.attempt_id, ())
        return all(run.outcome == Outcome.ran for run in runs)

    def was_killed(self, call: Call) -> bool:
        """Tell whether the node was killed while a connection was open.

        A process that is told to stop before it handles signals is killed,
        and has read nothing by then.
        """
        return any(
            _overlaps(
                call.opened_ms,
                call,
                incarnation.unhandled_end_ms,
                incarnation.ended_ms,
            )
            for incarnation in self._incarnations_at(call)
        )

    def was_stopping(self, call: Call) -> bool:
        """Tell whether the node stopped while a connection was open."""
        return any(
            _overlaps(
                call.opened_ms,
                call,
                incarnation.stopped_ms,
                incarnation.ended_ms,
            )
            for incarnation in self._incarnations_at(call)
        )

    def was_paused(self, call: Call) -> bool:
        """Tell whether the node was paused while a call was under way."""
        return any(
            _overlaps(call.sent_ms, call, *pause)
            for incarnation in self._incarnations_at(call)
            for pause in incarnation.pauses
        )

    def _incarnations_at(self, call: Call) -> Iterator[NodeIncarnation]:
        return (
            incarnation
            for incarnation in self.node_incarnations
            if incarnation.node == call.request.node
        )


def _overlaps(
    since_ms: float,
    call: Call,
    started_ms: float | None,
    ended_ms: float | None,
) -> bool:
    """Tell whether a span touches a call, counted from some moment of it."""
    if started_ms is None or started_ms > call.done_ms:
        return False
    return ended_ms is None or ended_ms >= since_ms


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, and what shows it."""

    rule: str
    evidence: str


Rule = Callable[[Record], Iterator[str]]
RULES: dict[str, Rule] = {}


def _rule(name: str) -> Callable[[Rule], Rule]:
    def register(rule: Rule) -> Rule:
        RULES[name] = rule
        return rule

    return register


def _direct_calls(record: Record, end: CallEnd) -> Iterator[Call]:
    """Yield the calls with an end that no relay can have caused."""
    for call in record.calls:
        if call.end is end and not call.request.is_relayed:
            yield call


@_rule('ran, and its connection closed without an answer')
def unanswered_executions(record: Record) -> Iterator[str]:
    """Yield requests that were passed on and got no answer."""
    for call in _direct_calls(record, CallEnd.closed):
        if record.has_run(call) and not record.was_killed(call):
            yield _describe(call, record)


@_rule('a connection closed without an answer while its node lived')
def unanswered_requests(record: Record) -> Iterator[str]:
    """Yield requests that were not passed on, and not answered either.

    One that crosses the end of an idle connection is not read.
    """
    for call in _direct_calls(record, CallEnd.closed):
        crosses = call.done_ms - call.sent_ms < _READ_TIME_MS
        crosses = crosses or record.was_paused(call)
        ends = record.was_stopping(call) and crosses
        if not (ends or record.was_killed(call) or record.has_run(call)):
            yield _describe(call, record)


@_rule('no answer came at all')
def timed_out_requests(record: Record) -> Iterator[str]:
    """Yield requests whose callers waited in vain."""
    for call in _direct_calls(record, CallEnd.timed_out):
        yield _describe(call, record)


@_rule('answered as not run, and ran')
def executed_refusals(record: Record) -> Iterator[str]:
    """Yield refusals that were not true, or are not any more."""
    for call in record.calls:
        is_refusal = call.status in _NODE_REFUSALS and not call.stamp
        if is_refusal and record.has_run(call):
            yield _describe(call, record)


@_rule('ran twice')
def repeated_executions(record: Record) -> Iterator[str]:
    """Yield requests that may run once and ran more often."""
    for call in record.calls:
        runs = record.runs.get(call.request.attempt_id, [])
        if len(runs) > 1 and not call.request.is_idempotent:
            yield _describe(call, record)


@_rule('not the answer to its request')
def mismatched_responses(record: Record) -> Iterator[str]:
    """Yield answers of other requests, and bodies that are not whole."""
    for call in record.calls:
        if call.end is CallEnd.answered and not _matches_request(call, record):
            yield _describe(call, record)


def _matches_request(call: Call, record: Record) -> bool:
    request = call.request
    if call.response_id and call.response_id != request.attempt_id:
        return False
    if not call.stamp:
        return call.status not in _SUCCESS
    if call.stamp != f'{request.attempt_id}.{call.status}':
        return False
    body = body_of(request.attempt_id, request.plan.size)
    if request.plan.form == Framing.unframed and not record.ran_to_completion(
        call
    ):
        # Without a length, the end of a killed worker looks like any other.
        return body.startswith(call.body)
    return call.body == body


@_rule('a proper request was denied or failed inside')
def unexplained_errors(record: Record) -> Iterator[str]:
    """Yield answers of a node's own that no fault explains."""
    for call in record.calls:
        from_node = call.end is CallEnd.answered and not call.stamp
        if from_node and call.status not in _NODE_STATUSES:
            yield _describe(call, record)


@_rule('two workers held the same keys')
def concurrent_holders(record: Record) -> Iterator[str]:
    """Yield keys that two workers held at one moment."""
    yield from find_concurrent_holders(record.worker_incarnations)


@_rule('a process did not end as it should')
def unexpected_exits(record: Record) -> Iterator[str]:
    """Yield lives that ended by themselves or with a failure."""
    for incarnation in record.node_incarnations:
        is_over = not incarnation.process.is_running
        by_itself = (
            incarnation.stopped_ms is None and incarnation.killed_ms is None
        )
        failed = (
            incarnation.status not in {None, 0}
            and not incarnation.died_during_start
        )
        if (is_over and by_itself) or failed:
            yield (
                f'{incarnation.node} pid {incarnation.process.pid} '
                f'status {incarnation.status}'
            )


def _describe(call: Call, record: Record) -> str:
    runs = [
        (run.worker, run.started_ms, run.finished_ms, run.outcome)
        for run in record.runs.get(call.request.attempt_id, ())
    ]
    request = replace(call.request, body=call.request.body[:_SHOWN_BYTES])
    return (
        f'{replace(call, request=request, body=call.body[:_SHOWN_BYTES])} '
        f'runs {runs}'
    )


def find_violations(record: Record) -> list[Violation]:
    """Return each broken promise."""
    return list(
        chain.from_iterable(
            (Violation(name, evidence) for evidence in rule(record))
            for name, rule in RULES.items()
        )
    )
