"""Grants of a worker that fetches them with reports to its node.

A grant expires before the lease of the node, even on a clock that is slow by
`clock_drift`:

    duration_ms / (1 - clock_drift) <= remaining time of the lease

A lease expires before any witness seals it, so a successor that relies on
seals never acts while the worker may still hold a shard.  A node that records
the end of its own incarnation waits for `held_for_ms` first.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import accumulate
from typing import Protocol

from laburnumwood.clock import Clock
from laburnumwood.events import (
    GRANTS_CUT,
    KEYS_GIVEN,
    KEYS_RELEASED,
    WORKER_STARTED,
)
from laburnumwood.notifier import Notifier
from laburnumwood.records import KeyRange, ReleasedRange, ShardName
from laburnumwood.settings import ReportSettings
from laburnumwood.upstream.grant_rows import (
    RowSizes,
    count_fitting,
    join_rows,
)
from laburnumwood.upstream.handovers import Handovers
from laburnumwood.upstream.instances import ReportStatus
from laburnumwood.upstream.presence import Presence, WorkerPhase
from laburnumwood.upstream.reports import (
    GrantedRange,
    GrantReply,
    WorkerReport,
)
from laburnumwood.upstream.token_history import TokenHistory
from laburnumwood.upstream.worker_signals import WorkerSignals
from laburnumwood.warmup.cold_period import STALE_REPORT

_EMPTY_GRANT_MS = 1_000  # duration of a reply that grants nothing
_MIN_GRANT_MS = 50  # a shorter grant would expire before it is used
_ENVELOPE_BYTES = 40  # of a reply, besides the rows


def _join(shards: Iterable[object]) -> str:
    return ' '.join(str(each) for each in shards)


class _HeldKeys:
    """The keys that a worker reports to hold or still to process."""

    def __init__(self, report: WorkerReport) -> None:
        self._rows = sorted(report.held, key=lambda each: each.keys)
        rows = [each.keys for each in self._rows]
        self._first_keys = [keys.first for keys in rows]
        # For each first key, the highest last key of the rows up to it.
        self._last_keys = list(accumulate((keys.last for keys in rows), max))

    def has_any(self, grant: '_Grant') -> bool:
        """Return whether a row has keys of a grant under its token."""
        return any(
            self._token_at(keys.first) == grant.token for keys in grant.ranges
        )

    def overlaps_any(self, ranges: tuple[KeyRange, ...]) -> bool:
        """Return whether a row shares a key with one of the ranges."""
        return any(self._overlaps(keys) for keys in ranges)

    def _token_at(self, key: int) -> int | None:
        """Return the token of the last row that has a key, if any."""
        index = bisect_right(self._first_keys, key) - 1
        if index < 0 or self._rows[index].keys.last < key:
            return None
        return self._rows[index].token

    def _overlaps(self, keys: KeyRange) -> bool:
        index = bisect_right(self._first_keys, keys.last)
        return index > 0 and self._last_keys[index - 1] >= keys.first


class GrantSource(Protocol):
    """The shards that an incarnation of the node grants to its worker."""

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards that the node holds, with their tokens."""

    def until_ms(self) -> int:
        """Return the time until which the node's lease is valid."""

    def close(self, shard: ShardName) -> None:
        """Stop admitting requests to a shard."""

    def require_token(self, shard: ShardName, least: int) -> None:
        """Request a token that is at least as high as a given one."""

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the key ranges of a shard."""

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return the handovers that the last owner of a shard left."""


@dataclass(slots=True)
class _Grant:
    """The grant of a shard and the time at which it expires."""

    source: GrantSource
    token: int
    until_ms: int
    ranges: tuple[KeyRange, ...]
    is_withdrawn: bool = False
    is_reported: bool = False

    def is_for(self, token: int, ranges: tuple[KeyRange, ...]) -> bool:
        """Return whether the grant is for these keys under this token."""
        return self.token == token and self.ranges == ranges

    def inherit(self, previous: '_Grant | None') -> None:
        """Adopt what is still valid of the previous grant of the shard."""
        if previous is None:
            return
        self.is_reported = previous.is_reported and previous.token == self.token
        # A reply with an earlier expiry may have been lost.
        self.until_ms = max(self.until_ms, previous.until_ms)


