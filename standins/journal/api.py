"""The HTTP interface of the journal collector."""

from dataclasses import asdict

from pydantic import TypeAdapter

from standins.answers import Answer, RefusedError, json_answer
from standins.journal.entry import JournalEntry
from standins.requests import Request

MAX_POST_BYTES = 16_777_216
_ENTRIES: TypeAdapter[JournalEntry | list[JournalEntry]] = TypeAdapter(
    JournalEntry | list[JournalEntry],
)


class JournalApi:
    """Collects journal entries in the order of their first arrival.

    The entry posted when a request finishes replaces the one from its start.
    """

    def __init__(self) -> None:
        self._entries: dict[tuple[str, int], JournalEntry] = {}

    def answer(self, request: Request) -> Answer:
        """Return the answer to a request.

        Raises RefusedError, which carries the status of an error answer.
        """
        if request.path != '/journal':
            raise RefusedError(404, 'no-such-path')
        if request.method == 'POST':
            self._store_entries(request.body(MAX_POST_BYTES))
        elif request.method == 'DELETE':
            self._entries.clear()
        elif request.method != 'GET':
            raise RefusedError(405, 'no-such-method')
        return json_answer(self._report(request.method))

    def _store_entries(self, document: bytes) -> None:
        posted = _ENTRIES.validate_json(document)
        entries = posted if isinstance(posted, list) else [posted]
        for entry in entries:
            self._entries[entry.boot, entry.index] = entry

    def _report(self, method: str) -> object:
        if method == 'GET':
            return [asdict(entry) for entry in self._entries.values()]
        return {'entries': len(self._entries)}
