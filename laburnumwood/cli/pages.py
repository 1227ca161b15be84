"""The models of the pages that nodes show to the tool."""

from pydantic import BaseModel, ConfigDict


class Page(BaseModel):
    """The base of all pages; a newer node may tell more."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class NodeRow(Page):
    """A live node, as another one knows it."""

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


class StatusPage(Page):
    """How a node is."""

    node: str
    holds_lease: bool
    witnesses: tuple[str, ...]
    generation: int
    shards: tuple[str, ...]
    running: int
    waiting: int


class GenerationPage(Page):
    """The generation of the configuration in force on a node."""

    node: str
    generation: int


class KeyOwnerPage(Page):
    """Who owns a key."""

    service: str
    key: str
    shard: int
    owner: str | None


class ConsumerUsage(Page):
    """What a node's capacity carried for a service and its owner."""

    service: str
    owner: str
    slot_ms: int


class IdlePage(Page):
    """What a node's capacity carried and what lay idle."""

    node: str
    capacity_owner: str
    failure_domain: str
    service: str
    window_ms: int
    slots: int
    idle: int
    used: tuple[ConsumerUsage, ...]
