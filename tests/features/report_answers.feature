Feature: When the reports of a worker are answered
  A restarted worker serves no keys before it is granted them, and reports about
  once a second.

  # Guards against keys without service after a restart of a worker: its first
  # report was answered before the higher tokens that it needs were written.
  Scenario: the first report of a restarted worker is answered with its keys
    Given a node whose worker has been granted shard 1
    And a higher token for shard 1 is written after 200 ms
    When the next instance of the worker reports for the first time
    Then the answer grants it shard 1

  # Guards against an answer that the worker takes for lost: the store may be
  # away, so that no token is written.
  Scenario: the first report of a restarted worker is answered in time
    Given a node whose worker has been granted shard 1
    When the next instance of the worker reports for the first time
    Then the answer grants it nothing, and comes within 1000 ms
