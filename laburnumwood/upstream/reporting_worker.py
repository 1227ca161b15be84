"""Grants of a worker that reports to its node and is answered with them.

A grant ends, on a clock that counts slow by `clock_drift`, before the lease
of the node does:

    lasts_ms / (1 - clock_drift) <= what is left of the lease

and a lease ends before any witness seals it, so no successor acts by seals
while the worker may still hold a shard.  Ends that a node records itself wait
for `held_for_ms`.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
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
from laburnumwood.upstream.handovers import Handovers
from laburnumwood.upstream.instances import ReportStatus
from laburnumwood.upstream.presence import Presence, WorkerPhase
from laburnumwood.upstream.reports import (
    GrantedRange,
    GrantReply,
    WorkerReport,
)

_NOTHING_MS = 1_000  # how long a grant of nothing lasts
_LEAST_GRANT_MS = 50  # a shorter one would end before it is used
_RANGE_BYTES = 11  # of a range with its token and no handover, at most


def _text_of(shards: Iterable[object]) -> str:
    return ' '.join(str(each) for each in shards)


class _HeldKeys:
    """The keys that a worker reports to hold or to work on still."""

    def __init__(self, report: WorkerReport) -> None:
        rows = sorted(each.keys for each in report.held)
        self._firsts = [keys.first for keys in rows]
        self._begun = frozenset(self._firsts)
        # The last key of any row that begins there or before.
        self._lasts = list(accumulate((keys.last for keys in rows), max))

    def begin_any(self, ranges: tuple[KeyRange, ...]) -> bool:
        """Tell whether a row begins where one of some ranges does."""
        return any(keys.first in self._begun for keys in ranges)

    def meet_any(self, ranges: tuple[KeyRange, ...]) -> bool:
        """Tell whether a row has a key of one of some ranges."""
        return any(self._meet(keys) for keys in ranges)

    def _meet(self, keys: KeyRange) -> bool:
        place = bisect_right(self._firsts, keys.last)
        return place > 0 and self._lasts[place - 1] >= keys.first


class GrantSource(Protocol):
    """What the present incarnation of the node lets its worker hold."""

    def tokens(self) -> dict[ShardName, int]:
        """Return the shards that the node holds, with their tokens."""

    def until_ms(self) -> int:
        """Return until when the node may act."""

    def close(self, shard: ShardName) -> None:
        """Let no more requests in to a shard."""

    def require_higher_token(self, shard: ShardName) -> None:
        """Ask for a higher token: the worker's next life needs one."""

    def stripes(self, shard: ShardName) -> tuple[KeyRange, ...]:
        """Return the keys of a shard."""

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the shard's last owner left for this one."""


@dataclass(slots=True)
class _Given:
    """What the worker was given for a shard, and until when."""

    source: GrantSource
    token: int
    until_ms: int
    ranges: tuple[KeyRange, ...]
    is_withdrawn: bool = False
    is_reported: bool = False

    def follow(self, known: '_Given | None') -> None:
        """Take over what still counts of what was given before."""
        if known is None:
            return
        self.is_reported = known.is_reported and known.token == self.token
        # The answer that ends sooner may be lost.
        self.until_ms = max(self.until_ms, known.until_ms)


