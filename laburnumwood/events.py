"""Numbered events.

Everything that the daemon logs is an event of this catalogue, so that an
operator can look its number up in docs/EVENTS.md.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook

from laburnumwood.metrics import EVENTS

_LOG = logbook.Logger('laburnumwood')


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of event: its number, its level, what it says and what to do."""

    number: int
    name: str
    level: int
    text: str
    advice: str = 'nothing to do'

    def report(self, **fields: Any) -> None:
        """Log one event of this kind with its fields."""
        EVENTS.record(1, {'name': self.name})
        if not _FILTERS or all(allows(self) for allows in _FILTERS):
            described = {'event': self.name, 'number': f'LW{self.number}'}
            extra = {**described, 'text': self.text, **fields}
            _LOG.log(self.level, self.text, extra=extra)


CATALOGUE: dict[int, Event] = {}
_FILTERS: list[Callable[[Event], bool]] = []


def limit_events(allows: Callable[[Event], bool]) -> None:
    """Log only the events that a function allows; all are counted."""
    _FILTERS.append(allows)


def _event(number: int, level: int, name: str, *texts: str) -> Event:
    if number in CATALOGUE:
        raise ValueError(f'event number {number} stands twice')
    CATALOGUE[number] = Event(number, name, level, *texts)
    return CATALOGUE[number]


