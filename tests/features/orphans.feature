Feature: Shards that belong to nobody
  After all processes were killed at once, no owner and no successor is left.

  Scenario: a shard goes back to the node that had it
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 12 was owned by "b#1" with the successors "c#2" and "a#1"
    Then each of them goes to "b#2" first

  Scenario: shards whose node is not back are spread evenly
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 12 was owned by "d#1" with the successors "c#2" and "a#1"
    Then each node is first for 4 of them

  Scenario: shards that never had an owner are spread evenly
    Given the nodes "a#2", "b#2" and "c#3" serve
    And 12 shards without a record
    Then each node is first for 4 of them
