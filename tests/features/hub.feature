Feature: Waiting for connections
  A descriptor stays registered from one wait to the next, and no wait is lost.

  Scenario: several waits for one descriptor register it once
    Given a connection and an event loop
    When it is waited for 5 times
    Then the system was asked 1 time to watch a descriptor

  Scenario: bytes that nobody waits for are told once
    Given a connection and an event loop
    When it is waited for 1 time
    And bytes come that nobody waits for
    Then the loop is woken 1 time
    When a wait for it begins
    Then that wait ends

  Scenario: a wait to write that is over does not wake the loop
    Given a connection and an event loop
    When a wait to write to it begins and ends
    Then the loop is woken 1 time

  Scenario: a wait to read stays while a wait to write is over
    Given a connection and an event loop
    When a wait for it begins
    And a wait to write to it begins and ends
    Then the loop is woken 1 time
    When bytes come
    Then that wait ends

  Scenario: the number of a closed connection goes to another one
    Given a connection and an event loop
    When it is waited for 1 time
    And it is closed and another one gets its number
    And a wait for it begins
    And bytes come
    Then that wait ends

  Scenario: an end that nobody waits for is told once
    Given a connection and an event loop
    When it is waited for 1 time
    And the other side closes it
    Then the loop is woken 1 time

  Scenario: a closed connection can't be waited for
    Given a connection and an event loop
    When it is closed
    Then a wait for it fails with ValueError