NODE_STARTED = _event(100, logbook.INFO, 'node-started', 'the process listens')
NODE_JOINED = _event(
    101, logbook.INFO, 'node-joined', 'this node announced itself'
)
NODE_LEFT = _event(102, logbook.INFO, 'node-left', 'this node ended its run')
NODE_SEALED = _event(
    103,
    logbook.WARNING,
    'node-sealed',
    'a majority of witnesses sealed a node',
    'find out why the VM stopped renewing its lease',
)
REJOINING = _event(
    104,
    logbook.WARNING,
    'rejoining',
    'this node gave up its incarnation and joins anew',
    'check whether the VM was paused or cut off',
)
LOSS_CONFIRMED = _event(
    105,
    logbook.WARNING,
    'loss-confirmed',
    'an operator asserted that a node is lost; its shards get new owners',
)
NODE_ID_TAKEN = _event(
    106,
    logbook.ERROR,
    'node-id-taken',
    'another process announced itself under the id of this node',
    'give each VM an id of its own, or stop the older process',
)
NODE_RESIGNED = _event(
    107,
    logbook.WARNING,
    'node-resigned',
    'the worker does not answer, so this node gives its shards up',
    'check the worker on this VM',
)
NODE_STOPPING = _event(
    108, logbook.INFO, 'node-stopping', 'this node begins a planned stop'
)
SETTINGS_READ = _event(
    109,
    logbook.INFO,
    'settings-read',
    'the settings were read again; a change counts from the next start',
)
LEASE_HELD = _event(201, logbook.INFO, 'lease-held', 'the lease is held')
LEASE_LOST = _event(
    202,
    logbook.WARNING,
    'lease-lost',
    'too few witnesses renewed the lease in time',
    'check the links to the witnesses named',
)
WITNESSES_CHANGED = _event(
    203, logbook.INFO, 'witnesses-changed', 'a new set of witnesses stands'
)
WITNESSES_KEPT = _event(
    204,
    logbook.WARNING,
    'witnesses-kept',
    'lost witnesses are not replaced while the platform does not answer',
    'check the platform',
)
END_RECORDED = _event(
    205,
    logbook.WARNING,
    'end-recorded',
    'a node can hold no lease any more: its end is recorded',
    'find out why it did not come back',
)
SHARD_CLAIMED = _event(
    301, logbook.INFO, 'shard-claimed', 'this node became owner of a shard'
)
SHARD_TAKEN_OVER = _event(
    302,
    logbook.WARNING,
    'shard-taken-over',
    'this node follows an owner whose lease has lapsed',
)
SHARD_MOVED = _event(
    303, logbook.INFO, 'shard-moved', 'this node handed a shard over'
)
SHARD_SPLIT = _event(
    304,
    logbook.INFO,
    'shard-split',
    'hot keys of a shard become a shard of their own with another owner',
)
SHARD_DROPPED = _event(
    305,
    logbook.INFO,
    'shard-dropped',
    'this node may act for a shard no longer, without having moved it',
    'look for node-sealed, lease-lost or rejoining before it',
)
RECORD_REFUSED = _event(
    401,
    logbook.ERROR,
    'record-refused',
    'an object of the store has an unknown form; the last good one stays',
    'look at the object named and at who wrote it',
)
MESSAGE_REFUSED = _event(
    402,
    logbook.ERROR,
    'message-refused',
    'a message of a peer was refused and its link closed',
    'check that the peer runs a version that fits',
)
STORE_UNREACHABLE = _event(
    403,
    logbook.WARNING,
    'store-unreachable',
    'the platform does not answer; ownership goes on without it',
    'check the platform',
)
STORE_REACHED = _event(
    404, logbook.INFO, 'store-reached', 'the platform answers again'
)
ANSWER_UNDELIVERED = _event(
    405,
    logbook.INFO,
    'answer-undelivered',
    'a call of a peer ended with its link; its answer has no receiver',
)
LINK_LOST = _event(
    406,
    logbook.WARNING,
    'link-lost',
    'a link to a node ended under streams that it carried',
    'check the node named and the network to it',
)
CONFIG_IN_FORCE = _event(
    501, logbook.INFO, 'config-in-force', 'a configuration came into force'
)
CONFIG_REFUSED = _event(
    502,
    logbook.ERROR,
    'config-refused',
    'the stored configuration is not valid; the last good one stays in force',
    'apply a corrected configuration',
)
OPERATOR_CHANGE = _event(
    511, logbook.INFO, 'operator-change', 'an operator changed this node'
)
OPERATOR_REFUSED = _event(
    512,
    logbook.WARNING,
    'operator-refused',
    'a call of the operator port had no right to what it asked for',
    'check the token of the caller against the settings of this node',
)
WORKER_UNREACHABLE = _event(
    601,
    logbook.WARNING,
    'worker-unreachable',
    'the worker of this node does not answer',
    'check the worker on this VM',
)
REQUEST_SUSPECTED = _event(
    602,
    logbook.WARNING,
    'request-suspected',
    'the worker died under a request, which runs alone from now on',
    'find out why the worker died',
)
REQUEST_BARRED = _event(
    603,
    logbook.ERROR,
    'request-barred',
    'workers died whenever they ran a request, which is refused from now on',
    'mend the workers; the request is let in again after ten minutes',
)
WORKER_STARTED = _event(
    611,
    logbook.INFO,
    'worker-started',
    'a life of the worker began; it holds nothing of before',
)
WORKER_LEAVES = _event(
    612,
    logbook.INFO,
    'worker-leaves',
    'the worker says that it is about to end; it gets no new work',
)
WORKER_SILENT = _event(
    613,
    logbook.WARNING,
    'worker-silent',
    'the reports of the worker stay out; its shards get other owners',
    'check the worker on this VM',
)
REPORT_REFUSED = _event(
    614,
    logbook.ERROR,
    'report-refused',
    'a report of a worker can not be read or is not of this worker',
    'look at who sends reports to this node',
)
GRANTS_CUT = _event(
    615,
    logbook.ERROR,
    'grants-cut',
    'more shards are held than fit into one answer to the worker',
    'add workers to the service',
)
HANDOVERS_TOLD = _event(
    616,
    logbook.INFO,
    'handovers-told',
    'this node came back beside its worker and told others what it let go',
)
KEYS_GIVEN = _event(
    617,
    logbook.INFO,
    'keys-given',
    'the worker is answered to hold shards that it was not given before',
)
KEYS_RELEASED = _event(
    618,
    logbook.INFO,
    'keys-released',
    'the worker has reported that it holds shards no longer',
)
REQUEST_FAILED = _event(
    701,
    logbook.INFO,
    'request-failed',
    'a request ends without an answer of a worker',
)
REQUEST_AGAIN = _event(
    702, logbook.INFO, 'request-again', 'a request is sent to a node again'
)
REQUEST_RETURNED = _event(
    703,
    logbook.INFO,
    'request-returned',
    'the node of the owner returns a request without an answer',
)
REQUESTS_SERVED = _event(
    704,
    logbook.INFO,
    'requests-served',
    'how many requests of each service and status this door has answered',
)
ANSWER_CUT = _event(
    705,
    logbook.WARNING,
    'answer-cut',
    'the connection of a caller is reset: its answer did not come whole',
    'look for the node named in the request lines, or its link',
)
CALLER_LOST = _event(
    706,
    logbook.INFO,
    'caller-lost',
    'a connection of a caller ended while its request was being answered',
)
NOT_ACCEPTED = _event(
    709,
    logbook.ERROR,
    'not-accepted',
    'a connection could not be taken; the listener tries again',
    'check how many descriptors the process may have, and has',
)
CALLER_GONE = _event(
    707,
    logbook.INFO,
    'caller-gone',
    'a caller left before its request was answered',
)
RUN_CANCELLED = _event(
    708,
    logbook.INFO,
    'run-cancelled',
    'a request was ended at the gate: nobody waits for its answer any more',
)
GATE_LOAD = _event(
    710,
    logbook.INFO,
    'gate-load',
    'how many slots of the worker were busy, and how many requests were '
    'let in and shed, in the last seconds',
)
TASK_FAILED = _event(
    901,
    logbook.ERROR,
    'task-failed',
    'a task of the daemon failed and is started again',
    'report this with the log',
)
WORK_FAILED = _event(
    903,
    logbook.ERROR,
    'work-failed',
    'something that was done once failed, and is not done again',
    'report this with the log',
)
ANSWER_FAILED = _event(
    902,
    logbook.ERROR,
    'answer-failed',
    'a request met a fault of the daemon and got no answer of a worker',
    'report this with the log',
)
