Feature: A node listens before it is ready to serve
  Callers that come while it starts wait for their answer.

  Scenario: who connects early is served by the later listener
    Given a settings file with addresses for callers and reports
    When the addresses are opened early
    And a caller connects to each of them
    And the node listens at them
    Then it accepts the connections that came before

  Scenario Outline: what is wrong with the settings is left to be told later
    Given a settings file that holds <content>
    When the addresses are opened early
    Then nothing was opened

    Examples:
      | content                         |
      | no JSON                         |
      | []                              |
      | {"door_address": 7}             |
      | {"door_address": "nowhere:x"}   |

  # Guards against a stop that waits for a store that does not answer.
  Scenario: a node that has not joined yet ends when it is told to
    Given a node whose store does not answer
    When it is told to stop while it joins
    Then it ends with status 0 within 4 s
