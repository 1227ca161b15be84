"""The command that asserts the loss of a node."""

from contextlib import suppress

from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.output import Output
from laburnumwood.clock import Clock
from laburnumwood.errors import PlatformConflictError
from laburnumwood.membership.node_records import confirm_lost
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import AUDIT, node_object, to_record

_ASSERTION = """\
By confirming that {name} is lost you assert:
- its process has ended, or its VM is off, and will not come back as it was;
- its worker runs nothing for it any more, or checks fencing tokens.
If that is not so, two workers may own one key. Other nodes follow it at once.
Stop the VM first, then repeat the command with --yes."""


def _read(platform: Store, node_id: str) -> NodeRecord:
    stored = platform.get(node_object(node_id))
    if stored is None:
        raise UsageError(
            f'no node {node_id!r} has announced itself; give its id without '
            '"#" and number, see "laburnumwood nodes"'
        )
    return to_record(NodeRecord, stored)


def _note(platform: Store, name: NodeName, who: str) -> None:
    """Write the assertion into the audit trail, once."""
    content = {
        'what': 'confirm-lost',
        'node': str(name),
        'who': who,
        'when_ms': Clock().wall_ms(),
    }
    with suppress(PlatformConflictError):
        platform.create(f'{AUDIT}lost/{name}', content)


def confirm_loss(
    options: Options, node_id: str, output: Output, *, sure: bool
) -> None:
    """Say what the loss of a node asserts, and record it if told to.

    An incarnation that joins later is not touched.
    """
    if not sure:
        raise UsageError(_ASSERTION.format(name=node_id))
    platform = HttpStore(options.platform_url)
    record = _read(platform, node_id)
    name = NodeName(node_id, record.incarnation)
    _note(platform, name, options.who)
    confirm_lost(platform, name, options.who)
    output.say(f'{name} is recorded as lost; its shards get new owners')
    output.data({'lost': str(name)})
