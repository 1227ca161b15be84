"""Load that keeps its schedule however slow answers are.

Latency counts from the moment a request was due.
"""

import time
from random import Random

import eventlet
from hdrh.histogram import HdrHistogram
from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from bench.plans import WARM_UP_S, Plan, Tally

_MS_PER_S = 1_000
_OK = 200
_MOST_MS = 60_000
_COLD_KEYS = 300
_CONNECTIONS = 1_000
_TASKS = 20_000


class Generator:
    """Sends the requests of a plan, each when it is due."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.tally = Tally()
        self._http = PoolManager(
            maxsize=_CONNECTIONS, retries=Retry(0, redirect=False)
        )
        self._begin: float = 0
        self._end: float = 0
        self._times = HdrHistogram(1, _MOST_MS, 3)

    def run(self) -> Tally:
        """Run the plan to its end and return what came back."""
        random = Random(self.plan.seed)
        pool = eventlet.GreenPool(_TASKS)
        started = time.monotonic()
        self._begin = started + WARM_UP_S
        self._end = started + self.plan.span_s
        for number in range(round(self.plan.rate * self.plan.span_s)):
            due = started + number / self.plan.rate
            eventlet.sleep(max(0, due - time.monotonic()))
            hot = random.random() < self.plan.hot_share
            key = 'hot' if hot else f'key-{random.randrange(_COLD_KEYS)}'
            pool.spawn_n(self._send, number, key, due)
        pool.waitall()
        self.tally.p50_ms = self._times.get_value_at_percentile(50)
        self.tally.p99_ms = self._times.get_value_at_percentile(99)
        return self.tally

    def _send(self, number: int, key: str, due: float) -> None:
        late_ms = (time.monotonic() - due) * _MS_PER_S
        self.tally.latest_start_ms = max(self.tally.latest_start_ms, late_ms)
        self.tally.sent += 1
        self.tally.cold_sent += key != 'hot'
        answer = self._ask(number, key)
        taken_ms = (time.monotonic() - due) * _MS_PER_S
        if answer is None:
            self.tally.unknown += 1
        elif answer.status == _OK:
            self._note_good(key, taken_ms)
        else:
            self._note_refused(answer)

    def _ask(self, number: int, key: str) -> BaseHTTPResponse | None:
        plan = self.plan
        door = plan.doors[number % len(plan.doors)]
        headers = {
            plan.key_header: key,
            'Laburnumwood-Deadline-Ms': str(plan.deadline_ms),
            'Laburnumwood-Request': f'{plan.seed}-{number}',
        }
        timeout_s = plan.deadline_ms * 2 / _MS_PER_S
        try:
            return self._http.request(
                'GET', f'{door}{plan.path}', headers=headers, timeout=timeout_s
            )
        except HTTPError:
            return None

    def _note_good(self, key: str, taken_ms: float) -> None:
        if taken_ms > self.plan.deadline_ms:
            return
        self._times.record_value(max(1, round(taken_ms)))
        self.tally.good += 1
        # What is answered after the load has ended is no steady goodput.
        self.tally.steady += self._begin <= time.monotonic() <= self._end
        self.tally.cold_good += key != 'hot'

    def _note_refused(self, answer: BaseHTTPResponse) -> None:
        if answer.headers.get('Laburnumwood-Outcome') == 'not-run':
            self.tally.not_run += 1
            told = 'Retry-After' in answer.headers
            self.tally.without_retry_after += not told
        else:
            self.tally.unknown += 1
