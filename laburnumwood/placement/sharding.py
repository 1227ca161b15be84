"""From keys to shards."""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

from laburnumwood.config.declarations import Service
from laburnumwood.records import KeyRange

KEY_SPACE = 65_536  # keys of a service whose keys are numbers
_MOST_LAYOUTS = 4_096  # remembered lists of stripes
# Of the 360 that an answer to a worker has room for: two fifths of the workers
# can still be told all that they hold.
_STRIPES_PER_NODE = 145


def planned_shards(service: Service, nodes: int) -> int:
    """Return how many shards a service gets that begins on so many nodes.

    Where it is planned, it is a power of two, so that all shards are alike.
    """
    if service.shards_per_node is None:
        return service.shards
    wanted = max(service.shards, service.shards_per_node * nodes)
    most = KEY_SPACE // (service.stripe_width or 1)
    return min(1 << (wanted - 1).bit_length(), most)


def planned_width(service: Service, nodes: int) -> int:
    """Return how many keys a stripe gets that begins on so many nodes.

    Many nodes have narrower stripes than declared, so that hot neighbours
    belong to many of them from the start.
    """
    stripes = 1 << (_STRIPES_PER_NODE * nodes).bit_length() - 1
    return min(service.stripe_width or 0, max(1, KEY_SPACE // stripes))


def hash_shard(key: str, shards: int) -> int:
    """Return the number of the shard that a key belongs to."""
    return xxh3_64_intdigest(key.encode()) % shards


def initial_shard(key: str, service: Service) -> int:
    """Return the shard of a key by the declaration of its service.

    Raises `ValueError` if the key has to be a number and is none.
    """
    if service.stripe_width is None:
        return hash_shard(key, service.shards)
    if not key.isdecimal() or int(key) >= KEY_SPACE:
        raise ValueError(f'{key!r} is no number below {KEY_SPACE}')
    return int(key) // service.stripe_width % service.shards


@lru_cache(_MOST_LAYOUTS)
def stripes_of(shard: int, width: int, shards: int) -> tuple[KeyRange, ...]:
    """Return the runs of neighbouring keys that make up a shard."""
    firsts = range(shard * width, KEY_SPACE, width * shards)
    return tuple(
        KeyRange(first, min(first + width, KEY_SPACE) - 1) for first in firsts
    )
