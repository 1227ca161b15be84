"""Names of the headers that the platform's callers and workers use."""

ID_HEADER = 'Attempt-Id'  # the id of one attempt of a caller
TIME_LEFT_HEADER = 'Deadline-Ms'  # the time left in ms, not a point in time
KEY_HEADER = 'Shard-Key'  # a number below 65,536
WORKER_HEADER = 'Target-Instance'  # only this worker may run the request
ORIGIN_HEADER = 'Caller-Service'  # the service of the node that was called
STAMP_HEADER = 'Response-Stamp'  # proves that a worker made the answer
NOT_RUN_HEADER = 'Not-Executed'  # the worker did not run the request
LOAD_HEADER = 'Server-Load'  # running, waiting, slots, pace
LIMIT_HEADER = 'Server-Limit'  # requests a second that the worker accepts
WARMING_HEADER = 'Warmup-Ms'  # for how much longer the worker is cold
LEAVING_HEADER = 'Server-Leaving'  # '1': the worker is about to end


def to_header_text(name: str) -> str:
    """Return the text of a header that holds a name, sent in UTF-8.

    Heads are encoded in Latin-1, one byte for each character.
    """
    return name.encode().decode('latin1')
