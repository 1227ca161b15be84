"""The newest known versions of stored objects, and what the store has of them.

The two differ if the store has come back from an older copy: what it has
forgotten stays known here, with the condition to write it again.
"""

from collections.abc import Iterable, Iterator, Set
from dataclasses import replace
from typing import Any

from sortedcontainers import SortedDict

from laburnumwood.events import RECORD_FORGOTTEN
from laburnumwood.records import StoredObject
from laburnumwood.store.objects import CONFIG_NAME
from laburnumwood.store.versions import absent_version, era_of

_NOTHING = 'nothing'  # what the store has of an object that it lacks


def is_newer(found: StoredObject, known: StoredObject) -> bool:
    """Return whether an object replaces the known one of that name.

    Within an era of the store versions tell.  Across eras a later version may
    be that of older content which was written again, so the numbers tell that
    the router gives out itself.  Generations of configurations only rise.
    """
    is_config = found.name == CONFIG_NAME
    if is_config or era_of(found.version) != era_of(known.version):
        later, earlier = _content_order(found), _content_order(known)
        if later is not None and earlier is not None and later != earlier:
            return later > earlier
    return found.version > known.version


def _content_order(stored: StoredObject) -> tuple[int, ...] | None:
    """Return numbers that rise with each change of an object, if it has any."""
    content = stored.value or {}
    for name in ('generation', 'epoch', 'incarnation'):
        number = content.get(name)
        if isinstance(number, int):
            return number, _last_set_version(content)
    return None


def _last_set_version(content: dict[str, Any]) -> int:
    """Return the version of the last witness set in a node's record, or 0."""
    sets = content.get('witness_sets') or ()
    return max((each['version'] for each in sets), default=0)


class ObjectCache:
    """Maps names to objects, and orders the objects by their versions."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._names_by_version: SortedDict[int, str] = SortedDict()
        self._forgotten: set[str] = set()

    @property
    def forgotten(self) -> Set[str]:
        """Return the names of objects that the store has lost or has older."""
        return self._forgotten

    def find(self, name: str) -> StoredObject | None:
        """Return the newest known version of an object, also a deleted one."""
        return self._objects.get(name)

    def put(self, stored: StoredObject) -> None:
        """Replace the known version of an object by a newer one."""
        known = self._objects.get(stored.name)
        if known is not None:
            self._names_by_version.pop(known.version, None)
        if known is not None and known.write_condition > stored.write_condition:
            # The store came back from a copy without this version; a peer
            # has told it.
            stored = replace(stored, condition=known.write_condition)
            self._mark_forgotten(stored.name, str(known.write_condition))
        else:
            self._forgotten.discard(stored.name)
        self._objects[stored.name] = stored
        self._names_by_version[stored.version] = stored.name

    def learn_condition(self, found: StoredObject) -> bool:
        """Learn what the store has from a version that is not newer.

        Return whether the condition of the known version has changed.
        """
        known = self._objects[found.name]
        if found.condition is None or found.condition <= known.write_condition:
            return False
        self._set_condition(known, found.condition)
        # A write of an earlier era that arrives late may get a revision that
        # was given out before.
        if found.version < known.version or found.value != known.value:
            self._mark_forgotten(known.name, str(found.condition))
        return True

    def mark_absent(self, name: str, era: int) -> bool:
        """Record that the store does not have an object in an era.

        Return whether that is news.
        """
        known = self._objects.get(name)
        if known is None or era_of(known.write_condition) >= era:
            return False
        self._set_condition(known, absent_version(era))
        self._mark_forgotten(name, _NOTHING)
        return True

    def missing_names(
        self, present: set[str], version: int, prefix: str
    ) -> Iterator[str]:
        """Yield the known names that a list of the store lacks.

        The store listed all objects under a prefix at `version`.  The
        configuration is the operator's to write again.
        """
        for name in self._objects.keys() - present:
            condition = self._objects[name].write_condition
            is_covered = name != CONFIG_NAME and name.startswith(prefix)
            if is_covered and condition < version:
                yield name

    def versions_since(self, version: int) -> tuple[int, ...]:
        """Return the versions of known objects after one, sorted."""
        later = self._names_by_version.irange(version, inclusive=(False, True))
        return tuple(later)

    def newer_than(
        self, version: int, known: Iterable[int]
    ) -> tuple[StoredObject, ...]:
        """Return the objects after a version, in order, without some."""
        left_out = frozenset(known)
        return tuple(
            self._objects[self._names_by_version[each]]
            for each in self.versions_since(version)
            if each not in left_out
        )

    def _set_condition(self, known: StoredObject, condition: int) -> None:
        self._objects[known.name] = replace(known, condition=condition)

    def _mark_forgotten(self, name: str, found: str) -> None:
        if name not in self._forgotten:
            self._forgotten.add(name)
            RECORD_FORGOTTEN.report(object=name, found=found)
