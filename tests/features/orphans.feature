Feature: Shards whose owner's process is lost
  They go back to its node once that is back, since its worker may still have
  what the keys need.

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

  Scenario Outline: a shard that was taken over goes home
    Given the nodes "a#2", "b#2" and "c#3" serve
    And every shard of 1 was owned by "<owner>" with the successors "c#3" and "a#1"
    And the process of "c#3" is the one that "c#2" had
    Then it goes home to "<home>"

    Examples:
      | owner | home |
      | b#1   | b#2  |
      | b#2   | b#2  |
      | c#2   | none |
      | d#1   | none |
