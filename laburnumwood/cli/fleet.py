"""Calls to the operator ports of nodes."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError
from urllib3.response import BaseHTTPResponse

from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.pages import NodeRow, Page
from laburnumwood.errors import OperatorCallError, PlatformError
from laburnumwood.records import NodeRecord
from laburnumwood.store.client import HttpStore
from laburnumwood.store.objects import NODE_PREFIX, to_record

_TIMEOUT_S = 2
_MAX_CONCURRENT_CALLS = 32

_Page = TypeVar('_Page', bound=Page)
_NODE_ROWS: TypeAdapter[list[NodeRow]] = TypeAdapter(list[NodeRow])


def _error_detail(answer: BaseHTTPResponse) -> str:
    try:
        return str(answer.json()['detail'])
    except (ValueError, LookupError, TypeError):
        return f'status {answer.status}'


class FleetClient:
    """Calls the live nodes at their operator ports.

    The live nodes are listed by the node that the options name, or else by
    any node in the store that answers.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._http = PoolManager(
            maxsize=_MAX_CONCURRENT_CALLS,
            retries=Retry(0, redirect=False),
            timeout=Timeout(_TIMEOUT_S),
        )

    def nodes(self) -> list[NodeRow]:
        """Return the live nodes.

        Raises `OperatorCallError` if no node answers.
        """
        failure: OperatorCallError | None = None
        for url in self._entry_urls():
            try:
                return _NODE_ROWS.validate_python(
                    self._call('GET', url, '/nodes')
                )
            except OperatorCallError as error:
                failure = error
        raise failure or OperatorCallError('no node has announced itself yet')

    def fetch_from_any(self, path: str) -> Any:
        """Return a page of the node that the options name, or of a live one.

        Raises `OperatorCallError` if it does not answer.
        """
        if self._options.node:
            return self._call('GET', _url(self._options.node), path)
        return self._call('GET', self.nodes()[0].url, path)

    def fetch(self, row: NodeRow, path: str, model: type[_Page]) -> _Page:
        """Return a page of one node, validated by a model.

        Raises `OperatorCallError` if the node does not answer or its answer
        does not match the model.
        """
        content = self._call('GET', row.url, path)
        try:
            return model.model_validate(content)
        except ValidationError as invalid:
            text = f'{row.node}: its version does not fit: {invalid}'
            raise OperatorCallError(text) from invalid

    def fetch_from_all(
        self, path: str, model: type[_Page]
    ) -> list[tuple[NodeRow, _Page | OperatorCallError]]:
        """Return each live node with its page, or with the error of its call.

        The nodes are called concurrently.
        """

        def fetch(row: NodeRow) -> _Page | OperatorCallError:
            try:
                return self.fetch(row, path, model)
            except OperatorCallError as error:
                return error

        rows = self.nodes()
        with ThreadPoolExecutor(_MAX_CONCURRENT_CALLS) as pool:
            return list(zip(rows, pool.map(fetch, rows), strict=True))

    def drain(self, node_id: str) -> None:
        """Begin the planned stop of a node.

        Raises `UsageError` if there is no live node with this id, and
        `OperatorCallError` if the call fails.
        """
        self._call('POST', self.node(node_id).url, '/drain')

    def node(self, node_id: str) -> NodeRow:
        """Return a live node by its id.

        Raises `UsageError` if there is none.
        """
        rows = {row.node.partition('#')[0]: row for row in self.nodes()}
        if node_id not in rows:
            known = ', '.join(rows)
            raise UsageError(f'no live node {node_id!r}; live are: {known}')
        return rows[node_id]

    def _entry_urls(self) -> Iterator[str]:
        """Yield the URLs of nodes that may list the live nodes."""
        if self._options.node:
            yield _url(self._options.node)
            return
        try:
            stored_nodes, _ = HttpStore(self._options.platform_url).list(
                NODE_PREFIX
            )
        except PlatformError as error:
            raise OperatorCallError(
                f'the platform does not answer ({error}); name a node by '
                '--node=host:port or LABURNUMWOOD_NODE'
            ) from error
        for stored in stored_nodes:
            record = to_record(NodeRecord, stored)
            if record.open_incarnations:
                yield _url(f'{record.host}:{record.operator_port}')

    def _call(self, method: str, url: str, path: str) -> Any:
        headers = {'Authorization': f'Bearer {self._options.token}'}
        try:
            answer = self._http.request(method, url + path, headers=headers)
        except HTTPError as error:
            text = f'{url} does not answer; check the node or name another one'
            raise OperatorCallError(text) from error
        if answer.status != HTTPStatus.OK:
            raise OperatorCallError(f'{url}{path}: {_error_detail(answer)}')
        return answer.json()


def _url(address: str) -> str:
    return address if '://' in address else f'http://{address}'
