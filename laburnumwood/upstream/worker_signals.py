"""What a worker says about itself in its answers."""

from dataclasses import dataclass

from laburnumwood.admission.rate_limiter import CombinedLimiter, StartLimiter
from laburnumwood.clock import MS_PER_SECOND, Clock
from laburnumwood.events import SIGNAL_REFUSED
from laburnumwood.records import WorkerNotice
from laburnumwood.upstream.announced_limit import (
    ANSWER,
    OTHER_NODE,
    AnnouncedLimit,
)
from laburnumwood.upstream.presence import Presence
from laburnumwood.upstream.worker_load import LastingPace, WorkerLoad
from laburnumwood.warmup.worker_warmup import WorkerWarmUp

_ASSUMED_SLOT_MS = 200  # for which a request keeps a slot, until one has ended


@dataclass(frozen=True, slots=True)
class AnswerSignals:
    """What one answer says about the worker.

    `limit_per_second` is the rate of requests, from all nodes together, that
    the worker accepts; None if it names no limit.  `invalid` describes headers
    that could not be read; they say nothing.  `load` is None if the worker does
    not tell it.
    """

    limit_per_second: float | None = None
    is_leaving: bool = False
    invalid: str = ''
    load: WorkerLoad | None = None


class WorkerSignals:
    """The state of a worker according to its answers.

    It is that of the current instance of the worker, and lasts as long as the
    process of the node.
    """

    def __init__(self, presence: Presence, clock: Clock) -> None:
        self._presence = presence
        self._clock = clock
        self._instance_since_ms = clock.now_ms()
        self._refused = ''  # the last invalid header that was logged
        self.limit = AnnouncedLimit(clock)
        self.pace = LastingPace(clock)
        self.warm_up = WorkerWarmUp(clock)
        self.start_limiter: StartLimiter = CombinedLimiter(
            self.limit.rate_limiter, self.warm_up.limiter
        )

    @property
    def _recent_limit(self) -> float | None:
        """Return the lower one of the limits of which was heard lately."""
        limits = (self.limit.recent_per_second, self.warm_up.limiter.limit)
        return min((each for each in limits if each is not None), default=None)

    def begin_instance(self) -> None:
        """Forget everything: another instance of the worker has started."""
        self._instance_since_ms = self._clock.now_ms()
        self._refused = ''
        self.limit.begin_instance(self._presence.worker_id)
        self.pace.begin_instance()
        self.warm_up.period.worker_id = self._presence.worker_id

    def record(self, signals: AnswerSignals, sent_ms: int) -> None:
        """Record what an answer says; its request was sent at `sent_ms`."""
        if sent_ms < self._instance_since_ms:
            return
        if signals.is_leaving:
            self._presence.begin_leaving(ANSWER)
        if signals.load is not None:
            self.pace.record(signals.load)
        if signals.invalid:
            self._report_invalid(signals.invalid)
        else:
            self.limit.record(signals.limit_per_second, sent_ms)

    def record_notice(self, notice: WorkerNotice) -> None:
        """Record what another node has heard of the worker."""
        instance = self._presence.worker_id, self._presence.started_ms
        if (notice.worker_id, notice.started_ms) != instance:
            return
        if notice.is_leaving:
            self._presence.adopt_leaving(OTHER_NODE, notice.leaving_for_ms)
        if notice.limit_per_second is not None:
            self.limit.adopt(notice.limit_per_second)

    def notice(self, mean_slot_ms: float) -> WorkerNotice | None:
        """Return what the worker says about itself, None if nothing special.

        `mean_slot_ms` is the mean time for which a request keeps a slot.
        """
        is_limited = self._recent_limit is not None
        is_slow = self.pace.slow_pace is not None
        if is_limited or is_slow or self._presence.is_leaving:
            return self._make_notice(mean_slot_ms)
        return None

    def known_notice(self, mean_slot_ms: float) -> WorkerNotice | None:
        """Return what is known of the worker, None if it was not heard yet."""
        if self.limit.is_heard:
            return self._make_notice(mean_slot_ms)
        return self.notice(mean_slot_ms)

    def _make_notice(self, mean_slot_ms: float) -> WorkerNotice:
        slot_ms = mean_slot_ms or _ASSUMED_SLOT_MS * self.warm_up.is_cold
        usable_slots = (self._recent_limit or 0) * slot_ms / MS_PER_SECOND
        return WorkerNotice(
            worker_id=self._presence.worker_id,
            started_ms=self._presence.started_ms,
            is_leaving=self._presence.is_leaving,
            limit_per_second=self.limit.recent_per_second,
            usable_slots=usable_slots or None,
            leaving_for_ms=self._presence.leaving_for_ms,
            warming_ms=self.warm_up.period.left_ms or None,
            pace=self.pace.slow_pace,
        )

    def _report_invalid(self, header: str) -> None:
        if header != self._refused:
            self._refused = header
            SIGNAL_REFUSED.report(
                worker=self._presence.worker_id, header=header
            )