class ReportingWorker:
    """The worker on a node's VM, and the shards that it may hold.

    The object exists as long as the node's process.  Each incarnation of the
    node attaches its own `GrantSource`, which replaces the one before.
    """

    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._source: GrantSource | None = None
        self._grants: dict[ShardName, _Grant] = {}
        self._withdrawn: set[ShardName] = set()
        self._tokens = TokenHistory()
        self._handovers = Handovers()
        self._logged_truncation = (0, 0)
        self._row_sizes = RowSizes()
        self._must_join = False
        self.presence = Presence(settings, clock)
        self.signals = WorkerSignals(self.presence, clock)
        self.changes = Notifier()
        self.lacks_tokens = False  # of shards that the last reply left out

    @property
    def has_released_all(self) -> bool:
        """Return whether the worker holds no keys and has no grants.

        Before its first report that proves so, it may have grants of an earlier
        process of the node.
        """
        return self.presence.has_shown_no_keys and not self._grants

    def attach(self, source: GrantSource | None) -> None:
        """Replace the source of grants; None if there is no incarnation."""
        self._source = source
        self._withdrawn.clear()

    def is_attached(self, source: GrantSource) -> bool:
        """Return whether a source is the one that is attached."""
        return self._source is source

    def handle_report(self, report: WorkerReport) -> GrantReply:
        """Process a report and return the grants to reply with.

        A stale report grants nothing.  It may still be of a worker that has
        started again, so its warm-up counts.
        """
        status = self.presence.record_report(report)
        if status is ReportStatus.STALE:
            if not self.presence.is_current(report):
                self._tokens.record_earlier(report)
            self.signals.warm_up.period.record_hint(
                report.warming_ms, STALE_REPORT
            )
            return GrantReply()
        if status is ReportStatus.NEW_INSTANCE:
            self._start_instance(report)
        self.signals.warm_up.period.record_report(
            report.warming_ms,
            is_new_instance=status is ReportStatus.NEW_INSTANCE,
        )
        self._tokens.record_report(report)
        if self._source is not None:
            self._record_held(report)
        return self.renew_reply(report)

    def renew_reply(self, report: WorkerReport) -> GrantReply:
        """Return the grants to reply with to the last report now.

        Nothing is granted in reply to a report that another one has followed.
        """
        if not self.presence.is_last(report):
            return GrantReply()
        if self._source is None:
            return GrantReply((), _EMPTY_GRANT_MS)
        reply = self._make_reply(self._source)
        self.changes.notify_all()
        return reply

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Return whether the worker has a grant of a shard under a token."""
        grant = self._grants.get(shard)
        if grant is None or grant.is_withdrawn or grant.token != token:
            return False
        return self._clock.now_ms() < grant.until_ms

    def next_grants_in_ms(self) -> int:
        """Return the time until the worker is expected to get new grants."""
        return self.presence.next_report_in_ms()

    def withdraw(self, shard: ShardName) -> None:
        """Stop granting a shard that is to move, from the next report on.

        Admission of requests to the shard stops with that report, or right now
        if the worker is silent or has no grant of the shard.
        """
        if self._source is None:
            return
        self._withdrawn.add(shard)
        if (
            shard not in self._grants
            or self.presence.phase is WorkerPhase.SILENT
        ):
            self._source.close(shard)

    def restore(self, shard: ShardName) -> None:
        """Grant a withdrawn shard again, because its move was abandoned."""
        self._withdrawn.discard(shard)

    def is_released(self, shard: ShardName) -> bool:
        """Return whether the worker can no longer hold a withdrawn shard.

        Either it has reported so, or its grant has expired.
        """
        grant = self._grants.get(shard)
        if grant is None:
            return True
        return self._clock.now_ms() >= grant.until_ms

    def held_for_ms(self, source: GrantSource) -> int:
        """Return for how long the worker may still hold grants of a source."""
        expiry_times = (
            grant.until_ms
            for grant in self._grants.values()
            if grant.source is source
        )
        return max(0, max(expiry_times, default=0) - self._clock.now_ms())

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return the worker's handover for each range of a shard.

        The result is empty if the worker left no handover for the shard.
        """
        if self._source is None:
            return ()
        return self._handovers.for_ranges(self._source.stripes(shard))

    def handover_for(self, keys: KeyRange) -> str:
        """Return the worker's handover for a range of keys, or ''."""
        return self._handovers.for_range(keys)

    @property
    def released_ranges(self) -> tuple[ReleasedRange, ...]:
        """Return the ranges for which this worker instance left a handover."""
        return self._handovers.all()

    def add_remote_handovers(self, released: Iterable[ReleasedRange]) -> None:
        """Add handovers that the worker of another node left."""
        self._handovers.add_remote(released)

    def _start_instance(self, report: WorkerReport) -> None:
        WORKER_STARTED.report(
            worker=report.worker_id,
            started_ms=report.started_ms,
            lost_grants=len(self._grants),
        )
        self._tokens.begin_instance()
        self._grants.clear()
        self._handovers.clear()
        self.signals.begin_instance()

    def _record_held(self, report: WorkerReport) -> None:
        held = _HeldKeys(report)
        released_shards: list[ShardName] = []
        for shard in tuple(self._grants):
            grant = self._grants[shard]
            grant.is_reported = held.has_any(grant)
            if grant.is_withdrawn and not held.overlaps_any(grant.ranges):
                self._grants.pop(shard)
                released_shards.append(shard)
        self._handovers.add_local(report.released)
        if released_shards:
            KEYS_RELEASED.report(shards=_join(released_shards))

    def _make_reply(self, source: GrantSource) -> GrantReply:
        now_ms = self._clock.now_ms()
        left_ms = source.until_ms() - now_ms
        duration_ms = int(left_ms * (1 - self._settings.clock_drift))
        duration_ms = min(duration_ms, self._settings.most_grant_ms)
        if duration_ms < _MIN_GRANT_MS:
            return self._reply_without_lease(source)
        wanted = self._select_shards(source)
        self._withdraw_others(wanted, source)
        self._log_new_grants(wanted, duration_ms)
        for shard, token in wanted.items():
            grant = _Grant(
                source, token, now_ms + left_ms, source.stripes(shard)
            )
            self._tokens.record(grant.ranges, token)
            grant.inherit(self._grants.get(shard))
            self._grants[shard] = grant
        rows = self._granted_ranges(wanted, source)
        joined = join_rows(rows) if self._must_join else rows
        return GrantReply(tuple(joined), duration_ms)

    def _reply_without_lease(self, source: GrantSource) -> GrantReply:
        """Return the reply of a node whose lease is too short for grants.

        Grants of the attached source stay valid until they expire.  If only
        earlier sources have made grants, these are withdrawn.
        """
        if any(grant.source is source for grant in self._grants.values()):
            return GrantReply()
        for grant in self._grants.values():
            grant.is_withdrawn = True
        return GrantReply((), _EMPTY_GRANT_MS)

    def _select_shards(self, source: GrantSource) -> dict[ShardName, int]:
        """Return the shards to grant with their tokens, as far as they fit.

        Shards that are granted already come first, because the worker would
        otherwise release them.
        """
        self.lacks_tokens = False
        tokens = source.tokens()
        allowed = [
            shard
            for shard in sorted(tokens)
            if self._may_grant(shard, tokens[shard], source)
        ]
        # The sort is stable, so that those that are granted stay in order.
        allowed.sort(key=lambda shard: shard not in self._grants)
        room = self._settings.most_bytes - _ENVELOPE_BYTES
        sizes = (self._size_of(each, tokens[each], source) for each in allowed)
        self._must_join = sum(sizes) > room
        if not self._must_join:
            return {shard: tokens[shard] for shard in allowed}

        def rows_of(count: int) -> Iterator[GrantedRange]:
            selected = {shard: tokens[shard] for shard in allowed[:count]}
            return self._granted_ranges(selected, source)

        granted = sum(shard in self._grants for shard in allowed)
        number = count_fitting(granted, len(allowed), room, rows_of)
        if number < len(allowed):
            self._log_truncation(allowed[number], number, len(tokens))
        return {shard: tokens[shard] for shard in allowed[:number]}

    def _size_of(
        self, shard: ShardName, token: int, source: GrantSource
    ) -> int:
        """Return how many bytes the rows of a shard take."""
        handovers = self._handovers_for(shard, source)
        rows_size = self._row_sizes.size_of(shard, source.stripes(shard), token)
        return rows_size + sum(len(each) + 2 for each in handovers)

    def _may_grant(
        self, shard: ShardName, token: int, source: GrantSource
    ) -> bool:
        """Return whether a shard may be granted; request a token if not."""
        if shard in self._withdrawn:
            return False
        ranges = source.stripes(shard)
        grant = self._grants.get(shard)
        if grant is not None and grant.is_for(token, ranges):
            return True
        least = self._tokens.least_token(ranges)
        if token < least:
            source.require_token(shard, least)
            self.lacks_tokens = True
        return token >= least

    def _log_truncation(
        self, shard: ShardName, granted: int, held: int
    ) -> None:
        if (granted, held) != self._logged_truncation:
            self._logged_truncation = granted, held
            GRANTS_CUT.report(shard=shard, given=granted, held=held)

    def _log_new_grants(
        self, wanted: dict[ShardName, int], duration_ms: int
    ) -> None:
        new_grants = [
            f'{shard}={token}'
            for shard, token in wanted.items()
            if shard not in self._grants or self._grants[shard].token != token
        ]
        if new_grants:
            KEYS_GIVEN.report(
                shards=_join(new_grants),
                lasts_ms=duration_ms,
                worker=self.presence.worker_id,
                started_ms=self.presence.started_ms,
            )

    def _withdraw_others(
        self, wanted: dict[ShardName, int], source: GrantSource
    ) -> None:
        for shard, grant in self._grants.items():
            if shard not in wanted:
                grant.is_withdrawn = True
            # What was only left out of this reply is not moved, and no end
            # of a move would open it again.
            if shard in self._withdrawn:
                source.close(shard)

    def _handovers_for(
        self, shard: ShardName, source: GrantSource
    ) -> tuple[str, ...]:
        grant = self._grants.get(shard)
        if grant is not None and grant.is_reported:
            return ()
        return source.handovers(shard) or self.handovers(shard)

    def _granted_ranges(
        self, tokens: Mapping[ShardName, int], source: GrantSource
    ) -> Iterator[GrantedRange]:
        for shard, token in tokens.items():
            ranges = source.stripes(shard)
            handovers = self._handovers_for(shard, source) or ('',) * len(
                ranges
            )
            for keys, handover in zip(ranges, handovers, strict=False):
                yield GrantedRange(keys, token, handover)
