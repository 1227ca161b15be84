Feature: Answers that depend on the latest configuration
  Whether a route exists is a claim about the latest configuration, so a door
  asks the store before it denies one, and answers 503 if it can not.

  # Guards against routes that are answered with 404 though the version that
  # added them was accepted seconds before.
  Scenario: a route that the door does not know yet is looked up in the store
    Given a door with generation 1, which has no service "new"
    And the store of the door has generation 2 with the service "new"
    When a caller requests "/new/x"
    Then the door answers 200
    And the door asked the store 1 time

  Scenario: a route that the latest configuration lacks is not found
    Given a door with generation 1, which has no service "new"
    When a caller requests "/new/x"
    Then the door answers 404
    And the door asked the store 1 time

  # Guards against 404 by a node that is cut off and knows an old configuration.
  Scenario Outline: a door that can not ask the store claims nothing: <trouble>
    Given a door with generation 1, which has no service "new"
    And the store of the door <trouble>
    When a caller requests "/new/x"
    Then the door answers 503 within 1500 ms

    Examples:
      | trouble                                  |
      | rejects its calls                        |
      | does not answer                          |
      | has a configuration that is not readable |

  Scenario: a caller with little time left waits no longer than that
    Given a door with generation 1, which has no service "new"
    And the store of the door does not answer
    When a caller with 200 ms left requests "/new/x"
    Then the door answers 503 within 400 ms

  # Guards against unknown routes that make a node flood the store.
  Scenario Outline: many unknown routes cost few calls of a store that <state>
    Given a door with generation 1, which has no service "new"
    And the store of the door <state>
    When callers request "/new/x" 200 times in 2 s
    Then the door asked the store at most <calls> times

    Examples:
      | state             | calls |
      | answers           | 3     |
      | rejects its calls | 5     |

  Scenario: requests that come together share one call
    Given a door with generation 1, which has no service "new"
    And the store of the door answers after 300 ms
    When 20 callers request "/new/x" at the same time
    Then the door answers all with 404
    And the door asked the store 1 time

  Scenario: a known route asks nothing of the store
    Given a door with generation 1, which has no service "new"
    When a caller requests "/old/x"
    Then the door answers 200
    And the door asked the store 0 times

  # Guards against requests that are handled as an older version says by a node
  # that hears of no news: what it denied was asked about, the rest was not.
  Scenario Outline: a door that has heard nothing for long asks before it serves: <what>
    Given a door with generation 1, which has no service "new"
    And the store of the door has generation 2 without services
    When nobody confirms the configuration of the door for 1100 ms
    And <what>
    And a caller requests "/old/x"
    Then the door answers <status>
    And the door asked the store <calls> time

    Examples:
      | what                                 | status | calls |
      | an answer that may be old confirms it | 404    | 1     |
      | another node confirms it              | 404    | 1     |
      | a watch ends without a change         | 404    | 1     |

  # Guards against nodes that take each other's word for proof, and against a
  # number of store calls that grows with the fleet: four a second while the
  # roots are served, and two of each node that is not served or without roots.
  Scenario Outline: no door of <size> nodes decides by an old proof, and few ask the store, which <does> <trouble>
    Given <size> nodes whose watches of the store have fallen silent
    And the store <does> the calls of <trouble>
    When callers ask all doors for 4000 ms, and the configuration is replaced after 1500 ms
    Then from 1200 ms after that on each door has decided by the new one
    And no proof was older than 1200 ms
    And the store was asked at most <calls> times

    Examples:
      | size | does         | trouble              | calls |
      | 80   | rejects      | nobody               | 16    |
      | 20   | rejects      | the first root       | 24    |
      | 20   | rejects      | both roots           | 160   |
      | 20   | rejects      | a third              | 72    |
      | 10   | is silent to | six, with both roots | 80    |

  Scenario: a door that has heard nothing for long serves on without the store
    Given a door with generation 1, which has no service "new"
    And the store of the door does not answer
    When nobody confirms the configuration of the door for 1100 ms
    And a caller requests "/old/x"
    Then the door answers 200 within 500 ms
