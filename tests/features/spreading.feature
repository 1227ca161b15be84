Feature: Propagation of changes between nodes
  A writer notifies other nodes of a record at once; missed records are pulled.

  # Guards against records that are sent to a failure domain twice, by a notice
  # and by a pull.
  Scenario: a node pulls only the records that it was not notified of
    Given the nodes "a" and "b" that know the store up to revision 10
    And "b" has read the shards 1, 2 and 3 with the versions 11, 12 and 13
    And "a" was notified of shard 2 by its writer
    When "a" receives the digest of "b"
    Then "b" has sent the shards 1 and 3
    And "a" knows the shards 1, 2 and 3, and the store up to revision 13

  Scenario: a record that was written again is pulled again
    Given the nodes "a" and "b" that know the store up to revision 10
    And "a" was notified of shard 2 by its writer
    And "b" has read the shards 1, 2 and 3 with the versions 11, 14 and 13
    When "a" receives the digest of "b"
    Then "b" has sent the shards 1, 3 and 2
    And "a" knows the shards 1, 2 and 3, and the store up to revision 14

  Scenario: a directory finds the shards that list a node, after each change
    Given a directory with the shards "1 a b" and "2 b c" and "3 c a"
    Then the shards that list "b" are "1 2"
    When the record of shard 1 lists "a c"
    And the record of shard 3 is deleted
    Then the shards that list "b" are "2"
    And the shards that list "a" are "1"
    And the shards that list "c" are "1 2"

  # Guards against checking all nodes again for each change of a shard.
  Scenario: live nodes are computed again only when a node has changed
    Given a view of 3 nodes that has computed which are live
    When the records of 5 shards arrive
    Then its nodes were not checked again
    When a node has ended
    Then it lists 2 live nodes

  # Guards against configurations that wait at each node for its next renewal.
  Scenario: a new configuration is announced to the witnesses at once
    Given a node that renews its lease every 5000 ms
    When a configuration comes into force on it
    Then it sends its witness a renewal within 500 ms
    And only one for each configuration

  # Guards against rejections of which the log does not tell by which
  # configuration they were made, nor who last confirmed it.
  Scenario: a node knows who brought its configuration and who confirmed it
    Given a directory with a clock of its own
    Then the configuration status is generation 0 from "nobody", current by "nobody" for -1 ms
    When generation 3 arrives from "the store" with version 40
    And 700 ms pass for the directory
    Then the configuration status is generation 3 from "the store", current by "the store" for 700 ms
    When "b#1" tells that it knows generation 3
    And 100 ms pass for the directory
    Then the configuration status is generation 3 from "the store", current by "b#1" for 100 ms
    When "c#1" tells that it knows generation 2
    Then the configuration status is generation 3 from "the store", current by "b#1" for 100 ms
    When generation 4 arrives from "b#1" with version 52
    Then the configuration status is generation 4 from "b#1", current by "b#1" for 0 ms
    And its version is 52, and it is in force for 0 ms

  # Guards against configurations that arrive late because the nodes that watch
  # are cut off from the store.
  Scenario Outline: <who> nodes of a failure domain watch the <scope>
    Given a failure domain of 40 nodes and a store of records and configuration
    When each of them runs its watcher of the <scope>
    Then <count> of them watch the store

    Examples:
      | who       | scope         | count |
      | two       | records       | 2     |
      | most      | configuration | 32    |

  # Guards against a number of store calls that grows with the fleet.
  Scenario Outline: in <domains> failure domains few watch the current <scope>
    Given <domains> failure domains of 39 nodes and such a store
    When each of them runs its watcher of the <scope>
    Then <count> of them watch the store
    And <fresh> of them accept no stale changes
    And <prompt> of them make calls of 1500 ms

    Examples:
      | domains | scope         | count | fresh | prompt |
      | 1       | records       | 2     | 1     | 1      |
      | 5       | records       | 10    | 3     | 2      |
      | 5       | configuration | 160   | 40    | 2      |

  # Guards against configurations that reach a node only by renewals, which a
  # loaded node sends and answers late.
  Scenario: a node that is asked by one with a later configuration asks it in turn
    Given the nodes "a" and "b" that know the store up to revision 10
    And a configuration is in force on "b" only
    When "b" asks "a" for what is newer
    Then the configuration is in force on "a" too

  Scenario Outline: a configuration that one of <size> nodes reads reaches all
    Given <size> nodes without renewals, with a configuration in force
    When one of them reads the next configuration from the store
    Then it is in force on all of them after <calls> calls at most

    Examples:
      | size | calls |
      | 2    | 4     |
      | 80   | 1908  |

  # Guards against configurations that are in force later than half of the time
  # that is allowed, 2 s, with every node at its limit.
  Scenario Outline: simulated news reach the slowest of <size> nodes in time: <load>
    Given a simulated fleet of <size> nodes that is "<load>"
    When 25 configurations are spread in it
    Then the slowest node has each of them within 1000 ms

    Examples:
      | size | load                  |
      | 80   | idle                  |
      | 80   | store rejects a third |
      | 80   | at its limit          |
      | 195  | idle                  |
      | 195  | store rejects a third |
      | 195  | at its limit          |
