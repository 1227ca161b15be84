Feature: A service of many nodes
  The cost of a node's decisions about its own shards, under steady load or with
  hot keys, does not grow with the number of nodes.

  Scenario Outline: hot keys in a service of <nodes> nodes
    Given a service of <nodes> nodes with 4 shards each
    And a busy node that knows the load of 6 others
    When it plans moves
    Then it moves a shard to one of the 6
    And it computes the usage of at most 7 nodes

    Examples:
      | nodes |
      | 20    |
      | 160   |

  Scenario Outline: no node is lost in a service of <nodes> nodes
    Given a service of <nodes> nodes with 4 shards each
    When a node computes which shards it should write
    Then there are none
    And it checked at most <checks> times whether a node has lapsed

    Examples:
      | nodes | checks |
      | 20    | 60     |
      | 160   | 200    |

  Scenario: all nodes in the succession of some shards are lost
    Given a service of 160 nodes with 4 shards each
    And every node in the succession of the first node's shards has ended
    When another node computes which shards it should write
    Then these are the shards of the first node

  # Guards against requests that wait until a large fleet has learned of a move.
  Scenario: a request arrives at a door that does not know of a move
    Given a service of 160 nodes with 4 shards each
    And shard 7 has moved to another node, which only its last owner knows
    When a request for shard 7 arrives at a door
    Then the door sent it to the last owner, and then to the next one
    And the next owner answered it within 100 ms

  Scenario Outline: the tokens of <ranges> ranges of keys
    Given a worker whose <ranges> ranges of keys were given under their own tokens
    When the least tokens of 20 of them are computed
    Then they are those of the ranges
    And it took at most 2000 calls of functions

    Examples:
      | ranges |
      | 100    |
      | 5000   |
