"""The journal of a worker, also sent to the collector."""

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
    """Every request to run work, in the order in which they came."""

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

    def start(self, order: Order) -> JournalEntry:
        """Note a start; it has reached the collector on return."""
        entry = self._add(order)
        self._send(entry)
        return entry

    def refuse(self, order: Order) -> None:
        """Note that a request was refused and nothing was run."""
        self.finish(self._add(order), Outcome.refused)

    def finish(self, entry: JournalEntry, outcome: Outcome) -> None:
        """Note how a request ended."""
        entry.finished_ms = boottime_ms()
        entry.outcome = outcome
        self._send(entry)

    def report(self) -> list[dict[str, Any]]:
        """Return all entries."""
        return [asdict(entry) for entry in self._entries]

    def _add(self, order: Order) -> JournalEntry:
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

    def _send(self, entry: JournalEntry) -> None:
        if self._collector_url is None:
            return
        answer = self._pool.request(
            'POST',
            self._collector_url,
            json=asdict(entry),
        )
        if answer.status != 200:
            raise RuntimeError(f'the collector answered {answer.status}')
