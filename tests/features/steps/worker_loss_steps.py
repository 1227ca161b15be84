"""Steps that freeze and thaw the workers of a deployment."""

from behave import then, when
from behave.runner import Context

from bench.deployment import Member, wait_for

_LIMIT_S = 20
_OK = 200


@when('the worker of the node "{node_id}" is frozen')
def freeze_worker(context: Context, node_id: str) -> None:
    context.frozen = context.deployment.members[node_id]
    context.frozen.worker.pause()


@when('the worker of the node "{node_id}" is thawed')
def thaw_worker(context: Context, node_id: str) -> None:
    context.deployment.members[node_id].worker.resume()


def _owns(context: Context, member: Member, service: str) -> set[int]:
    pages = context.deployment.page(member, 'owners').get(service, {})
    own = context.frozen.place.node_id
    return {int(shard) for shard, owner in pages.items() if own in owner}


@then('{count:d} keys of "{service}" are served by the other workers')
def check_served(context: Context, count: int, service: str) -> None:
    others = [
        member
        for member in context.deployment.members.values()
        if member is not context.frozen
    ]
    wait_for(
        'the frozen node to own nothing',
        lambda: not _owns(context, others[0], service),
        _LIMIT_S,
    )
    for number in range(count):
        key = f'key-{number}'
        answer = context.deployment.get(
            f'{others[0].door}/{service}/x', headers={'Kiosk': key}
        )
        assert answer.status == _OK, (key, answer.data)
