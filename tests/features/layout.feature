Feature: Keys, their shards, and hot keys that are split off
  A service has 64 shards of stripes of 64 neighbouring keys.

  Scenario: every key has one shard, and neighbouring keys share one
    Then each key is only in the ranges of the shard that it is mapped to
    And the keys 0 to 63 are in shard 0, the keys 64 to 127 in shard 1

  Scenario: hot keys that are split off have a shard of their own
    When the keys 70 to 127 are split off shard 1
    And the keys 80 to 127 are split off the shard of 70
    Then each key is only in the ranges of the shard that it is mapped to
    And the keys 70 to 79 have a shard of their own, and 80 to 127 another one

  Scenario Outline: the upper half of the hottest range is split off
    When keys are requested as often as <counts>
    Then <range> is to be split off shard 1

    Examples:
      | counts                          | range      |
      | 70:10 71:10 72:10 73:10         | 72 to 127  |
      | 70:40 71:1                      | 70 to 127  |
      | 64:90 65:5 66:5                 | 65 to 127  |
      | 70:1 127:9                      | 127 to 127 |
      | 64:9                            | nothing    |
      | 0:100 70:1 4160:10 4161:10      | 4161 to 4223 |

  Scenario Outline: several parts of the hottest range are split off at once
    When keys are requested as often as <counts>
    Then of <pieces> pieces <ranges> are to be split off shard 1

    Examples:
      | counts                               | pieces | ranges                          |
      | 70:9 71:9 72:9 73:9                  | 4      | 73 to 127, 72 to 72, 71 to 71   |
      | 70:5 71:5 72:5 73:5 74:5 75:5        | 3      | 74 to 127, 72 to 73             |
      | 70:1 71:99                           | 4      | 71 to 127                       |
      | 64:3 65:3 66:3                       | 3      | 66 to 127, 65 to 65             |

  Scenario Outline: only a node that is too busy splits a shard
    Given nodes "a" and "b" whose slots are busy by <own> and <other>
    And a shard of "a" that keeps <heaviest> of its slots busy
    Then the shard to split off is <shard>

    Examples:
      | own | other | heaviest | shard |
      | 0.9 | 0.2   | 0.6      | 7     |
      | 0.5 | 0.2   | 0.4      | -1    |
      | 0.9 | 0.8   | 0.6      | -1    |
      | 0.9 | 0.2   | 0.2      | -1    |

  # Guards against all nodes of a large service choosing the same few targets.
  # Guards against splits of shards that are heavy only for a worker that names
  # a limit: others take them as a whole (issue 36).
  Scenario: a shard that is heavy only for its owner is not split
    Given nodes "a" and "b" whose slots are busy by 0.9 and 0.2
    And a shard of "a" that keeps 0.5 of its slots busy
    Then the shard to split off is 7
    When "a" can use a fifth of its slots, with a fifth of the load
    Then the shard to split off is -1

  Scenario: nodes of a large service split hot keys off to different nodes
    Given 68 nodes that are overloaded by one shard each, but 4 without a shard
    And each of them knows the load of 6 others
    When all of them choose at once what to split off and the target nodes
    Then no node is chosen by more than 15 of them
    And parts go only to nodes whose load the owner knows

  Scenario Outline: the larger a service, the more ranges may be split off
    Given a service of <nodes> nodes of which one is overloaded
    Then it splits while <ranges> ranges are split off, but not with more

    Examples:
      | nodes | ranges |
      | 7     | 95     |
      | 24    | 95     |
      | 68    | 271    |
