"""Placement: which node owns which shard, and moves of shards."""
