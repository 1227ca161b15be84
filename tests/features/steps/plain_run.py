"""A plain entry in the journal of a worker, to be adapted by tests."""

from standins.journal.entry import JournalEntry, Outcome

PLAIN_RUN = JournalEntry(
    boot='',
    index=0,
    worker='',
    request='',
    key='',
    service='',
    shard=None,
    token=None,
    method='GET',
    started_ms=0,
    outcome=Outcome.ran,
)
