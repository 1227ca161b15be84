"""Objects of the store in the form in which nodes send them to each other."""

from laburnumwood.records import SentObject, StoredObject
from laburnumwood.store.versions import era_of, make_version, revision_of


def to_sent(stored: StoredObject) -> SentObject:
    """Return an object in the form in which it is sent."""
    version = stored.version
    return SentObject(
        stored.name, stored.value, revision_of(version), era_of(version)
    )


def from_sent(sent: SentObject, default_era: int = 0) -> StoredObject:
    """Return an object that was sent, of an era if it names none."""
    version = make_version(sent.era or default_era, sent.version)
    return StoredObject(sent.name, sent.value, version)
