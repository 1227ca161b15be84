"""The users' platform: its names, formats and calls, and nothing that decides.

`register` makes it known under the name `platform`.
"""

from laburnumwood.platform.registration import register

__all__ = ('register',)
