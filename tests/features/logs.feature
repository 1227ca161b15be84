Feature: Logging does not block, and explains requests
  Lines are JSON objects.  Their rate is limited for each kind of event, and
  they are written as fast as standard output accepts them.

  Scenario: events of a kind that is too frequent are only counted
    Given a rate limiter of the log
    When 500 events of one kind and 1 of another occur at once
    Then 100 of the first kind and 1 of the other are written
    When 1000 ms pass for the log
    Then 50 more of the first kind may be written

  Scenario: a log that is not read does not block the process
    Given a log whose reader has stopped
    When 100000 lines are written to it
    Then the writer did not block, and most lines were counted as dropped

  Scenario: a rejected request is explained by its id
    Given log files of two nodes about the request "r-1"
    When the request "r-1" is explained
    Then the events of the request are "request-again request-returned request-failed"
    And the events of its shard are "shard-moved"
    And there is no event about the request "r-2"

  Scenario: a request that is in no log file
    Given log files of two nodes about the request "r-1"
    When the request "r-9" is explained
    Then the tool reports that no line is about it
