"""The periodic reports of a worker to its local node."""

import time
from argparse import Namespace
from collections.abc import Callable
from typing import Any

import eventlet
from cbor2 import dumps, loads
from urllib3 import PoolManager, Retry
from urllib3.exceptions import HTTPError

from standins.clock import MS_PER_SECOND, monotonic_ms
from standins.reporter.holds import Holds, Row

_PAUSE_AFTER_RELEASE_MS = 50
_TIMEOUT_S = 1
_OK = 200


HeldCallback = Callable[[list[Row], float], None]


def _ignore_held(_rows: list[Row], _until_ms: float) -> None:
    """Ignore the rows held."""


class Reports:
    """Sends reports periodically and applies the grants in the answers.

    After each answer `on_held` is called with the rows held and the
    monotonic time in milliseconds at which they expire.
    """

    def __init__(
        self,
        options: Namespace,
        holds: Holds | None,
        on_held: HeldCallback = _ignore_held,
    ) -> None:
        self._options = options
        self._holds = holds
        self.on_held = on_held
        self._born_ms = int(time.time() * MS_PER_SECOND)
        self._sequence_number = 0
        self._http = PoolManager(retries=Retry(0), timeout=_TIMEOUT_S)
        self.state = 'ready'

    @property
    def life(self) -> str:
        """Return the name of this life of the worker, which no other has."""
        return f'{self._options.name} born {self._born_ms}'

    def run(self) -> None:
        """Send reports until the process ends."""
        while True:
            pause_ms = self._options.report_ms
            if self._report():
                pause_ms = _PAUSE_AFTER_RELEASE_MS
            eventlet.sleep(pause_ms / MS_PER_SECOND)

    def deregister(self) -> None:
        """Deregister this worker from the node."""
        self._post('Deregister', {})

    def _report(self) -> bool:
        self._sequence_number += 1
        content: dict[str, Any] = {
            'service': self._options.service,
            'address': f'127.0.0.1:{self._options.port}',
            'zone': 'zone',
            'version': 'v1',
            'slots': self._options.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'seq': self._sequence_number,
            'born': self._born_ms,
        }
        if self._holds is not None:
            content['holds'] = self._holds.rows()
            content['released'] = self._holds.pop_released()
        sent_ms = monotonic_ms()
        answer = self._post('Heartbeat', content)
        if self._holds is None or not answer or 'holds' not in answer:
            return False
        until_ms = sent_ms + answer['hold_ms']
        has_released = self._holds.replace(answer['holds'], until_ms)
        self.on_held(self._holds.rows(), until_ms)
        return has_released

    def _post(self, rpc: str, content: Any) -> Any:
        url = f'{self._options.node_url}/Instances.{rpc}/{self._options.name}'
        try:
            answer = self._http.request('POST', url, body=dumps(content))
        except HTTPError:
            return None  # the node is unreachable: the next report retries
        return loads(answer.data) if answer.status == _OK else None
