Feature: Planned stops and requests that span a change of owner

  Background:
    Given a shared deployment of 4 nodes
    And callers that go on until they are stopped

  Scenario: every node is restarted in turn
    When every node is restarted in turn
    Then every key is served
    And the callers and the journals agree

  Scenario: a stream outlasts a planned stop
    When a long stream is under way at its owner
    And that owner is told to stop
    Then the stream came whole
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

  Scenario: a request that kills its workers is sent again and again
    When a request that crashes workers is sent 8 times
    Then at most 2 workers were lost
    And every key is served
    And the callers and the journals agree
