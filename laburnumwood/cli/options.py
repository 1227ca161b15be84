"""Where the tool finds the platform and the nodes, and as whom it calls."""

import getpass
import os
from dataclasses import dataclass

from laburnumwood.errors import LaburnumwoodError

_PLATFORM = 'LABURNUMWOOD_PLATFORM'
_NODE = 'LABURNUMWOOD_NODE'
_TOKEN = 'LABURNUMWOOD_TOKEN'
_OPERATOR = 'LABURNUMWOOD_OPERATOR'


class UsageError(LaburnumwoodError):
    """A command lacks something or was given what it can't use."""


@dataclass(frozen=True, slots=True)
class Options:
    """Options that all commands share."""

    platform: str
    node: str
    token: str
    as_json: bool

    @property
    def who(self) -> str:
        """Return the name for the audit trail."""
        return os.environ.get(_OPERATOR) or getpass.getuser()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform; raises `UsageError`."""
        if not self.platform.startswith(('http://', 'https://')):
            raise UsageError(
                f'the URL of the platform is {self.platform!r}; give it by '
                f'--platform=http://host:port or {_PLATFORM}'
            )
        return self.platform


def read_options(
    platform: str, node: str, token: str, *, as_json: bool
) -> Options:
    """Return the options given by flags, or else by the environment."""
    return Options(
        platform=platform or os.environ.get(_PLATFORM, ''),
        node=node or os.environ.get(_NODE, ''),
        token=token or os.environ.get(_TOKEN, ''),
        as_json=as_json,
    )
