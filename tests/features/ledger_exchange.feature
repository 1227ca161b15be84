Feature: Nodes exchange their run ledgers

  Background:
    Given the nodes a and b with links between them
    And shard 1 has the record of epoch 1 with succession "a#1 b#1" by "a#1"

  # Guards against payments for split-off keys that are refused for ten minutes.
  Scenario: a part of a split shard begins with the entries of the shard
    Given "a" admitted the payment "pay" in shard 1
    And shard 1 has the record of epoch 2 with succession "a#1 b#1" by "a#1"
    When "a" splits shard 2 off shard 1 for the succession "b#1 a#1" in epoch 2
    Then "b" answers the payment "pay" in shard 2 with "still-running or ran"
    And "b" admits the payment "new" in shard 2

  Scenario: a node that joined anew gets back what it and its successor admitted
    Given "a" admitted the payment "pay" in shard 1
    And the nodes a and b join anew
    And shard 1 has the record of epoch 2 with succession "b#2 a#2" by "b#2"
    Then "b" answers the payment "new" in shard 1 with "past-unknown"
    When "b" asks about shard 1
    Then "b" answers the payment "pay" in shard 1 with "still-running or ran"
    And "b" admits the payment "new" in shard 1

  Scenario: a node of an older version tells nothing and keeps its link
    Given the nodes a and b join anew
    And shard 1 has the record of epoch 2 with succession "b#2 a#2" by "b#2"
    And "a" is of an older version
    When "b" asks about shard 1
    Then "b" answers the payment "new" in shard 1 with "past-unknown"
    And "a" confirmed 1 message

  # Guards against a shard that stays closed while its move waits for a link.
  Scenario: a node that no link can be opened to holds up nobody
    Given the nodes a and b join anew
    And shard 1 has the record of epoch 2 with succession "b#2 a#2" by "b#2"
    And no link to "a" is opened, and none refused
    When "b" asks about shard 1 for at most 2000 ms
    Then "b" answers the payment "new" in shard 1 with "past-unknown"
