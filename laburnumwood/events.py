"""The catalogue of numbered events.

The daemon logs only events of this catalogue, so that an operator can look up
the number of each log line in docs/EVENTS.md.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook

from laburnumwood.metrics import EVENTS

_LOG = logbook.Logger('laburnumwood')


@dataclass(frozen=True, slots=True)
class Event:
    """A kind of event: its number, level, text and advice for operators."""

    number: int
    name: str
    level: int
    text: str
    advice: str = 'no action required'

    def report(self, **fields: Any) -> None:
        """Count an event of this kind and log it with its fields."""
        EVENTS.record(1, {'name': self.name})
        if not _FILTERS or all(allows(self) for allows in _FILTERS):
            base = {'event': self.name, 'number': f'LW{self.number}'}
            extra = {**base, 'text': self.text, **fields}
            _LOG.log(self.level, self.text, extra=extra)


CATALOGUE: dict[int, Event] = {}
_FILTERS: list[Callable[[Event], bool]] = []


def add_filter(allows: Callable[[Event], bool]) -> None:
    """Log only events that a function allows; all are still counted."""
    _FILTERS.append(allows)


def _event(number: int, level: int, name: str, *texts: str) -> Event:
    if number in CATALOGUE:
        raise ValueError(f'event number {number} is a duplicate')
    CATALOGUE[number] = Event(number, name, level, *texts)
    return CATALOGUE[number]


NODE_STARTED = _event(
    100, logbook.INFO, 'node-started', 'the process is listening'
)
NODE_JOINED = _event(101, logbook.INFO, 'node-joined', 'this node has joined')
NODE_LEFT = _event(102, logbook.INFO, 'node-left', 'this node has left')
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
    'this node ended its incarnation and rejoins with a new one',
    'check whether the VM was paused or lost its network',
)
LOSS_CONFIRMED = _event(
    105,
    logbook.WARNING,
    'loss-confirmed',
    'an operator confirmed the loss of a node; its shards get new owners',
)
NODE_ID_TAKEN = _event(
    106,
    logbook.ERROR,
    'node-id-taken',
    'another process joined with the id of this node',
    'give each VM a unique id, or stop the older process',
)
NODE_RESIGNED = _event(
    107,
    logbook.WARNING,
    'node-resigned',
    'the worker does not answer; this node gives up its shards',
    'check the worker on this VM',
)
NODE_STOPPING = _event(
    108, logbook.INFO, 'node-stopping', 'this node has started a planned stop'
)
SETTINGS_READ = _event(
    109,
    logbook.INFO,
    'settings-read',
    'the settings were reread; changes take effect at the next start',
)
STOOD_STILL = _event(
    110,
    logbook.WARNING,
    'stood-still',
    'this process did not run for some time',
    'check the load and the pauses of this VM',
)
JOIN_LOST = _event(
    111,
    logbook.WARNING,
    'join-lost',
    'the record of a join was lost or replaced; this node joins again',
    'check that no other process has the id of this node',
)
LEASE_HELD = _event(201, logbook.INFO, 'lease-held', 'the lease is held')
LEASE_LOST = _event(
    202,
    logbook.WARNING,
    'lease-lost',
    'too few witnesses renewed the lease in time',
    'check the links to the listed witnesses',
)
WITNESSES_CHANGED = _event(
    203, logbook.INFO, 'witnesses-changed', 'a new set of witnesses is in use'
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
    'a node can no longer hold its lease; its end is recorded',
    'find out why it did not come back',
)
EARLIER_ENDED = _event(
    206,
    logbook.INFO,
    'earlier-ended',
    'the incarnations of earlier processes of this node are recorded as ended',
)
SHARD_CLAIMED = _event(
    301, logbook.INFO, 'shard-claimed', 'this node became owner of a shard'
)
SHARD_TAKEN_OVER = _event(
    302,
    logbook.WARNING,
    'shard-taken-over',
    'this node succeeds an owner whose lease has expired',
)
SHARD_MOVED = _event(
    303,
    logbook.INFO,
    'shard-moved',
    'this node handed a shard over to another owner',
)
SHARD_SPLIT = _event(
    304,
    logbook.INFO,
    'shard-split',
    'hot keys were split off a shard into a new shard with another owner',
)
SHARD_DROPPED = _event(
    305,
    logbook.INFO,
    'shard-dropped',
    'this node lost a shard without having moved it',
    'look for an earlier node-sealed, lease-lost or rejoining event',
)
SHARDS_UNSERVED = _event(
    306,
    logbook.WARNING,
    'shards-unserved',
    'this node holds shards and has not served them for about a second',
    'the cause says what is waited for; shards-served-again tells the end',
)
SHARDS_SERVED_AGAIN = _event(
    307,
    logbook.INFO,
    'shards-served-again',
    'shards of an earlier shards-unserved are served or no longer held',
)
WRITE_GIVEN_UP = _event(
    308,
    logbook.INFO,
    'write-given-up',
    'requests ran for too long in a closed shard, which is open again',
    'no action required; a move or split of it is tried again later',
)
RECORD_REFUSED = _event(
    401,
    logbook.ERROR,
    'record-refused',
    'an object in the store is invalid; its last valid version is kept',
    'check the object and who wrote it',
)
MESSAGE_REFUSED = _event(
    402,
    logbook.ERROR,
    'message-refused',
    'a message from a peer was rejected and the link closed',
    'check that the peer runs a compatible version',
)
STORE_UNREACHABLE = _event(
    403,
    logbook.WARNING,
    'store-unreachable',
    'the platform does not answer; ownership continues without it',
    'check the platform',
)
STORE_REACHED = _event(
    404, logbook.INFO, 'store-reached', 'the platform answers again'
)
ANSWER_UNDELIVERED = _event(
    405,
    logbook.INFO,
    'answer-undelivered',
    'a link was lost before the answer to a peer could be sent',
)
LINK_LOST = _event(
    406,
    logbook.WARNING,
    'link-lost',
    'a link to a node was lost while it carried streams',
    'check the peer and the network to it',
)
STORE_ERA_BEGUN = _event(
    407,
    logbook.WARNING,
    'store-era-begun',
    'the store came back from an older copy; what it has forgotten is written '
    'again',
    'no action required; store-era-confirmed tells when this node is done',
)
STORE_ERA_REFUSED = _event(
    408,
    logbook.ERROR,
    'store-era-refused',
    'an answer of the store names no valid era and is not used',
    'check what stands between this node and the platform',
)
STORE_ERA_CONFIRMED = _event(
    409,
    logbook.INFO,
    'store-era-confirmed',
    'the store has again all that this node is responsible for',
)
RECORD_FORGOTTEN = _event(
    410,
    logbook.WARNING,
    'record-forgotten',
    'the store has an older version of a record, or none',
)
RECORD_WRITTEN_BACK = _event(
    411,
    logbook.INFO,
    'record-written-back',
    'a record that the store had forgotten was written again',
)
DOMAIN_EVACUATED = _event(
    412,
    logbook.WARNING,
    'domain-evacuated',
    'an operator evacuated a failure domain; its workers get no requests',
)
DOMAIN_TAKEN_BACK = _event(
    413,
    logbook.INFO,
    'domain-taken-back',
    'a failure domain is no longer evacuated; its workers get requests again',
)
CONFIG_IN_FORCE = _event(
    501, logbook.INFO, 'config-in-force', 'a configuration is in force'
)
CONFIG_UNCONFIRMED = _event(
    503,
    logbook.INFO,
    'config-unconfirmed',
    'requests were handled by a configuration that was not confirmed lately',
    'if it goes on, find out why nobody near this node can read the store',
)
CONFIG_REFUSED = _event(
    502,
    logbook.ERROR,
    'config-refused',
    'the stored configuration is invalid; the last valid one stays in force',
    'apply a corrected configuration',
)
OPERATOR_CHANGE = _event(
    511,
    logbook.INFO,
    'operator-change',
    'an operator changed the state of this node',
)
OPERATOR_REFUSED = _event(
    512,
    logbook.WARNING,
    'operator-refused',
    'a call to the operator port was not authorized',
    'compare the token of the caller with the settings of this node',
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
    'the worker died during a request, which will run alone from now on',
    'find out why the worker died',
)
REQUEST_BARRED = _event(
    603,
    logbook.ERROR,
    'request-barred',
    'workers died each time they ran a request, which is now refused',
    'fix the workers; the request is admitted again after ten minutes',
)
WORKER_STARTED = _event(
    611,
    logbook.INFO,
    'worker-started',
    'a new instance of the worker started; it holds no shards yet',
)
WORKER_LEAVES = _event(
    612,
    logbook.INFO,
    'worker-leaves',
    'the worker said that it is about to stop; it gets no new work',
)
WORKER_SILENT = _event(
    613,
    logbook.WARNING,
    'worker-silent',
    'the worker has stopped reporting; its shards get other owners',
    'check the worker on this VM',
)
REPORT_REFUSED = _event(
    614,
    logbook.ERROR,
    'report-refused',
    'a report is invalid or comes from another worker',
    'check who sends reports to this node',
)
GRANTS_CUT = _event(
    615,
    logbook.ERROR,
    'grants-cut',
    'not all grants fit into one answer to the worker',
    'add workers to the service',
)
HANDOVERS_TOLD = _event(
    616,
    logbook.INFO,
    'handovers-told',
    'this node restarted and sent others the handovers of its worker',
)
KEYS_GIVEN = _event(
    617,
    logbook.INFO,
    'keys-given',
    'the worker was granted shards that it had no grant for before',
)
KEYS_RELEASED = _event(
    618,
    logbook.INFO,
    'keys-released',
    'the worker reported that it no longer holds shards',
)
WORKER_LIMIT = _event(
    619,
    logbook.WARNING,
    'worker-limit',
    'the worker named a limit on its request rate, changed it or ended it',
    'find out what the worker is short of',
)
SIGNAL_REFUSED = _event(
    620,
    logbook.ERROR,
    'signal-refused',
    'a header in which the worker describes itself is invalid and is ignored',
    'check the worker on this VM',
)
REPORT_STALE = _event(
    621,
    logbook.WARNING,
    'report-stale',
    'a report was overtaken by a newer one, or is of an earlier instance',
    'if this goes on, compare the clocks that its instances started by',
)
TOKENS_REPORTED = _event(
    622,
    logbook.WARNING,
    'tokens-reported',
    'the worker reports tokens that this process has not granted it',
    'no action required if this node was restarted beside its worker',
)
WORKER_COLD = _event(
    623,
    logbook.INFO,
    'worker-cold',
    'the worker is cold, or not known to be warm, and is sent less',
)
DEPARTURE_UNRECORDED = _event(
    624,
    logbook.WARNING,
    'departure-unrecorded',
    'the worker was answered that it may stop before the store had recorded '
    'that; if this process is killed, the next one may not know of it',
    'find out why the store does not answer',
)
REQUEST_FAILED = _event(
    701,
    logbook.INFO,
    'request-failed',
    'a request failed without an answer from a worker',
)
REQUEST_AGAIN = _event(
    702, logbook.INFO, 'request-again', 'a request is retried on a node'
)
REQUEST_RETURNED = _event(
    703,
    logbook.INFO,
    'request-returned',
    'the node of the owner returned a request without an answer',
)
REQUESTS_SERVED = _event(
    704,
    logbook.INFO,
    'requests-served',
    'number of requests answered at this door, by service and status',
)
ANSWER_CUT = _event(
    705,
    logbook.WARNING,
    'answer-cut',
    'a connection of a caller was reset because its answer is incomplete',
    'check the node named in the events of the request, and its link',
)
CALLER_LOST = _event(
    706,
    logbook.INFO,
    'caller-lost',
    'a connection of a caller was lost while its request was processed',
)
NOT_ACCEPTED = _event(
    709,
    logbook.ERROR,
    'not-accepted',
    'a connection could not be accepted; the listener retries',
    'check the number and the limit of open file descriptors',
)
CALLER_GONE = _event(
    707,
    logbook.INFO,
    'caller-gone',
    'a caller disconnected before its request was answered',
)
RUN_CANCELLED = _event(
    708,
    logbook.INFO,
    'run-cancelled',
    'a request was cancelled because nobody waits for its answer any more',
)
GATE_LOAD = _event(
    710,
    logbook.INFO,
    'gate-load',
    'busy slots of the worker, and requests that were admitted and shed, '
    'in the last seconds',
)
REQUEST_REJECTED = _event(
    711,
    logbook.INFO,
    'request-rejected',
    'a request was rejected at this door before it was sent to a node',
    'compare the generation in force with the one that was applied',
)
HEAD_REJECTED = _event(
    712,
    logbook.INFO,
    'head-rejected',
    'a request was rejected because its head is malformed or too large',
    'check the caller, and the limits of the configuration',
)
LEDGER_INCOMPLETE = _event(
    713,
    logbook.WARNING,
    'ledger-incomplete',
    'this node may miss entries of the run ledger of a shard that it owns',
    'requests with idempotency keys that it does not find are refused until '
    'another node tells it, or for ten minutes',
)
LEDGER_RECOVERED = _event(
    714,
    logbook.INFO,
    'ledger-recovered',
    'other nodes told this one which entries of the run ledger there are',
)
ANSWER_LATE = _event(
    715,
    logbook.INFO,
    'answer-late',
    'a request was answered after its deadline',
    'compare what was waited unread, what the body took and what followed',
)
DOOR_LOAD = _event(
    716,
    logbook.INFO,
    'door-load',
    'requests that were answered at this door in the last second, by service '
    'and rank',
)
REQUEST_THROTTLED = _event(
    717,
    logbook.INFO,
    'request-throttled',
    'a request was rejected at this door because its gate rejects most that '
    'are like it',
)
BODY_EVICTED = _event(
    721,
    logbook.WARNING,
    'body-evicted',
    'a request that had stopped coming was refused, as memory was short',
    'find out which callers stop in the middle of their requests',
)
CONNECTION_EVICTED = _event(
    722,
    logbook.WARNING,
    'connection-evicted',
    'the connection of a caller was closed, as too many were open',
    'find out which callers open so many; compare with the descriptors and '
    'the memory of the VM',
)
MEMORY_UNKNOWN = _event(
    723,
    logbook.WARNING,
    'memory-unknown',
    'the system does not tell what memory this process takes',
    'make /proc readable, or leave more memory to what is not a body',
)
TASK_FAILED = _event(
    901,
    logbook.ERROR,
    'task-failed',
    'a task of the daemon failed and is restarted',
    'report this as a bug, with the log',
)
WORK_FAILED = _event(
    903,
    logbook.ERROR,
    'work-failed',
    'a one-time task of the daemon failed and is not retried',
    'report this as a bug, with the log',
)
ANSWER_FAILED = _event(
    902,
    logbook.ERROR,
    'answer-failed',
    'a request failed because of an internal error of the daemon',
    'report this as a bug, with the log',
)
