Feature: The checker of callers' logs
  The checker must find each fault that is written into a correct log.

  Scenario: a correct log has no fault
    Given a log of payments and downloads that all went well
    Then the checker finds nothing

  Scenario Outline: an altered log
    Given a log of payments and downloads that all went well
    When the log is altered: <how>
    Then the checker finds exactly "<rule>"

    Examples:
      | how                                            | rule                 |
      | a request runs a second time                   | ran twice            |
      | a resend runs a second time                    | ran twice            |
      | a request reported as not run ran              | told not-run, ran    |
      | a download lacks its last byte                 | not its whole answer |
      | a caller gets the answer to another request    | not its whole answer |
      | an answer has no run                           | answered, never ran  |
      | two workers run a shard at once                | two owners at once   |
      | a new owner starts before a long run has ended | two owners at once   |
      | a token decreases                              | token went down      |

  Scenario: a refused request does not count as a run
    Given a log of payments and downloads that all went well
    When the log is altered: a request is refused and then runs
    Then the checker finds nothing

  Scenario: a download may outlast a move of its shard
    Given a log of payments and downloads that all went well
    When the log is altered: a new owner starts before a download has ended
    Then the checker finds nothing
