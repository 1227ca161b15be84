"""The journal of a worker, whose entries are also sent to a collector."""

import uuid
from dataclasses import asdict
from typing import Any

import urllib3

from standins.clock import boottime_ms
from standins.journal.entry import JournalEntry, Outcome
from standins.worker.orders import Order

MAX_CONNECTIONS = 64
POST_TIMEOUT_SECONDS = 30


class Journal:
    """Records every request to run work, in the order of arrival."""

    def __init__(self, worker: str, collector_url: str | None) -> None:
        self._worker = worker
        self._collector_url = collector_url
        self._boot = uuid.uuid4().hex
        self._entries: list[JournalEntry] = []
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS,
            timeout=POST_TIMEOUT_SECONDS,
            retries=False,
        )

    def record_start(self, order: Order) -> JournalEntry:
        """Record the start of a run.

        When this returns, the collector has received the entry.
        """
        entry = self._append_entry(order)
        self._send_entry(entry)
        return entry

    def record_refusal(self, order: Order) -> None:
        """Record that a request was refused and not run."""
        self.record_end(self._append_entry(order), Outcome.refused)

    def record_end(self, entry: JournalEntry, outcome: Outcome) -> None:
        """Record the end of a request and its outcome."""
        entry.finished_ms = boottime_ms()
        entry.outcome = outcome
        self._send_entry(entry)

    def entries_as_json(self) -> list[dict[str, Any]]:
        """Return all entries as JSON objects."""
        return [asdict(entry) for entry in self._entries]

    def _append_entry(self, order: Order) -> JournalEntry:
        entry = JournalEntry(
            boot=self._boot,
            index=len(self._entries),
            worker=self._worker,
            request=order.request,
            key=order.key,
            service=order.service,
            shard=order.shard,
            token=order.token,
            method=order.method,
            started_ms=boottime_ms(),
        )
        self._entries.append(entry)
        return entry

    def _send_entry(self, entry: JournalEntry) -> None:
        if self._collector_url is None:
            return
        answer = self._pool.request(
            'POST',
            self._collector_url,
            json=asdict(entry),
        )
        if answer.status != 200:
            raise RuntimeError(f'the collector answered {answer.status}')
