"""The HTTP interface of the stand-in worker."""

from contextlib import ExitStack

import xxhash
from pydantic import BaseModel

from standins.answers import Answer, RefusedError, json_answer
from standins.requests import Request
from standins.worker.grants import GrantSet, GrantTable
from standins.worker.journal import Journal
from standins.worker.options import WorkerOptions
from standins.worker.orders import parse_order
from standins.worker.pool import RunPool
from standins.worker.service import WorkService
from standins.worker.switches import Switches

MAX_CONTROL_BYTES = 16_777_216
WORK_PATH = '/work/'
SWITCHES_PATH = '/switches'


class CancelOrder(BaseModel):
    """The body of a cancel request: the id of the request to cancel."""

    request: str


class WorkerApi:
    """Routes HTTP requests to the work service and the control endpoints."""

    def __init__(self, options: WorkerOptions) -> None:
        self._options = options
        self._grants = GrantTable(check_tokens=options.check_tokens)
        self._journal = Journal(options.name, options.journal_url)
        self._pool = RunPool(options.slots)
        self._switches = Switches()
        self._service = WorkService(
            options,
            self._grants,
            self._journal,
            self._pool,
            self._switches,
        )
        self._routes = {
            ('PUT', '/grants'): self._put_grants,
            ('GET', '/journal'): self._get_journal,
            ('GET', '/load'): self._get_load,
            ('GET', '/health'): self._get_health,
            ('POST', '/cancel'): self._post_cancel,
            ('POST', '/drain'): self._post_drain,
            ('POST', SWITCHES_PATH): self._post_switches,
            ('GET', SWITCHES_PATH): self._get_switches,
        }

    def answer(self, request: Request) -> Answer:
        """Answer one request.

        While the worker is frozen, only requests for switches are answered;
        all others block until it is unfrozen.
        """
        if request.path == SWITCHES_PATH:
            return self._route(request)
        self._switches.wait_while_frozen()
        with ExitStack() as stack:
            stack.callback(self._switches.wait_while_frozen)
            return self._route(request)

    def _route(self, request: Request) -> Answer:
        if request.path.startswith(WORK_PATH):
            return self._work(request)
        route = self._routes.get((request.method, request.path))
        if route is None:
            raise RefusedError(404, 'no-such-path')
        return route(request)

    def _work(self, request: Request) -> Answer:
        order = parse_order(request)
        checksum = xxhash.xxh64()
        for chunk in request.body_chunks():
            checksum.update(chunk)
        return self._service.serve(order, request, checksum.hexdigest())

    def _put_grants(self, request: Request) -> Answer:
        document = request.body(MAX_CONTROL_BYTES)
        refused = self._grants.replace(GrantSet.model_validate_json(document))
        return json_answer(
            {
                'refused': [shard.model_dump() for shard in refused],
            }
        )

    def _get_journal(self, request: Request) -> Answer:
        return json_answer(self._journal.entries_as_json())

    def _get_load(self, request: Request) -> Answer:
        settings = self._switches.settings
        running = settings.load_fixed
        if running is None:
            running = self._pool.running.delayed_by(settings.load_lag_ms)
        return json_answer(
            {
                'slots': self._pool.slots,
                'running': running,
                'queued': 0,
            }
        )

    def _get_health(self, request: Request) -> Answer:
        lag_ms = self._switches.settings.health_lag_ms
        return json_answer({'status': self._pool.status.delayed_by(lag_ms)})

    def _post_cancel(self, request: Request) -> Answer:
        document = request.body(MAX_CONTROL_BYTES)
        order = CancelOrder.model_validate_json(document)
        return json_answer({'cancelled': self._pool.cancel(order.request)})

    def _post_drain(self, request: Request) -> Answer:
        self._pool.drain(self._options.drain_ms)
        return json_answer({'status': self._pool.status.latest})

    def _post_switches(self, request: Request) -> Answer:
        self._switches.change(request.body(MAX_CONTROL_BYTES))
        return self._get_switches(request)

    def _get_switches(self, request: Request) -> Answer:
        return json_answer(self._switches.settings.model_dump())
