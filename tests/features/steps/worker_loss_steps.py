"""Steps that pause and resume the workers of a deployment."""

from behave import then, when
from behave.runner import Context

from bench.deployment import Member, wait_for

_TIMEOUT_S = 20
_OK = 200


@when('the worker of node "{node_id}" is paused')
def pause_worker(context: Context, node_id: str) -> None:
    context.paused = context.deployment.members[node_id]
    context.paused.worker.pause()


@when('the worker of node "{node_id}" is resumed')
def resume_worker(context: Context, node_id: str) -> None:
    context.deployment.members[node_id].worker.resume()


def _owned_shards(context: Context, member: Member, service: str) -> set[int]:
    owners = context.deployment.page(member, 'owners').get(service, {})
    node_id = context.paused.place.node_id
    return {int(shard) for shard, owner in owners.items() if node_id in owner}


@then('{count:d} keys of "{service}" are served by the other workers')
def check_served(context: Context, count: int, service: str) -> None:
    others = [
        member
        for member in context.deployment.members.values()
        if member is not context.paused
    ]
    wait_for(
        'the node of the paused worker to own no shard',
        lambda: not _owned_shards(context, others[0], service),
        _TIMEOUT_S,
    )
    for number in range(count):
        key = f'key-{number}'
        answer = context.deployment.get(
            f'{others[0].door}/{service}/x', headers={'Kiosk': key}
        )
        assert answer.status == _OK, (key, answer.data)
