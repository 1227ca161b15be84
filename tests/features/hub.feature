Feature: Waiting for connections
  A descriptor stays registered between waits, and no wait is lost.

  Scenario: several waits for a descriptor register it once
    Given a connection and an event loop
    When it is waited for 5 times
    Then epoll was called 1 time

  Scenario: data that no task waits for is reported once
    Given a connection and an event loop
    When it is waited for 1 time
    And data arrives that no task waits for
    Then epoll reports it 1 time
    When a read wait for it starts
    Then that wait ends

  Scenario: a write wait that has ended does not wake the event loop
    Given a connection and an event loop
    When a write wait for it starts and ends
    Then epoll reports it 1 time

  Scenario: a read wait outlasts a write wait
    Given a connection and an event loop
    When a read wait for it starts
    And a write wait for it starts and ends
    Then epoll reports it 1 time
    When data arrives
    Then that wait ends

  Scenario: the descriptor number of a closed connection is reused
    Given a connection and an event loop
    When it is waited for 1 time
    And it is closed and its descriptor number is reused
    And a read wait for it starts
    And data arrives
    Then that wait ends

  Scenario: a closed connection that no task waits for is reported once
    Given a connection and an event loop
    When it is waited for 1 time
    And the peer closes it
    Then epoll reports it 1 time

  Scenario: a closed connection can't be waited for
    Given a connection and an event loop
    When it is closed
    Then a read wait for it fails with ValueError

  # Guards against answers that came in time and are taken for missing, since a
  # time limit is looked at before the connection: load taken for an outage.
  Scenario Outline: an answer that came during a long turn is read before its time limit ends: <tasks> tasks
    Given a connection and an event loop
    And a task waits 100 ms for data that <tasks> other tasks hand on
    When data arrives and the loop is busy for 1000 ms
    Then the task has the data

    Examples:
      | tasks |
      | 0     |
      | 1     |
      | 3     |

  Scenario: a time limit ends in a late turn if nothing has come
    Given a connection and an event loop
    And a task waits 100 ms for data that 1 other tasks hand on
    When the loop is busy for 1000 ms
    Then the task has waited too long

  # Guards against requests that are held past their timeout because nobody
  # counts what they wait for a busy process (issue 60).
  Scenario Outline: a request has waited for as long as the loop was busy
    Given an event loop that waited for events until 10 ms
    When it is busy until <busy> ms, and waits for events for <wait> ms
    And a request is read 5 ms later on a connection of which the system tells <what>
    Then it has waited for up to <waited> ms

    Examples:
      | busy | wait | what                 | waited |
      | 410  | 0    | nothing              | 405    |
      | 410  | 0    | its state alone      | 405    |
      | 410  | 0    | data since 300 ms    | 300    |
      | 410  | 20   | nothing              | 5      |
