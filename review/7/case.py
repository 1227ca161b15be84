"""Case 7: a worker that has left gets requests again after a node's kill."""

import time
from pathlib import Path

from review.lib2.callers import Caller
from review.lib2.cases import run_case
from review.lib2.deployment import Deployment, Recorder

DRAIN_S = 2.0  # `drain_s` of the site
CONTACT_S = 3.0  # `contact_s` of the site
_KILLED_AFTER_S = 0.05  # the ack
_DOWN_S = 0.5
_LATE_S = 3.2  # by which the status report arrives after the ack
_GONE_S = 5.2  # after the ack the worker exits
_WORK = {'work_ms': 300}


def play(record: Recorder, has_trouble: bool) -> bool:
    """Return whether the worker got a request that it must not get."""
    deployment = Deployment({'docs': False}, record)
    try:
        for number in range(3):
            deployment.add(f'n{number}', 'caerdydd', 'docs')
        deployment.start()
        time.sleep(CONTACT_S)
        return _play(deployment, record, has_trouble)
    finally:
        deployment.close()


def _play(deployment: Deployment, record: Recorder, has_trouble: bool) -> bool:
    node = deployment.nodes['n0']
    worker = node.worker
    assert worker is not None
    _warm_up(deployment, record)
    worker.sends_reports = False
    time.sleep(0.2)
    # This status report is on its way for `_LATE_S`.
    report = worker.report_body()
    if not worker.deregister():
        raise RuntimeError('the node did not acknowledge the deregistration')
    acked_s = time.monotonic()
    record('acked', worker=worker.name, at=acked_s)
    restarted_s = 0.0
    if has_trouble:
        time.sleep(_KILLED_AFTER_S)
        node.kill()
        time.sleep(_DOWN_S)
        node.start()
        restarted_s = time.monotonic()
    callers = [
        Caller(
            deployment.nodes[name].door, '/docs/unsafe/x', 8, record, plan=_WORK
        )
        for name in ('n1', 'n2')
    ]
    time.sleep(max(0, acked_s + _LATE_S - time.monotonic()))
    worker._report_connection = None
    answer = worker.post('Heartbeat', report)
    record('late-report', answer=answer)
    time.sleep(max(0, acked_s + _GONE_S - time.monotonic()))
    worker.end()
    record('gone', worker=worker.name)
    for caller in callers:
        caller.stop()
    return _judge(record, worker.runs, callers, acked_s, restarted_s)


def _warm_up(deployment: Deployment, record: Recorder) -> None:
    """Send some requests, so that each worker was seen to serve."""
    callers = [
        Caller(deployment.nodes[name].door, '/docs/unsafe/x', 8, record)
        for name in ('n1', 'n2')
    ]
    time.sleep(2)
    for caller in callers:
        caller.stop()


def _judge(
    record: Recorder,
    runs: list[dict[str, object]],
    callers: list[Caller],
    acked_s: float,
    restarted_s: float,
) -> bool:
    # The node that sends to the worker is in touch again `contact_s` after its
    # start; the nodes that take the requests were never disturbed.
    from_s = max(acked_s + DRAIN_S, restarted_s + CONTACT_S)
    late = [run for run in runs if float(str(run['at'])) > from_s]
    ends = {
        each.attempt: each.end for caller in callers for each in caller.asked
    }
    for run in late:
        record(
            'late-run',
            attempt=run['attempt'],
            after_ack_s=round(float(str(run['at'])) - acked_s, 3),
            end=ends.get(str(run['attempt'])),
        )
    lost = [run for run in late if ends.get(str(run['attempt'])) != '200']
    record('judged', late=len(late), not_answered_with_success=len(lost))
    print(f'{len(late)} late requests, {len(lost)} of them failed')
    return bool(late)


if __name__ == '__main__':
    run_case(Path(__file__).parent, play)
