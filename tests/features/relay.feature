Feature: The relay
  The relay forwards connections between two processes and injects network
  faults.

  Background:
    Given a running relay in front of a running journal

  Scenario: it passes bytes on and counts them
    When a caller asks through the relay
    Then the caller got an answer
    And the relay has counted bytes in both directions

  Scenario Outline: it injects faults into new connections
    When the relay is set to '<switches>'
    And a caller asks through the relay
    Then the caller got no answer, by <how>

    Examples:
      | switches                           | how     |
      | {"cut": true}                      | reset   |
      | {"cut": true, "only": "/journal"}  | reset   |
      | {"silent_new": true}               | silence |
      | {"drop": "to_client"}              | silence |
      | {"cut_after": 20}                  | reset   |

  Scenario: it injects faults only into the selected connections
    When the relay is set to '{"cut": true, "only": "somebody else"}'
    And a caller asks through the relay
    Then the caller got an answer

  Scenario: an open connection stays silent while new ones work
    Given an open connection through the relay
    When the relay is set to '{"silent": true}'
    And the relay is set to '{"silent": false}'
    Then the open connection gets no answer
    When a caller asks through the relay
    Then the caller got an answer

  # Guards against a silent connection that still tells one side of the other's
  # end.
  Scenario: the end of a silent connection is not passed on
    Given an open connection through the relay
    When the relay is set to '{"silent": true}'
    And the caller resets its connection
    Then the relay keeps its connection to the target open
