Feature: What a failed call of the store proves
  A write that did not reach the store need not be settled.  Whatever else
  gets no answer may have been written, and so may what was tried before.

  Scenario Outline: <store> at <address>
    Given "<store>" at <address>
    When an object is written to it
    Then the store <proved>

    Examples:
      | store    | address                           | proved             |
      | platform | a port where nothing listens      | was not reached    |
      | platform | a server that answers 503         | was not reached    |
      | platform | a server that answers 500         | may have taken it  |
      | platform | a server that answers 429         | may have taken it  |
      | platform | a server that closes unanswered   | may have taken it  |
      | own      | a port where nothing listens      | was not reached    |
      | own      | a server that answers 503         | may have taken it  |
      | own      | a server that answers 500         | may have taken it  |
      | own      | a server that closes unanswered   | may have taken it  |

  Scenario: a guarded store that is left alone was not reached
    Given a guarded store that does not answer
    When 2 calls are made
    Then one more says that the store was not reached

  Scenario Outline: a move whose tries are <tries>
    Given a move to a store whose calls are "<tries>" in turn
    When it is stepped <steps> times
    Then it is "<progress>"

    Examples:
      | tries                                      | steps | progress  |
      | not-reached not-reached                    | 1     | NOT_SENT  |
      | lost not-reached                           | 1     | UNSETTLED |
      | not-reached lost                           | 1     | UNSETTLED |
      | lost lost not-reached not-reached          | 2     | UNSETTLED |
      | lost lost conflict not-reached             | 2     | UNSETTLED |
      | conflict not-reached                       | 1     | UNSETTLED |

  # Guards against a planned stop that calls a store that refuses without end.
  Scenario: a move that is begun again and again does not press the store
    When moves that are not sent are carried one after the other for 700 ms
    Then 3 are carried at the most

  Scenario: a write that has to be made goes on
    Given a claim to a store whose calls are "not-reached not-reached" in turn
    When it is stepped 1 times
    Then it is "UNSETTLED"
