Feature: Into how many shards a service is divided
  A service with 64 shards at least, of stripes of 64 keys, and 3 for each node.
  The nodes begin within a second and agree by the store; the number stays.

  # Guards against workers that never get a key: 64 shards, 66 workers.
  Scenario Outline: every node of a service that begins gets shards
    Given <nodes> nodes that begin together
    When 4 s pass for them
    Then the service has <shards> shards
    And each node owns <least> of them at least and <most> at the most
    And each key of the service is placed in the shard that has it

    Examples:
      | nodes | shards | least | most |
      | 7     | 64     | 9     | 10   |
      | 30    | 128    | 4     | 5    |
      | 66    | 256    | 3     | 4    |

  # Guards against hot neighbours that a few nodes own while others idle: the
  # busiest keys are close to one another, and a split takes seconds.
  # A quarter of the nodes can carry what the hottest neighbours get.
  Scenario Outline: neighbouring keys belong to many of <nodes> nodes
    Given <nodes> nodes that begin together
    When 4 s pass for them
    Then any 200 neighbouring keys belong to <owners> nodes at least
    And the answers to <few> workers have room for all keys

    Examples:
      | nodes | owners | few |
      | 7     | 2      | 3   |
      | 30    | 8      | 12  |
      | 66    | 17     | 26  |

  # Guards against two owners of a key while two versions of the program run.
  Scenario: a service that was divided before keeps its stripes
    Given 66 nodes whose service was divided into 256 shards of 64 keys a stripe
    When 4 s pass for them
    Then the keys 0 to 63 are of one shard and the next of another

  Scenario: the number stays when nodes come
    Given 7 nodes that begin together
    When 4 s pass for them
    And 33 more nodes come
    And 4 s pass for them
    Then the service has 64 shards

  Scenario: nodes that know each other late go by one number
    Given 9 nodes that begin together and hear of each other after 2500 ms
    When 6 s pass for them
    Then all records are of one division

  # Guards against moves at the start, of shards that were evenly divided.
  Scenario Outline: a node moves nothing while it knows of some shards only
    Given 8 nodes that begin together
    When 4 s pass for them
    And a node that owns 8 shards hears of <heard> of the 64
    Then it moves <moved>

    Examples:
      | heard | moved   |
      | 8     | nothing |
      | 63    | nothing |
      | 64    | nothing |

  # Guards against a node that comes back at once and finds its shards given on.
  Scenario: a node that follows a lost owner gives none of its shards on at once
    Given 8 nodes that begin together
    When 4 s pass for them
    And an owner is lost and one node follows it in 3 shards at least
    Then it moves none of these
    When it has written itself first into their records
    Then it moves one of these

  Scenario: a node that knows of all shards moves some to one that has none
    Given 8 nodes that begin together
    When 4 s pass for them
    And 3 more nodes come
    And a node that owns 8 shards hears of 64 of the 64
    Then it moves some
