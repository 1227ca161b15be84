Feature: A worker that no longer answers
  Scenario: one failure is not a loss
    When calls of the worker end so
      | at_ms | answered |
      | 0     | yes      |
      | 400   | no       |
      | 800   | yes      |
      | 5000  | no       |
    Then at 5400 ms the worker is not lost

  Scenario: silence for longer than the patience is
    When calls of the worker end so
      | at_ms | answered |
      | 0     | no       |
      | 500   | no       |
      | 1000  | no       |
    Then at 1400 ms the worker is not lost
    And at 1600 ms the worker is lost
