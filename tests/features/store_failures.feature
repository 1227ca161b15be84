Feature: What is known after a failed call to the store
  A write that did not reach the store has no effect.  Any other write without
  an answer may have taken effect, and so may the attempts before it.

  Scenario Outline: <store> at <address>
    Given "<store>" at <address>
    When an object is written to it
    Then the store <proved>

    Examples:
      | store    | address                                | proved               |
      | platform | a port where nothing listens           | was not reached      |
      | platform | a server that answers 503              | was not reached      |
      | platform | a server that answers 500              | may have executed it |
      | platform | a server that answers 429              | may have executed it |
      | platform | a server that closes without an answer | may have executed it |
      | own      | a port where nothing listens           | was not reached      |
      | own      | a server that answers 503              | may have executed it |
      | own      | a server that answers 500              | may have executed it |
      | own      | a server that closes without an answer | may have executed it |

  Scenario: a circuit breaker that is open does not reach the store
    Given a guarded store that does not answer
    When 2 calls are made
    Then one more fails because the store was not reached

  # Guards against a store that counts as away although it answers: one reset of
  # all connections counted as a failure for each call that was under way.
  Scenario: calls that fail together open no circuit breaker
    Given a guarded store that does not answer
    When 5 calls under way fail at the same moment
    Then one more reaches the store
    And one more fails because the store was not reached

  Scenario Outline: a move whose attempts are <attempts>
    Given a move to a store whose calls are "<attempts>" in turn
    When it is stepped <steps> times
    Then it is "<progress>"

    Examples:
      | attempts                          | steps | progress  |
      | not-reached not-reached           | 1     | NOT_SENT  |
      | lost not-reached                  | 1     | UNSETTLED |
      | not-reached lost                  | 1     | UNSETTLED |
      | lost lost not-reached not-reached | 2     | UNSETTLED |
      | lost lost conflict not-reached    | 2     | UNSETTLED |
      | conflict not-reached              | 1     | UNSETTLED |

  # Guards against a planned stop that calls an unavailable store in a busy loop.
  Scenario: a move that is started repeatedly does not overload the store
    When moves that are not sent are executed one after the other for 700 ms
    Then at most 3 are executed

  Scenario: a write that must be made is retried
    Given a claim to a store whose calls are "not-reached not-reached" in turn
    When it is stepped 1 times
    Then it is "UNSETTLED"

  # Guards against a watch that waits 32 s on a connection that went silent.
  Scenario Outline: a silent connection to <store> is lost within 3 s
    Given "<store>" at a server that answers 404 and keeps its connections
    When an object is read from it
    Then its connection is probed after 1 s without a packet
    And it is closed once nothing has come for 2500 ms and probes are unanswered

    Examples:
      | store    |
      | platform |
      | own      |

  # Guards against calls that lose one silent connection after the other.
  Scenario Outline: calls to <store> go through after one found silence
    Given "<store>" behind a relay, with 6 connections open
    When its open connections go silent for good
    And an object is read until the store answers
    Then it was answered within 3000 ms
    And 6 reads at the same time are answered

    Examples:
      | store    |
      | platform |
      | own      |
