Feature: A worker that no longer answers
  Scenario: a worker is not lost after single failures
    When calls of the worker end as follows
      | at_ms | answered |
      | 0     | yes      |
      | 400   | no       |
      | 800   | yes      |
      | 5000  | no       |
    Then at 5400 ms the worker is not lost

  Scenario: a worker is lost after failing for longer than the timeout
    When calls of the worker end as follows
      | at_ms | answered |
      | 0     | no       |
      | 500   | no       |
      | 1000  | no       |
    Then at 1400 ms the worker is not lost
    And at 1600 ms the worker is lost
