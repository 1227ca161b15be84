"""Decision whether and when a failed request is sent again."""

from collections.abc import Mapping

from laburnumwood.admission.retry_budget import RetryBudget
from laburnumwood.clock import Clock
from laburnumwood.events import REQUEST_AGAIN, REQUEST_FAILED
from laburnumwood.protocol.messages import Failure
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.routing.caller_request import CallerRequest

MAX_OWNER_WAIT_MS = 3_000  # longest wait for a shard to get an owner
_HANDOVER_WAIT_MS = 250  # least wait for a live owner to hand a shard over
_OWNER_RETRY_MS = 300  # wait for a change of owner before the next attempt
_MIN_REMAINING_MS = (
    50  # too little time before the deadline for another attempt
)
_MAX_OTHER_NODES = 3  # nodes that return a request before it fails

_TRANSIENT_KINDS = frozenset(('link-lost', 'worker-cut', 'worker-unreachable'))
_OTHER_NODE_KINDS = frozenset(('overloaded', 'worker-unreachable', 'link-lost'))
_REFUSED_KINDS = frozenset(('refused', 'rejected'))
_WORKER_KINDS = _REFUSED_KINDS | {'worker-cut', 'deadline'}

Nodes = Mapping[NodeName, NodeRecord]


class RetryPolicy:
    """The attempts of one request, and the decision about another.

    A request that reached a worker is sent again only within the retry budget,
    and to no more workers than its route allows.
    """

    def __init__(
        self,
        request: CallerRequest,
        budget: RetryBudget,
        clock: Clock,
        max_owner_wait_ms: int = MAX_OWNER_WAIT_MS,
    ) -> None:
        self._work = request.work
        self._max_worker_attempts = request.attempts
        self._budget = budget
        self._clock = clock
        now_ms = clock.now_ms()
        self._until_ms = request.until_ms
        max_handover_wait_ms = max(max_owner_wait_ms, _HANDOVER_WAIT_MS)
        self._owner_wait_until_ms = {
            'no-owner': min(self._until_ms, now_ms + max_owner_wait_ms),
            'not-owner': min(self._until_ms, now_ms + max_handover_wait_ms),
        }
        self._failure_count = 0
        self.target: NodeName | None = None  # of the last attempt
        self._full_nodes: set[NodeName] = set()
        self._worker_attempts = 0
        self._other_nodes_tried = 0
        self._may_have_run = False

    @property
    def until_ms(self) -> int:
        """Return the deadline of the request, in ms of the clock."""
        return self._until_ms

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return self._may_have_run

    @property
    def has_time(self) -> bool:
        """Return whether the time that is left allows another attempt."""
        return self._clock.now_ms() + _MIN_REMAINING_MS < self._until_ms

    def record_failure(self, failure: Failure) -> None:
        """Record the failure of an attempt."""
        self._may_have_run = self._may_have_run or failure.ran
        self._worker_attempts += failure.ran or failure.kind in _WORKER_KINDS
        if failure.kind == 'overloaded' and self.target is not None:
            self._full_nodes.add(self.target)

    def without_full(self, nodes: Nodes) -> Nodes:
        """Return the nodes that have not reported to be overloaded."""
        if not self._full_nodes:
            return nodes
        return {
            name: record
            for name, record in nodes.items()
            if name not in self._full_nodes
        }

    def report_failure(self, failure: Failure, pause_ms: int | None) -> None:
        """Log the failure of an attempt; `pause_ms` is None for the last."""
        self._failure_count += 1
        event = REQUEST_FAILED if pause_ms is None else REQUEST_AGAIN
        if pause_ms is not None and self._failure_count > 1:
            return  # only the first failure and the last one are logged
        event.report(
            request=self._work.request_id,
            service=self._work.service,
            shard=self._work.shard,
            rank=self._work.priority,
            target=self.target,
            kind=failure.kind,
            detail=failure.detail,
            may_have_run=self._may_have_run,
            tries=self._failure_count,
            at_workers=self._worker_attempts,
            left_ms=self._until_ms - self._clock.now_ms(),
            retry_after_ms=failure.retry_after_ms,
        )

    def retry_delay_ms(self, failure: Failure, nodes: Nodes) -> int | None:
        """Return the delay before the next attempt, None for no more.

        `nodes` are those that currently serve the service.
        """
        if not self.has_time:
            return None
        if not failure.ran and failure.kind in self._owner_wait_until_ms:
            return self._owner_delay_ms(self._owner_wait_until_ms[failure.kind])
        if not failure.ran and self._may_try_at_once(failure):
            return self._other_node_delay_ms(failure, nodes)
        if not self._may_resend(failure) or not self._budget.try_retry():
            return None
        return 0 if self._any_node_serves else _MIN_REMAINING_MS

    @property
    def _any_node_serves(self) -> bool:
        return self._work.shard < 0

    def _may_try_at_once(self, failure: Failure) -> bool:
        # A link is replaced as soon as it is lost, also that to an owner.
        if failure.kind == 'link-lost':
            return True
        return self._any_node_serves and failure.kind in _OTHER_NODE_KINDS

    def _owner_delay_ms(self, wait_until_ms: int) -> int | None:
        remaining_ms = wait_until_ms - self._clock.now_ms()
        if remaining_ms <= _MIN_REMAINING_MS:
            return None
        if self._any_node_serves and self._other_nodes_tried < _MAX_OTHER_NODES:
            self._other_nodes_tried += 1
            return 0
        return min(_OWNER_RETRY_MS, remaining_ms)

    def _other_node_delay_ms(
        self, failure: Failure, nodes: Nodes
    ) -> int | None:
        if failure.kind == 'overloaded' and not self.without_full(nodes):
            return None
        self._other_nodes_tried += 1
        return 0 if self._other_nodes_tried < _MAX_OTHER_NODES else None

    def _may_resend(self, failure: Failure) -> bool:
        if self._worker_attempts >= self._max_worker_attempts:
            return False
        if failure.kind in _REFUSED_KINDS:
            return self._any_node_serves and not self._may_have_run
        return failure.kind in _TRANSIENT_KINDS and self._work.idempotent
