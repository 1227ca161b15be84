"""Versions of stored objects, and numbers that are never given twice.

A store may come back from an older copy.  It then begins a new era: it has
forgotten its last changes, and gives their revisions out again.  A version
therefore consists of the era and the revision.  It is an `int` that orders by
era first; in an era that the store does not name, which is era 0, it equals
the revision.

Numbers that the router gives out itself, such as epochs of shards, continue
from what the store has.  In a later era a gap is left for those that may have
been given out and forgotten, so that none is given out twice.
"""

_REVISION_BITS = 48
_REVISION_MASK = (1 << _REVISION_BITS) - 1
# More than are given out for one shard or node in the time that a copy lacks.
_GAP = 1 << 10


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era."""
    return (era << _REVISION_BITS) | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision of a version; 0: the store has no such object."""
    return version & _REVISION_MASK


def absent_version(era: int) -> int:
    """Return the version under which an era does not have an object."""
    return make_version(era, 0)


def first_number(era: int) -> int:
    """Return the first number of something that is created in an era."""
    return max(era - 1, 0) * _GAP + 1


def next_number(before: int, before_era: int, era: int) -> int:
    """Return the number that follows one that was given out in an era."""
    return before + 1 + max(era - before_era, 0) * _GAP
