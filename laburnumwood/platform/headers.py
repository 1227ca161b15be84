"""Headers by which the platform's requesters and workers speak."""

ID_HEADER = 'Attempt-Id'  # of one try of a requester
TIME_LEFT_HEADER = 'Deadline-Ms'  # milliseconds, not a moment
KEY_HEADER = 'Shard-Key'  # a number below 65,536
WORKER_HEADER = 'Target-Instance'  # only this worker may run the request
ORIGIN_HEADER = 'Caller-Service'  # the service beside the door
STAMP_HEADER = 'Response-Stamp'  # shows that a worker made the answer
NOT_RUN_HEADER = 'Not-Executed'  # the worker did not run the request
LOAD_HEADER = 'Server-Load'  # numbers of running, waiting, and of slots
