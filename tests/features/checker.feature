Feature: The checker of callers' logs
  A checker that finds nothing proves nothing: it must find what was doctored.

  Scenario: an honest log has no fault
    Given a log of payments and downloads that all went well
    Then the checker finds nothing

  Scenario Outline: a doctored log
    Given a log of payments and downloads that all went well
    When the log is doctored: <how>
    Then the checker finds exactly "<rule>"

    Examples:
      | how                                       | rule                 |
      | a request runs a second time              | ran twice            |
      | a resend runs a second time               | ran twice            |
      | a request told not-run ran                | told not-run, ran    |
      | a download lacks its last byte            | not its whole answer |
      | a caller gets the answer to another       | not its whole answer |
      | an answer comes of no run                 | answered, never ran  |
      | two workers run a shard at once           | two owners at once   |
      | a worker of a long run is followed early  | two owners at once   |
      | a token goes down                         | token went down      |

  Scenario: a refused order is no run
    Given a log of payments and downloads that all went well
    When the log is doctored: a request is refused and then runs
    Then the checker finds nothing

  Scenario: a download may outlast a move
    Given a log of payments and downloads that all went well
    When the log is doctored: a download is followed early
    Then the checker finds nothing
