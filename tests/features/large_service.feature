Feature: A service of many nodes
  What a node decides about its own shards, steady load or hot keys, costs it
  no more in a service of hundreds of nodes.

  Scenario Outline: hot keys in a service of <nodes> nodes
    Given a service of <nodes> nodes with 4 shards each
    And a node that is busy and has heard of 6 others
    When it decides about moves
    Then it moved a shard to one of the 6
    And it worked out how busy 7 nodes are at most

    Examples:
      | nodes |
      | 20    |
      | 160   |

  Scenario Outline: nothing is lost in a service of <nodes> nodes
    Given a service of <nodes> nodes with 4 shards each
    When a node asks which shards it should write
    Then there are none
    And it asked at most <asked> times whether a node has lapsed

    Examples:
      | nodes | asked |
      | 20    | 60    |
      | 160   | 200   |

  Scenario: the owners of a failure domain are lost in a large service
    Given a service of 160 nodes with 4 shards each
    And every node that the shards of the first node name has ended
    When another node asks which shards it should write
    Then these are shards of the first node

  # Guards against requests that wait for news of a move in a large fleet.
  Scenario: a request comes to a door that has missed a move
    Given a service of 160 nodes with 4 shards each
    And shard 7 has moved to another node, which its last owner alone knows
    When a request for shard 7 comes to a door
    Then the door asked the last owner, and then the next one
    And the next owner answered it within 100 ms
