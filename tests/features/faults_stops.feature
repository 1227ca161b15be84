Feature: Planned stops and requests that span a change of owner

  Background:
    Given a shared deployment of 4 nodes
    And callers that send requests until they are stopped

  Scenario: every node is restarted in turn
    When every node is restarted in turn
    Then every key is served
    And the callers and the journals agree

  Scenario: a stream outlasts a planned stop
    When a long stream is under way at its owner
    And that owner is told to stop
    Then the caller received the whole stream
    And the stopped node ended with status 0
    And every key is served
    And the callers and the journals agree

  Scenario Outline: a payment is sent again after its owner was <event>
    When a slow payment is under way at its owner
    And that owner is <event>
    And the payment is sent again until its outcome is final
    Then every key is served
    And the callers and the journals agree

    Examples:
      | event        |
      | killed       |
      | told to stop |

  Scenario: a request that crashes its workers is sent repeatedly
    When a request that crashes workers is sent 8 times
    Then at most 2 workers were lost
    And every key is served
    And the callers and the journals agree
