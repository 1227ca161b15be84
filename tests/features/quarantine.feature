Feature: Requests that crash workers
  The decisions of the quarantine, with a fake clock.

  Background:
    Given a quarantine

  Scenario: the first death makes a request suspected, the second bars it
    When a worker dies while it runs "poison"
    Then "poison" is suspected
    When a worker dies while it runs "poison"
    Then "poison" is barred

  Scenario: a suspected request that is answered is cleared
    When a worker dies while it runs "poison"
    And a worker dies while it runs "innocent"
    And "innocent" is answered
    Then "innocent" is not suspected
    And "poison" is suspected

  Scenario: suspicions and bars expire
    When a worker dies while it runs "poison"
    And 301 s pass for the quarantine
    Then "poison" is not suspected
    When a worker dies while it runs "poison"
    And a worker dies while it runs "poison"
    And 599 s pass for the quarantine
    Then "poison" is barred
    When 2 s pass for the quarantine
    Then "poison" is not suspected

  Scenario: deaths on other nodes count
    When another node reports 1 deaths under "poison"
    And a worker dies while it runs "poison"
    Then "poison" is barred

  # Guards against a bar on a harmless request that many callers send: each run
  # that a crash had cut off counted as a death, and each of two crashes at once.
  Scenario Outline: runs that are cut off together count as one death, <what>
    When <workers> workers crash, each with <runs> runs of one request
    Then it is suspected at each of their nodes, and not barred
    When a worker crashes again that runs it alone
    Then it is barred at each of their nodes

    Examples:
      | what                   | workers | runs |
      | in one crash           | 1       | 2    |
      | in one crash of many   | 1       | 10   |
      | in two crashes at once | 2       | 2    |

  # Guards against a request that crashes workers and goes on to: its quarantine
  # was forgotten by each node that started again.
  Scenario: a node that joins learns what the others suspect
    When 2 workers crash, each with 1 runs of one request
    And a worker crashes again that runs it alone
    And 599 s pass for the quarantine
    And another node joins
    Then it is barred at each of their nodes
    When 2 s pass for the quarantine
    Then it is not suspected at any of their nodes

  Scenario: an answer does not clear a barred request
    When another node reports 2 deaths under "poison"
    And "poison" is answered
    And another node reports 0 deaths under "poison"
    Then "poison" is barred

  Scenario: the number of suspects is bounded
    When workers die while they run 10001 different requests
    Then the first of them is not suspected but the last is

  # Guards against a run that waits for its turn beyond its deadline.
  Scenario: a run that has to be alone gives up at its deadline
    When a run that has to be alone waits for another one with 100 ms left
    Then it has given up after 100 to 400 ms