class ReportingWorker:
    """What the worker beside a node is, and what it may hold.

    It lives as long as the node; incarnations of the node come and go as its
    `holder`.
    """

    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._source: GrantSource | None = None
        self._given: dict[ShardName, _Given] = {}
        self._withdrawn: set[ShardName] = set()
        self._highest: dict[ShardName, int] = {}  # tokens given ever
        self._spent: dict[ShardName, int] = {}  # of earlier lives
        self._left = Handovers()
        self._last_cut = (0, 0)
        self.presence = Presence(settings, clock)
        self.changes = Notifier()

    @property
    def has_released_all(self) -> bool:
        """Tell whether the worker has reported that it holds nothing."""
        return self.presence.reports_no_keys and not self._given

    def attach(self, source: GrantSource | None) -> None:
        """Let another incarnation say what the worker is to hold."""
        self._source = source
        self._withdrawn.clear()

    def is_attached(self, source: GrantSource) -> bool:
        """Tell whether a source is the one that says what is to be held."""
        return self._source is source

    def handle_report(self, report: WorkerReport) -> GrantReply:
        """Take in a report and return what the worker is to hold."""
        news = self.presence.record_report(report)
        if news is ReportStatus.STALE:
            return GrantReply()
        if news is ReportStatus.NEW_INSTANCE:
            self._begin_life(report)
        if self._source is None:
            return GrantReply((), _NOTHING_MS)
        self._note_held(report)
        reply = self._grant(self._source)
        self.changes.notify_all()
        return reply

    def covers(self, shard: ShardName, token: int | None) -> bool:
        """Tell whether the worker has a grant for a shard and a token."""
        given = self._given.get(shard)
        if given is None or given.is_withdrawn or given.token != token:
            return False
        return self._clock.now_ms() < given.until_ms

    def next_grants_in_ms(self) -> int:
        """Return in what time the worker will get its next grants."""
        return self.presence.next_report_in_ms()

    def withdraw(self, shard: ShardName) -> None:
        """Give a shard no more, from the next report on."""
        if self._source is None:
            return
        self._withdrawn.add(shard)
        if (
            shard not in self._given
            or self.presence.phase is WorkerPhase.SILENT
        ):
            self._source.close(shard)

    def restore(self, shard: ShardName) -> None:
        """Give a shard again that was withdrawn."""
        self._withdrawn.discard(shard)

    def is_released(self, shard: ShardName) -> bool:
        """Tell whether the worker can't hold a withdrawn shard any more."""
        given = self._given.get(shard)
        if given is None:
            return True
        return self._clock.now_ms() >= given.until_ms

    def held_for_ms(self, source: GrantSource) -> int:
        """Return for how long the worker may still hold what a holder gave."""
        untils = (
            given.until_ms
            for given in self._given.values()
            if given.source is source
        )
        return max(0, max(untils, default=0) - self._clock.now_ms())

    def handovers(self, shard: ShardName) -> tuple[str, ...]:
        """Return what the worker left for the next owner of a shard."""
        if self._source is None:
            return ()
        return self._left.for_ranges(self._source.stripes(shard))

    def handover_for(self, keys: KeyRange) -> str:
        """Return what the worker left for the next owner of some keys."""
        return self._left.for_range(keys)

    @property
    def released_ranges(self) -> tuple[ReleasedRange, ...]:
        """Return what the worker let go since its life began."""
        return self._left.all()

    def add_remote_handovers(self, released: Iterable[ReleasedRange]) -> None:
        """Take in what the worker of another node let go."""
        self._left.add_remote(released)

    def _begin_life(self, report: WorkerReport) -> None:
        WORKER_STARTED.report(
            worker=report.worker_id,
            started_ms=report.started_ms,
            lost_grants=len(self._given),
        )
        # Also of what it had let go: a move that is not made gives it back.
        self._spent.update(self._highest)
        if self._source is not None:
            for shard in self._highest:
                self._source.require_higher_token(shard)
        self._given.clear()
        self._left.clear()

    def _note_held(self, report: WorkerReport) -> None:
        held = _HeldKeys(report)
        gone: list[ShardName] = []
        for shard in tuple(self._given):
            given = self._given[shard]
            given.is_reported = held.begin_any(given.ranges)
            if given.is_withdrawn and not held.meet_any(given.ranges):
                self._given.pop(shard)
                gone.append(shard)
        self._left.add_local(report.released)
        if gone:
            KEYS_RELEASED.report(shards=_text_of(gone))

    def _grant(self, source: GrantSource) -> GrantReply:
        now_ms = self._clock.now_ms()
        left_ms = source.until_ms() - now_ms
        lasts_ms = int(left_ms * (1 - self._settings.clock_drift))
        lasts_ms = min(lasts_ms, self._settings.most_grant_ms)
        if lasts_ms < _LEAST_GRANT_MS:
            return self._keep_or_take_away(source)
        wanted = self._wanted(source)
        self._withdraw_others(wanted, source)
        self._tell_given(wanted, lasts_ms)
        for shard, token in wanted.items():
            given = _Given(
                source, token, now_ms + left_ms, source.stripes(shard)
            )
            given.follow(self._given.get(shard))
            self._given[shard] = given
            self._highest[shard] = max(token, self._highest.get(shard, 0))
        rows = tuple(self._rows(wanted, source))
        return GrantReply(rows, lasts_ms)

    def _keep_or_take_away(self, source: GrantSource) -> GrantReply:
        """Renew nothing; take away what only earlier holders gave."""
        if any(given.source is source for given in self._given.values()):
            return GrantReply()
        for given in self._given.values():
            given.is_withdrawn = True
        return GrantReply((), _NOTHING_MS)

    def _wanted(self, source: GrantSource) -> dict[ShardName, int]:
        """Return what the worker is to hold, as far as an answer has room.

        What it was given already comes first: it would be released else.
        """
        wanted: dict[ShardName, int] = {}
        room = self._settings.most_bytes
        tokens = source.tokens()
        for shard in sorted(tokens, key=self._newness):
            if shard in self._withdrawn:
                continue
            if tokens[shard] <= self._spent.get(shard, -1):
                source.require_higher_token(shard)
                continue
            room -= self._size(shard, source)
            if room < 0:
                self._tell_cut(shard, len(wanted), len(tokens))
                break
            wanted[shard] = tokens[shard]
        return wanted

    def _newness(self, shard: ShardName) -> tuple[bool, ShardName]:
        return shard not in self._given, shard

    def _tell_cut(self, shard: ShardName, given: int, held: int) -> None:
        if (given, held) != self._last_cut:
            self._last_cut = given, held
            GRANTS_CUT.report(shard=shard, given=given, held=held)

    def _tell_given(self, wanted: dict[ShardName, int], lasts_ms: int) -> None:
        new = [
            f'{shard}={token}'
            for shard, token in wanted.items()
            if shard not in self._given or self._given[shard].token != token
        ]
        if new:
            KEYS_GIVEN.report(shards=_text_of(new), lasts_ms=lasts_ms)

    def _size(self, shard: ShardName, source: GrantSource) -> int:
        handed = self._handed(shard, source)
        rows = len(source.stripes(shard)) * _RANGE_BYTES
        return rows + sum(len(each) for each in handed)

    def _withdraw_others(
        self, wanted: dict[ShardName, int], source: GrantSource
    ) -> None:
        for shard, given in self._given.items():
            if shard not in wanted:
                given.is_withdrawn = True
                source.close(shard)

    def _handed(self, shard: ShardName, source: GrantSource) -> tuple[str, ...]:
        given = self._given.get(shard)
        if given is not None and given.is_reported:
            return ()
        return source.handovers(shard) or self.handovers(shard)

    def _rows(
        self, wanted: dict[ShardName, int], source: GrantSource
    ) -> Iterator[GrantedRange]:
        for shard, token in wanted.items():
            ranges = self._given[shard].ranges
            handed = self._handed(shard, source) or ('',) * len(ranges)
            for keys, handover in zip(ranges, handed, strict=False):
                yield GrantedRange(keys, token, handover)
