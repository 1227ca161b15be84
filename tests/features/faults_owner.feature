Feature: Faults of one node
  Four nodes under load, with relays on their connections.  After each fault
  every key is served again, and no caller is given a wrong outcome.

  Background:
    Given a shared deployment of 4 nodes
    And callers that send requests until they are stopped

  Scenario Outline: the owner is <event>
    When the owner of a key is <event>
    And 2 s pass
    Then every key is served at the doors of the other nodes
    When all faults are repaired
    Then every key is served
    And the callers and the journals agree

    Examples:
      | event                                    |
      | killed                                   |
      | cut from its witnesses                   |
      | silently cut from its witnesses          |
      | cut from the store                       |
      | left with silent links                   |
      | left with links that break in mid-request |
      | left with links that break in mid-answer |
      | left with a frozen worker                |

  Scenario: one pair of nodes is cut from each other
    When the owner of a key is cut from one other node
    And 2 s pass
    And all faults are repaired
    Then every key is served
    And the callers and the journals agree

  Scenario: a frozen owner resumes and joins again
    When the owner of a key is frozen
    And 3 s pass
    Then every key is served
    When that owner is thawed
    Then the node of the owner joined again under a new incarnation
    And every key is served
    And the callers and the journals agree
