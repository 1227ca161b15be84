"""The adapter to the users' platform: its names, formats and calls.

It contains no decisions of the router.  `register` registers it under the name
`platform`.
"""

from laburnumwood.platform.registration import register

__all__ = ('register',)
