"""Who may do what at the operator port."""

import hmac
from dataclasses import dataclass
from typing import Any

from laburnumwood.errors import LaburnumwoodError
from laburnumwood.settings import DaemonSettings

_SCHEME = 'Bearer '


class AccessDeniedError(LaburnumwoodError):
    """A call of the operator port has no right to what it asks for."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class Operator:
    """An operator who gave a known token."""

    name: str
    may_change: bool


class AccessControl:
    """Finds the operator to whom a token belongs."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._operators = settings.operators

    def authorize(self, environ: dict[str, Any], *, changes: bool) -> Operator:
        """Return who calls; raises `AccessDeniedError` without the right."""
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
        given = header.removeprefix(_SCHEME).encode()
        found = None
        for name, each in self._operators.items():
            # All are compared, so that the time tells nothing.
            if hmac.compare_digest(given, each.token.encode()):
                found = Operator(name, each.may == 'change')
        return found if header.startswith(_SCHEME) else None
