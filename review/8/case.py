"""Case 8: an accepted manifest with a dot in a route's name is never used."""

import time
from pathlib import Path
from typing import Any

from review.lib2.callers import Asked, Caller
from review.lib2.cases import run_case
from review.lib2.deployment import Deployment, Recorder, manifest, route

CONFIG_APPLY_S = 2.0  # `config_apply_s` of the site
CONTACT_S = 3.0  # `contact_s` of the site
_AFTER_S = 8.0  # for which requests are sent after that
_PREFIX = '/pufi791/'


def play(record: Recorder, has_trouble: bool) -> bool:
    """Return whether requests were handled by the replaced manifest."""
    deployment = Deployment({'desk': False, 'till': False}, record)
    try:
        for number, service in enumerate(('desk', 'desk', 'till', 'till')):
            deployment.add(f'n{number}', 'caerdydd', service)
        deployment.start()
        return _play(deployment, record, has_trouble)
    finally:
        deployment.close()


def _manifest(
    deployment: Deployment, version: int, service: str, added: str
) -> dict[str, Any]:
    content = manifest(version, deployment.services)
    content['routes'].append(route('r-i9n73hh', service, _PREFIX, 'unsafe'))
    if added:
        content['routes'].append(route(added, 'till', '/lohu930/', 'safe'))
    return content


def _play(deployment: Deployment, record: Recorder, has_trouble: bool) -> bool:
    deployment.write_manifest(_manifest(deployment, 3, 'desk', ''))
    time.sleep(CONTACT_S)
    callers = [
        Caller(node.door, f'{_PREFIX}2f', 5, record)
        for node in deployment.nodes.values()
    ]
    time.sleep(CONTACT_S)
    # The change moves a route to another service and adds one.  Without the
    # trouble it is the same change, and the added name has a hyphen.
    added = 'renewal.payment' if has_trouble else 'renewal-payment'
    deployment.write_manifest(_manifest(deployment, 7, 'till', added))
    acked_s = time.monotonic()
    time.sleep(CONFIG_APPLY_S + _AFTER_S)
    for caller in callers:
        caller.stop()
    asked = [each for caller in callers for each in caller.asked]
    return _judge(deployment, record, asked, acked_s)


def _judge(
    deployment: Deployment,
    record: Recorder,
    asked: list[Asked],
    acked_s: float,
) -> bool:
    ran_by = {
        run['attempt']: node.service
        for node in deployment.nodes.values()
        if node.worker is not None
        for run in node.worker.runs
    }
    late = [each for each in asked if each.at_s > acked_s + CONFIG_APPLY_S]
    by_old = [each for each in late if ran_by.get(each.attempt) == 'desk']
    by_new = [each for each in late if ran_by.get(each.attempt) == 'till']
    record('judged', late=len(late), old=len(by_old), new=len(by_new))
    print(f'{len(late)} requests: {len(by_old)} run by the old service')
    if not late or not (by_old or by_new):
        raise RuntimeError('no request was run after the change')
    return bool(by_old)


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
