Feature: The number of shards of a service
  A service has at least 64 shards of stripes of 64 keys, and 3 for each node.
  Its first nodes start within a second and agree on the number by the store;
  the number does not change later.

  # Guards against workers that never get a key: 64 shards for 66 workers.
  Scenario Outline: every node of a new service gets shards
    Given <nodes> nodes that start together
    When 4 s pass for the nodes
    Then the service has <shards> shards
    And each node owns <least> of them at least and <most> at the most
    And each key of the service is mapped to the shard that has it

    Examples:
      | nodes | shards | least | most |
      | 7     | 64     | 9     | 10   |
      | 30    | 128    | 4     | 5    |
      | 66    | 256    | 3     | 4    |

  # Guards against hot neighbouring keys that few nodes own while others are
  # idle: the busiest keys are close to one another, and a split takes seconds.
  # A quarter of the nodes can serve the requests of the hottest neighbours.
  Scenario Outline: neighbouring keys belong to many of <nodes> nodes
    Given <nodes> nodes that start together
    When 4 s pass for the nodes
    Then any 200 neighbouring keys belong to <owners> nodes at least
    And the answers to <few> workers have room for all keys

    Examples:
      | nodes | owners | few |
      | 7     | 2      | 3   |
      | 30    | 8      | 12  |
      | 66    | 17     | 26  |

  # Guards against two owners of a key while two versions of the program run.
  Scenario: a service whose shards were recorded before keeps its stripes
    Given 66 nodes whose service has 256 recorded shards with stripes of 64 keys
    When 4 s pass for the nodes
    Then the keys 0 to 63 are in one shard and the next key in another

  Scenario: the number stays the same when nodes join
    Given 7 nodes that start together
    When 4 s pass for the nodes
    And 33 more nodes join
    And 4 s pass for the nodes
    Then the service has 64 shards

  Scenario: nodes that learn of each other late adopt one number
    Given 9 nodes that start together and learn of each other after 2500 ms
    When 6 s pass for the nodes
    Then all records have the same number of shards

  # Guards against moves at the start of shards that are evenly distributed.
  Scenario Outline: a node moves nothing while it knows only some shards
    Given 8 nodes that start together
    When 4 s pass for the nodes
    And a node that owns 8 shards knows <known> of the 64
    Then it moves <moved>

    Examples:
      | known | moved   |
      | 8     | nothing |
      | 63    | nothing |
      | 64    | nothing |

  # Guards against a node that returns at once and finds its shards on a third
  # node.
  Scenario: a node that takes over shards does not move them on at once
    Given 8 nodes that start together
    When 4 s pass for the nodes
    And an owner is lost and one node takes over at least 3 of its shards
    Then it moves none of these
    When it has written records that name it as first owner
    Then it moves one of these

  Scenario: a node that knows all shards moves some to a node that has none
    Given 8 nodes that start together
    When 4 s pass for the nodes
    And 3 more nodes join
    And a node that owns 8 shards knows 64 of the 64
    Then it moves some
