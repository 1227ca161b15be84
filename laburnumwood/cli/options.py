"""Where the tool finds the platform and the nodes, and as whom it calls."""

import getpass
import os
from dataclasses import dataclass

from laburnumwood.errors import LaburnumwoodError

_PLATFORM_VARIABLE = 'LABURNUMWOOD_PLATFORM'
_NODE_VARIABLE = 'LABURNUMWOOD_NODE'
_TOKEN_VARIABLE = 'LABURNUMWOOD_TOKEN'
_OPERATOR_VARIABLE = 'LABURNUMWOOD_OPERATOR'


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
        return os.environ.get(_OPERATOR_VARIABLE) or getpass.getuser()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform; raises `UsageError`."""
        if not self.platform.startswith(('http://', 'https://')):
            raise UsageError(
                f'the URL of the platform is {self.platform!r}; give it by '
                f'--platform=http://host:port or {_PLATFORM_VARIABLE}'
            )
        return self.platform


def read_options(
    platform: str, node: str, token: str, *, as_json: bool
) -> Options:
    """Return the options given by flags, or else by the environment."""
    return Options(
        platform=platform or os.environ.get(_PLATFORM_VARIABLE, ''),
        node=node or os.environ.get(_NODE_VARIABLE, ''),
        token=token or os.environ.get(_TOKEN_VARIABLE, ''),
        as_json=as_json,
    )
