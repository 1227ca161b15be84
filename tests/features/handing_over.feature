Feature: Handing all shards over at a planned stop

  Scenario Outline: without the store a stop waits only for the worker
    Given a node whose store <answers> and whose worker lets go after <release> ms
    When it hands all shards over with 5000 ms of patience
    Then it waited for <wait> ms

    Examples:
      | answers        | release | wait |
      | does not answer | 900    | 900  |
      | does not answer | 3000   | 3000 |
      | does not answer | 9000   | 5000 |
      | answers         | 900    | 2500 |

  # Guards against two workers that hold the same keys: a shard that had to be
  # won after all was written over to the lost owner while this worker held it.
  Scenario: a shard is given back once the worker has let it go
    Given a node whose store answers and whose worker lets go after 300 ms
    And it is to give a shard back that it must win a write for
    When it writes what is wanted
    Then the shard was written after 300 ms

  # Guards against the same: the record of a move may be written although the
  # lease ended first.
  Scenario Outline: a shard whose move ends is given to the worker again or not
    Given a node whose store answers and whose worker lets go after 0 ms
    When a write of a shard ends as "<progress>"
    Then the worker may get the shard again: <again>

    Examples:
      | progress  | again |
      | NOT_SENT  | yes   |
      | ABANDONED | no    |

  # Guards against a hot shard that is closed again and again by moves and
  # splits that a node can't record.
  Scenario Outline: a <change> is not begun while the store was silent and is
    Given a node whose store does not answer and whose worker lets go after 300 ms
    When a <change> of a shard is carried out
    Then the worker was not asked to let it go

    Examples:
      | change |
      | move   |
      | split  |
