Feature: A node listens before it is ready to serve
  Callers that connect during the start wait until the node serves.

  Scenario: the listener of a node accepts connections from before it existed
    Given a settings file with addresses for callers and reports
    When the addresses are opened early
    And a caller connects to each of them
    And the node listens at them
    Then it accepts the earlier connections

  Scenario Outline: invalid settings are left to be reported later
    Given a settings file that contains <content>
    When the addresses are opened early
    Then no address was opened

    Examples:
      | content                         |
      | no JSON                         |
      | []                              |
      | {"door_address": 7}             |
      | {"door_address": "nowhere:x"}   |

  # Guards against a stop that waits for a store that does not answer.
  Scenario: a node that has not joined yet exits when it is stopped
    Given a node whose store does not answer
    When it is stopped while it joins
    Then it exits with status 0 within 4 s

  # Guards against a node that ends at a signal which comes before its handlers.
  Scenario Outline: a node that gets <signal> while it is imported <does>
    Given a node whose store does not answer
    When it gets <signal> while it is imported
    Then it <does>

    Examples:
      | signal  | does                            |
      | SIGHUP  | goes on and reads its settings  |
      | SIGTERM | exits with status 0 within 20 s |

  # Guards against callers whose connections end without an answer, since the
  # node they have connected to is told to stop before it has begun to serve.
  Scenario: a caller that waits for a node which is told to stop is answered
    Given a node whose store does not answer
    When a caller sends a request, and it gets SIGTERM while it is imported
    Then the caller is answered with status 503
    And it exits with status 0 within 20 s
