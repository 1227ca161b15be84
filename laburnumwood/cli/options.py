"""Options of all commands: addresses, token and name of the operator."""

import getpass
import os
from dataclasses import dataclass

from laburnumwood.errors import LaburnumwoodError

_PLATFORM_VARIABLE = 'LABURNUMWOOD_PLATFORM'
_NODE_VARIABLE = 'LABURNUMWOOD_NODE'
_TOKEN_VARIABLE = 'LABURNUMWOOD_TOKEN'
_OPERATOR_VARIABLE = 'LABURNUMWOOD_OPERATOR'


class UsageError(LaburnumwoodError):
    """A command lacks an argument or was given an invalid one."""


@dataclass(frozen=True, slots=True)
class Options:
    """Options of all commands; texts that were not given are empty."""

    platform: str
    node: str
    token: str
    as_json: bool

    @property
    def who(self) -> str:
        """Return the name of the operator for the audit trail."""
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
    """Return the options; empty ones are read from the environment."""
    return Options(
        platform=platform or os.environ.get(_PLATFORM_VARIABLE, ''),
        node=node or os.environ.get(_NODE_VARIABLE, ''),
        token=token or os.environ.get(_TOKEN_VARIABLE, ''),
        as_json=as_json,
    )
