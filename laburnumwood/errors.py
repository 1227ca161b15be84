"""The types of everything that can go wrong."""


class LaburnumwoodError(Exception):
    """The base of all errors of this package."""


class SettingsError(LaburnumwoodError):
    """A settings file can't be used; the text says where and why."""


class DeclarationError(LaburnumwoodError):
    """A configuration can't be accepted; the text says where and why."""


class ConcurrentChangeError(LaburnumwoodError):
    """Files were changed by others since the operator saw them."""

    def __init__(self, names: tuple[str, ...]) -> None:
        super().__init__(', '.join(names))
        self.names = names


class RolloutIncompleteError(LaburnumwoodError):
    """A configuration is accepted, but some node does not have it yet."""


class OperatorCallError(LaburnumwoodError):
    """A node did not do what an operator asked of it."""


class PlatformError(LaburnumwoodError):
    """The base of what can go wrong with a call of the platform."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may have taken effect."""


class PlatformNotReachedError(PlatformUnavailableError):
    """The platform was not reached or says so: this call did nothing."""


class PlatformConflictError(PlatformError):
    """The object had another version than the write asked for."""


class CompactedError(PlatformError):
    """The platform no longer keeps the changes asked for."""


class RecordError(LaburnumwoodError):
    """An object of the store has an unknown form."""


class ProtocolError(LaburnumwoodError):
    """A peer broke the protocol between nodes."""


class LinkError(LaburnumwoodError):
    """The base of what ends an exchange with a peer."""


class LinkLostError(LinkError):
    """The connection to a peer ended or went silent."""


class LinkTimeoutError(LinkError):
    """A peer did not answer in time."""


class LinkRefusedError(LinkError):
    """No connection to a peer could be made; nothing was sent."""


class CallerDisconnectedError(LinkError):
    """The caller left, so that an exchange for it was ended or not begun."""


class IncarnationExpiredError(LaburnumwoodError):
    """The incarnation of this node has lapsed and must not act any more."""


class WorkerError(LaburnumwoodError):
    """The base of what can go wrong with a call of the worker."""


class WorkerUnreachableError(WorkerError):
    """No connection to the worker could be made; nothing was sent."""


class WorkerAnswerError(WorkerError):
    """The worker's answer ended early or never came."""


class RunCancelledError(LaburnumwoodError):
    """Nobody waits for the answer to a request any more."""


class OverloadedError(LaburnumwoodError):
    """A request was not let in to the worker."""

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(f'come again after {retry_after_ms} ms')
        self.retry_after_ms = retry_after_ms


class WorkerTimeoutError(WorkerAnswerError):
    """The worker did not answer in time."""


class WorkerBusyError(WorkerError):
    """A request could not have the worker for itself; nothing was sent."""
