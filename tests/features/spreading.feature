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

  Scenario: a directory tells which shards name a node, after each change
    Given a directory with the shards "1 a b" and "2 b c" and "3 c a"
    Then the shards that name "b" are "1 2"
    When the record of shard 1 names "a c"
    And the record of shard 3 is deleted
    Then the shards that name "b" are "2"
    And the shards that name "a" are "1"
    And the shards that name "c" are "1 2"

  # Guards against looking at all nodes again for each change of a shard.
  Scenario: live nodes are looked for again only when a node has changed
    Given a view of 3 nodes that has listed those that live
    When 5 records of shards come
    Then its nodes were not looked at again
    When a node has ended
    Then it lists 2 live nodes

  # Guards against configurations that wait for a renewal at each node.
  Scenario: a new configuration goes to the witnesses at once
    Given a node that renews its lease every 5000 ms
    When a configuration comes into force on it
    Then its witness is asked again within 500 ms
    And once for each configuration

  # Guards against configurations that come late since their readers are cut off.
  Scenario Outline: <who> of a failure domain watch the <scope>
    Given a failure domain of 40 nodes with a store of its records and its configuration
    When each of them runs its reader of the <scope>
    Then <count> of them watch the store

    Examples:
      | who       | scope         | count |
      | two       | records       | 2     |
      | many more | configuration | 32    |

  # Guards against calls of the store that grow with the fleet.
  Scenario Outline: few of <domains> failure domains want no stale <scope>
    Given <domains> failure domains of 39 nodes with such a store
    When each of them runs its reader of the <scope>
    Then <count> of them watch the store
    And <fresh> of them want no stale changes

    Examples:
      | domains | scope         | count | fresh |
      | 1       | records       | 2     | 1     |
      | 5       | records       | 10    | 3     |
      | 5       | configuration | 160   | 40    |
