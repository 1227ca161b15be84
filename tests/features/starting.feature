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
