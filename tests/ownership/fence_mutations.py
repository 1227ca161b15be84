"""Variants of the code without one safeguard of fencing tokens."""

from collections.abc import Iterable
from dataclasses import replace

from laburnumwood.clock import Clock
from laburnumwood.membership.eras.recovery import EraRecovery
from laburnumwood.placement.held_shards import HeldShards
from laburnumwood.placement.lost_splits import LostSplits
from laburnumwood.placement.ownership import OwnershipState
from laburnumwood.placement.ownership_tracker import OwnershipTracker
from laburnumwood.records import KeyRange, NodeName, ShardName, ShardRecord
from laburnumwood.settings import ReportSettings
from laburnumwood.store.versions import first_number
from laburnumwood.upstream.reporting_worker import ReportingWorker
from laburnumwood.upstream.reports import GrantReply, WorkerReport
from laburnumwood.upstream.token_history import TokenHistory
from tests.ownership.node import Components


class _ForgetfulHistory(TokenHistory):
    """Forgets which tokens earlier instances of the worker had."""

    def begin_instance(self) -> None:
        """Forget all tokens."""
        self._current.clear()


class _LenientHistory(TokenHistory):
    """Lets a new instance have the token of an earlier one."""

    def least_token(self, ranges: Iterable[KeyRange]) -> int:
        """Return a token that earlier instances may have had."""
        return super().least_token(ranges) - 1


class _WithoutMemory(ReportingWorker):
    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        super().__init__(settings, clock)
        self._tokens = _ForgetfulHistory()


class _WithEqualTokens(ReportingWorker):
    def __init__(self, settings: ReportSettings, clock: Clock) -> None:
        super().__init__(settings, clock)
        self._tokens = _LenientHistory()


class _AnyReportBelieved(ReportingWorker):
    """Takes each report for one that is no older than its process."""

    def handle_report(self, report: WorkerReport) -> GrantReply:
        """Process a report and return the grants to reply with."""
        return super().handle_report(replace(report, follows_answer=True))


class _TokensNotRequired(HeldShards):
    """Writes no record when the worker needs a higher token."""

    def require_token(self, shard: ShardName, least: int) -> None:
        """Ignore the request."""


class _OwnerByEarlierRecord(OwnershipTracker):
    """Owns what a record gives to an earlier incarnation of its node."""

    def update_held_shards(self) -> None:
        """Hold also the shards of earlier incarnations."""
        super().update_held_shards()
        for name in self._view.directory.listed_nodes():
            if name.node_id == self._own.node_id and self._lease.is_held():
                for shard in self._view.directory.shards_listing(name):
                    self._update_listed(shard)

    def _update_listed(self, shard: ShardName) -> None:
        entry = self._view.directory.shard(shard)
        if entry is not None:
            self._update_held_shard(shard, entry)

    def _ownership_state(
        self, shard: ShardName, record: ShardRecord
    ) -> OwnershipState:
        return super()._ownership_state(shard, self._with_own(record))

    def _hold(self, shard: ShardName, record: ShardRecord) -> None:
        super()._hold(shard, self._with_own(record))

    def _with_own(self, record: ShardRecord) -> ShardRecord:
        return replace(
            record, succession=tuple(map(self._own_name, record.succession))
        )

    def _own_name(self, name: NodeName) -> NodeName:
        return self._own if name.node_id == self._own.node_id else name


class _PartsFromTheFirstEpoch(OwnershipTracker):
    """Begins shards that were split off as if their keys were new."""

    def _next_record(
        self, shard: ShardName, succession: tuple[NodeName, ...]
    ) -> ShardRecord:
        record = super()._next_record(shard, succession)
        if self._view.directory.shard(shard) is not None:
            return record
        return replace(record, epoch=first_number(self._view.directory.era))


class _AllSplitsListed(LostSplits):
    """Relies on the records of shards to list what was split off."""

    def _find(self) -> dict[int, tuple[KeyRange, ...]]:
        return {}


class _WithoutLostSplits(OwnershipTracker):
    lost_splits_class = _AllSplitsListed


class _UnlistedPartsTaken(LostSplits):
    """Lets nodes act for shards that their parents don't list."""

    def is_unlisted(self, shard: ShardName) -> bool:
        """Return that each shard is listed."""
        return False


class _WithUnlistedParts(OwnershipTracker):
    lost_splits_class = _UnlistedPartsTaken


class _ForgottenListingsTrusted(LostSplits):
    """Relies on records that list a split and that the store has forgotten."""

    def _is_listing_lost(self, shard: ShardName) -> bool:
        return False


class _WithForgottenListings(OwnershipTracker):
    lost_splits_class = _ForgottenListingsTrusted


class _NothingWrittenBackLate(EraRecovery):
    """Writes back nothing once it has confirmed an era."""

    def _is_late_due(self) -> bool:
        return False


class _SecondSplitsIgnored(LostSplits):
    """Takes no split for a second one."""

    def is_overtaken(self, shard: ShardName) -> bool:
        """Return that no shard was split off again."""
        return False


class _WithoutSecondSplits(OwnershipTracker):
    lost_splits_class = _SecondSplitsIgnored


class _AnyEpochOfParts(LostSplits):
    """Lets split-off shards go on from their own epochs alone."""

    def least_epoch(self, shard: ShardName) -> int:
        """Return no least epoch."""
        return 0


class _WithAnyEpochOfParts(OwnershipTracker):
    lost_splits_class = _AnyEpochOfParts


FENCE_MUTATIONS = {
    'the write after a second split': Components(
        ownership_tracker=_WithoutSecondSplits
    ),
    'the epoch of the listing record': Components(
        ownership_tracker=_WithAnyEpochOfParts
    ),
    'the listing of lost splits': Components(
        ownership_tracker=_WithoutLostSplits
    ),
    'the wait for a split to be listed': Components(
        ownership_tracker=_WithUnlistedParts
    ),
    'both safeguards against late news': Components(
        ownership_tracker=_WithForgottenListings,
        era_recovery=_NothingWrittenBackLate,
    ),
    'the memory of earlier instances': Components(
        reporting_worker=_WithoutMemory
    ),
    'the higher token of a new instance': Components(
        reporting_worker=_WithEqualTokens
    ),
    'the proof that a report is new': Components(
        reporting_worker=_AnyReportBelieved
    ),
    'the write for a required token': Components(
        held_shards=_TokensNotRequired
    ),
    'the write of a new incarnation': Components(
        ownership_tracker=_OwnerByEarlierRecord
    ),
    'the epochs of split-off shards': Components(
        ownership_tracker=_PartsFromTheFirstEpoch
    ),
}
