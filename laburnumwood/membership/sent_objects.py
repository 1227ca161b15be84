"""Objects of the store in the form in which nodes send them to each other."""

from laburnumwood.records import SentObject, StoredObject
from laburnumwood.store.versions import era_of, revision_of


def to_sent(stored: StoredObject) -> SentObject:
    """Return an object in the form in which it is sent."""
    version = stored.version
    return SentObject(
        stored.name, stored.value, revision_of(version), era_of(version)
    )
