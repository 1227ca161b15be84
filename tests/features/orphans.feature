Feature: Shards whose owner's process is lost
  They go back to its node once it is live again, since its worker may still
  have the data of the keys.

  Scenario: a shard goes back to the node that had it
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 12 was owned by "b#1" with the successors "c#2" and "a#1"
    Then each of them is to be claimed by "b#2"

  Scenario: shards whose node is not back are spread evenly
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 12 was owned by "d#1" with the successors "c#2" and "a#1"
    Then each node is to claim 4 of them

  Scenario: shards that never had an owner are spread evenly
    Given the nodes "a#2", "b#2" and "c#3" serve
    And 12 shards without a record
    Then each node is to claim 4 of them

  Scenario Outline: a shard that was taken over is given back
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 1 was owned by "<owner>" with the successors "c#3" and "a#1"
    And "c#3" runs in the same process as "c#2" did
    Then it is given back to "<returned>"

    Examples:
      | owner | returned |
      | b#1   | b#2      |
      | b#2   | b#2      |
      | c#2   | none     |
      | d#1   | none     |
