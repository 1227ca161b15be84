"""The era of the store, as its answers name it."""

import re

from laburnumwood.errors import PlatformUnavailableError
from laburnumwood.events import STORE_ERA_BEGUN, STORE_ERA_REFUSED

_NUMBER = re.compile('[0-9]{1,9}')


class EraTracker:
    """Checks the era that each answer of a store names.

    Eras are counted from 1 here, whatever number the store begins with; a
    store that has never named one is in era 0.
    """

    def __init__(self) -> None:
        self._first = 0
        self._newest = 0

    @property
    def first(self) -> int:
        """Return the first era that was known, 0 if there is none."""
        return self._first

    @property
    def newest(self) -> int:
        """Return the newest era that is known, 0 if there is none."""
        return self._newest

    def learn(self, era: int) -> None:
        """Record that an era has begun, as another node or an answer says."""
        if era <= self._newest:
            return
        if self._newest:
            STORE_ERA_BEGUN.report(named=era - 1, earlier=self._newest - 1)
        self._first = self._first or era
        self._newest = era

    def check(self, named: str | None, call: str) -> int:
        """Return the era that the answer to a call names.

        Raises `PlatformUnavailableError` if it names none although earlier
        answers did, if it is malformed, and if a later era has begun: what
        such an answer says is of no use.
        """
        if named is None and not self._newest:
            return 0
        if named is None or not _NUMBER.fullmatch(named):
            STORE_ERA_REFUSED.report(call=call, named=named)
            raise PlatformUnavailableError(f'{call}: era {named!r}')
        era = int(named) + 1
        if era < self._newest:
            raise PlatformUnavailableError(
                f'{call}: answer of an earlier era, {named}'
            )
        self.learn(era)
        return era
