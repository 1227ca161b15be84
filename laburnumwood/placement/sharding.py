"""The mapping of keys to shards that a service begins with."""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from laburnumwood.config.declarations import Service
from laburnumwood.records import KeyRange

KEY_SPACE = 65_536  # number of keys of a service whose keys are numbers
_STRIPES_CACHE_SIZE = 4_096
# An answer to a worker has room for 360 ranges.  With 145 stripes per node,
# two fifths of the workers can hold all keys and still be sent all of them.
_STRIPES_PER_NODE = 145


def planned_shards(service: Service, nodes: int) -> int:
    """Return how many shards a service gets that begins on `nodes` nodes.

    Where the number follows from the nodes, it is a power of two, so that all
    shards have the same number of keys.
    """
    if service.shards_per_node is None:
        return service.shards
    wanted = max(service.shards, service.shards_per_node * nodes)
    most = KEY_SPACE // (service.stripe_width or 1)
    return min(1 << (wanted - 1).bit_length(), most)


def planned_width(service: Service, nodes: int) -> int:
    """Return how many keys wide the stripes are that begin on `nodes` nodes.

    For many nodes the stripes are narrower than declared, so that hot
    neighbouring keys are spread over many nodes from the start.
    """
    stripes = 1 << (_STRIPES_PER_NODE * nodes).bit_length() - 1
    return min(service.stripe_width or 0, max(1, KEY_SPACE // stripes))


def hash_shard(key: str, shards: int) -> int:
    """Return the number of the shard to which a key is hashed."""
    return xxh3_64_intdigest(key.encode()) % shards


def initial_shard(key: str, service: Service) -> int:
    """Return the shard of a key before any splits, as its service declares.

    Raises `ValueError` if the key has to be a number and is not one.
    """
    if service.stripe_width is None:
        return hash_shard(key, service.shards)
    if not key.isdecimal() or int(key) >= KEY_SPACE:
        raise ValueError(f'{key!r} is no number below {KEY_SPACE}')
    return int(key) // service.stripe_width % service.shards


@lru_cache(_STRIPES_CACHE_SIZE)
def stripes_of(shard: int, width: int, shards: int) -> tuple[KeyRange, ...]:
    """Return the ranges of adjacent keys that make up a shard."""
    firsts = range(shard * width, KEY_SPACE, width * shards)
    return tuple(
        KeyRange(first, min(first + width, KEY_SPACE) - 1) for first in firsts
    )
