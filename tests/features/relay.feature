Feature: The relay
  It stands between two processes and does what networks do.

  Background:
    Given a running relay before a running journal

  Scenario: it passes bytes on and counts them
    When a caller asks through the relay
    Then the caller got an answer
    And the relay has counted bytes in both directions

  Scenario Outline: it hinders new connections
    When the relay is told '<switches>'
    And a caller asks through the relay
    Then the caller got no answer, by <how>

    Examples:
      | switches                           | how     |
      | {"cut": true}                      | reset   |
      | {"cut": true, "only": "/journal"}  | reset   |
      | {"silent_new": true}               | silence |
      | {"drop": "to_client"}              | silence |
      | {"cut_after": 20}                  | reset   |

  Scenario: it hinders only whom it is told to
    When the relay is told '{"cut": true, "only": "somebody else"}'
    And a caller asks through the relay
    Then the caller got an answer

  Scenario: an open connection goes silent for good while new ones work
    Given an open connection through the relay
    When the relay is told '{"silent": true}'
    And the relay is told '{"silent": false}'
    Then the open connection gets no answer
    When a caller asks through the relay
    Then the caller got an answer
