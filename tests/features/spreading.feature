Feature: How nodes bring each other up to date
  Writers tell others of a record at once; what is missed is pulled later.

  # Guards against records that cross failure domains twice, told and pulled.
  Scenario: a node pulls only what it was not told of
    Given the nodes "a" and "b" that know the store up to 10
    And "b" has read the shards 1, 2 and 3, written as 11, 12 and 13
    And "a" was told of shard 2 by its writer
    When "a" hears how much "b" knows
    Then "b" has sent the shards 1 and 3
    And "a" knows the shards 1, 2 and 3, and the store up to 13

  Scenario: a record that was written again is pulled again
    Given the nodes "a" and "b" that know the store up to 10
    And "a" was told of shard 2 by its writer
    And "b" has read the shards 1, 2 and 3, written as 11, 14 and 13
    When "a" hears how much "b" knows
    Then "b" has sent the shards 1, 3 and 2
    And "a" knows the shards 1, 2 and 3, and the store up to 14
