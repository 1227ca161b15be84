"""Authentication and authorization of calls to the operator port."""

import hmac
from dataclasses import dataclass
from typing import Any

from laburnumwood.errors import LaburnumwoodError
from laburnumwood.settings import DaemonSettings

_SCHEME = 'Bearer '


class AccessDeniedError(LaburnumwoodError):
    """A call to the operator port is not authenticated or not authorized.

    `status` is the HTTP status of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator who has authenticated with a token."""

    name: str
    may_change: bool


class AccessControl:
    """Authenticates operators by bearer tokens and checks their rights."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._operators = settings.operators

    def authorize(self, environ: dict[str, Any], *, changes: bool) -> Operator:
        """Return the operator who makes a call, from its WSGI environment.

        `changes` is whether the call changes something.  Raises
        `AccessDeniedError` if the token is unknown or does not allow the
        call.
        """
        operator = self._authenticate(environ.get('HTTP_AUTHORIZATION', ''))
        if operator is None:
            raise AccessDeniedError(
                401,
                'the token is missing or unknown; set LABURNUMWOOD_TOKEN to '
                "one of the operators' tokens in the settings of the node",
            )
        if changes and not operator.may_change:
            raise AccessDeniedError(
                403,
                f'the token of {operator.name} may only read; use one that '
                'may change',
            )
        return operator

    def _authenticate(self, header: str) -> Operator | None:
        token = header.removeprefix(_SCHEME).encode()
        operator = None
        for name, settings in self._operators.items():
            # All tokens are compared, in constant time each, so that the
            # duration reveals nothing about them.
            if hmac.compare_digest(token, settings.token.encode()):
                operator = Operator(name, settings.may == 'change')
        return operator if header.startswith(_SCHEME) else None
