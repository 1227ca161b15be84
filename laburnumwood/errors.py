"""The exceptions of this package."""


class LaburnumwoodError(Exception):
    """The base of all exceptions of this package."""


class SettingsError(LaburnumwoodError):
    """A settings file is invalid; the text says where and why."""


class DeclarationError(LaburnumwoodError):
    """A configuration is invalid; the text says where and why."""


class ConcurrentChangeError(LaburnumwoodError):
    """Other operators changed files that this operator wants to change.

    `names` are the files changed since this operator last read them.
    """

    def __init__(self, names: tuple[str, ...]) -> None:
        super().__init__(', '.join(names))
        self.names = names


class RolloutIncompleteError(LaburnumwoodError):
    """A configuration is accepted, but not yet in force on every node."""


class OperatorCallError(LaburnumwoodError):
    """A call to the operator port of a node failed."""


class PlatformError(LaburnumwoodError):
    """The base of all failures of a call to the platform."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may have taken effect."""


class PlatformNotReachedError(PlatformUnavailableError):
    """The call had no effect: it was not sent, or the platform rejected it."""


class PlatformRateLimitedError(PlatformUnavailableError):
    """The platform serves others and turned a call away for its rate."""


class PlatformHeldBackError(PlatformNotReachedError, PlatformRateLimitedError):
    """The call was not made, as the rate of the platform was just exceeded."""


class PlatformConflictError(PlatformError):
    """The object does not have the version that the write expects."""


class CompactedError(PlatformError):
    """The platform no longer keeps the requested changes."""


class RecordError(PlatformError):
    """An object in the store does not match the schema of its record.

    Whoever has written it may replace it, so a call may succeed later.
    """


class ProtocolError(LaburnumwoodError):
    """A peer violated the protocol between nodes."""


class LinkError(LaburnumwoodError):
    """The base of all failures of an exchange with a peer."""


class LinkLostError(LinkError):
    """The connection to a peer closed or became silent."""


class StreamNotReceivedError(LinkLostError):
    """The peer has not received the stream and never will."""


class LinkTimeoutError(LinkError):
    """A peer did not answer in time."""


class MessageNotSentError(LinkTimeoutError):
    """The time was over before anything of a message was sent."""


class MessageUnknownError(LinkError):
    """The peer does not know a message of this version; it was not sent."""


class BodyTimeoutError(LinkTimeoutError):
    """The body of a request was incomplete at its deadline."""


class LinkRefusedError(LinkError):
    """The connection to a peer could not be made; no message was sent."""


class CallerDisconnectedError(LinkError):
    """The caller disconnected: its exchange was aborted or never started."""


class IncarnationExpiredError(LaburnumwoodError):
    """The incarnation of this node has expired and must not act any more."""


class WorkerError(LaburnumwoodError):
    """The base of all failures of a call to the worker."""


class WorkerUnreachableError(WorkerError):
    """The connection to the worker could not be made; nothing was sent."""


class WorkerDeadlineError(WorkerError):
    """The deadline of a request passed before anything of it was sent."""


class WorkerAnswerError(WorkerError):
    """The worker's answer is missing, incomplete or invalid."""


class RunCancelledError(LaburnumwoodError):
    """A request was cancelled because nobody waits for its answer."""


class OverloadedError(LaburnumwoodError):
    """A request was not admitted to the worker.

    `limit_per_second` is the limit on the worker's request rate because of
    which it was not admitted, None if no slot was free.
    """

    def __init__(
        self, retry_after_ms: int, limit_per_second: float | None = None
    ) -> None:
        super().__init__(f'overloaded; retry after {retry_after_ms} ms')
        self.retry_after_ms = retry_after_ms
        self.limit_per_second = limit_per_second


class NetworkBusyError(OverloadedError):
    """A request was not admitted because its answer could not leave in time."""


class BodyMemoryError(LaburnumwoodError):
    """There is no memory for a request's body, which has not run.

    `never_fits` is whether there would be none without other requests either.
    """

    def __init__(self, reason: str, *, never_fits: bool = False) -> None:
        super().__init__(reason)
        self.never_fits = never_fits


class BodyEvictedError(BodyMemoryError):
    """A request that has stalled made room for others."""

    def __init__(self, stalled_ms: int) -> None:
        super().__init__(f'it stalled for {stalled_ms} ms, others need memory')


class WorkerTimeoutError(WorkerAnswerError):
    """The worker did not answer before the timeout."""


class WorkerBusyError(WorkerError):
    """The worker could not take a request in time; nothing was sent.

    The request has to run alone, or the worker is cold.
    """
