"""From keys to shards."""

from xxhash import xxh3_64_intdigest


def shard_of(key: str, shards: int) -> int:
    """Return the number of the shard that a key belongs to."""
    return xxh3_64_intdigest(key.encode()) % shards
