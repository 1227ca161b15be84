"""Models of the pages that the tool reads from nodes."""

from pydantic import BaseModel, ConfigDict


class Page(BaseModel):
    """The base of all pages; ignores fields that newer nodes may add."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class NodeRow(Page):
    """A live node as another node has it in its list of nodes."""

    node: str
    failure_domain: str
    service: str
    capacity_owner: str
    slots: int
    host: str
    operator_port: int

    @property
    def url(self) -> str:
        """Return the URL of the operator port."""
        return f'http://{self.host}:{self.operator_port}'


class UnservedRow(Page):
    """A shard that its node holds and does not serve."""

    shard: str
    cause: str
    for_ms: int


class StatusPage(Page):
    """The status of a node: its lease, shards and requests."""

    node: str
    holds_lease: bool
    witnesses: tuple[str, ...]
    generation: int
    shards: tuple[str, ...]
    running: int
    waiting: int
    unserved: tuple[UnservedRow, ...] = ()


class GenerationPage(Page):
    """The generation of the configuration in force on a node."""

    node: str
    generation: int


class KeyOwnerPage(Page):
    """The shard and the owner of a key; None if nobody owns it."""

    service: str
    key: str
    shard: int
    owner: str | None


class ConsumerUsage(Page):
    """The slot-milliseconds of a node that a service of an owner used."""

    service: str
    owner: str
    slot_ms: int


class IdlePage(Page):
    """Used and idle slot-milliseconds of a node in a window of time."""

    node: str
    capacity_owner: str
    failure_domain: str
    service: str
    window_ms: int
    slots: int
    idle: int
    used: tuple[ConsumerUsage, ...]
