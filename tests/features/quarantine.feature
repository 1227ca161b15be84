Feature: Requests that crash workers
  Decisions only, on a clock of the test's own.

  Background:
    Given a quarantine

  Scenario: a first death makes a request suspected, a second one bars it
    When a worker dies under "poison"
    Then "poison" is suspected
    When a worker dies under "poison"
    Then "poison" is barred

  Scenario: an innocent request beside it is trusted again once answered
    When a worker dies under "poison"
    And a worker dies under "innocent"
    And "innocent" is answered
    Then "innocent" is trusted
    And "poison" is suspected

  Scenario: suspicions and bars fade
    When a worker dies under "poison"
    And 301 s pass for the quarantine
    Then "poison" is trusted
    When a worker dies under "poison"
    And a worker dies under "poison"
    And 599 s pass for the quarantine
    Then "poison" is barred
    When 2 s pass for the quarantine
    Then "poison" is trusted

  Scenario: deaths on other nodes count
    When another node tells of 1 death under "poison"
    And a worker dies under "poison"
    Then "poison" is barred

  Scenario: an answer does not lift a bar
    When another node tells of 2 death under "poison"
    And "poison" is answered
    And another node tells of 0 death under "poison"
    Then "poison" is barred

  Scenario: the number of suspects is bounded
    When workers die under 10001 different requests
    Then the first of them is trusted and the last is suspected
