"""The command by which an operator confirms that a node is lost."""

from contextlib import suppress

from laburnumwood.cli.options import Options, UsageError
from laburnumwood.cli.output import Output
from laburnumwood.clock import Clock
from laburnumwood.errors import PlatformConflictError
from laburnumwood.membership.node_records import confirm_lost
from laburnumwood.records import NodeName, NodeRecord
from laburnumwood.store.client import HttpStore
from laburnumwood.store.interface import Store
from laburnumwood.store.objects import AUDIT_PREFIX, node_object_name, to_record

_ASSERTION = """\
By confirming that {name} is lost you assert:
- its process has ended, or its VM is off, and will not come back as it was;
- its worker runs nothing for it any more, or checks fencing tokens.
If that is not so, two workers may own one key. Other nodes follow it at once.
Stop the VM first, then repeat the command with --yes."""


def _read_node_record(store: Store, node_id: str) -> NodeRecord:
    stored = store.get(node_object_name(node_id))
    if stored is None:
        raise UsageError(
            f'no node {node_id!r} has announced itself; give its id without '
            '"#" and number, see "laburnumwood nodes"'
        )
    return to_record(NodeRecord, stored)


def _write_audit_entry(store: Store, name: NodeName, who: str) -> None:
    """Record the confirmation in the audit trail unless it is there."""
    content = {
        'what': 'confirm-lost',
        'node': str(name),
        'who': who,
        'when_ms': Clock().wall_ms(),
    }
    with suppress(PlatformConflictError):
        store.create(f'{AUDIT_PREFIX}lost/{name}', content)


def confirm_loss(
    options: Options, node_id: str, output: Output, *, confirmed: bool
) -> None:
    """Record that the latest incarnation of a node is lost.

    Later incarnations are not affected.  Raises `UsageError` with what the
    operator asserts unless `confirmed`, or if the node is not known, and
    `PlatformError` if the platform does not answer.
    """
    if not confirmed:
        raise UsageError(_ASSERTION.format(name=node_id))
    store = HttpStore(options.platform_url)
    record = _read_node_record(store, node_id)
    name = NodeName(node_id, record.incarnation)
    _write_audit_entry(store, name, options.who)
    confirm_lost(store, name, options.who)
    output.print_text(f'{name} is recorded as lost; its shards get new owners')
    output.print_json({'lost': str(name)})
