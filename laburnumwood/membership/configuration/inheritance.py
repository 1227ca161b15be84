"""The configuration that one incarnation of a node passes to the next."""

from laburnumwood.membership.directory import Directory
from laburnumwood.store.objects import CONFIG_NAME

_FROM_EARLIER = 'an earlier incarnation of this node'


def inherit_config(directory: Directory, earlier: Directory) -> None:
    """Apply the configuration of an earlier incarnation if it is later.

    The store may have been read just before a change of which the earlier
    incarnation has heard.
    """
    known = earlier.stored_object(CONFIG_NAME)
    if known is not None:
        directory.apply(known, _FROM_EARLIER)
