Feature: A short soak of real processes under faults
  Each seed draws other requests and faults. A seed that ever failed stays in
  the list, with its cause. `python -m tests.soak` runs more and longer ones.

  Scenario Outline: <nodes> nodes for <seconds> s with seed <seed>, <why>
    When a soak of <nodes> nodes runs for <seconds> s with seed <seed>
    Then no promise was broken

    Examples:
      | seed | nodes | seconds | why           |
      | 1    | 4     | 40      | a first guard |
