Feature: Handing over all shards at a planned stop

  Scenario Outline: without the store a stop waits only for the worker
    Given a node whose store <answers> and whose worker releases shards after <release> ms
    When it hands over all shards with a limit of 5000 ms
    Then it waited for <wait> ms

    Examples:
      | answers        | release | wait |
      | does not answer | 900    | 900  |
      | does not answer | 3000   | 3000 |
      | does not answer | 9000   | 5000 |
      | answers         | 900    | 2500 |

  # Guards against two workers that hold the same keys: a shard was given back
  # by the write of its record while the worker of this node still held it.
  Scenario: a shard is given back once the worker has released it
    Given a node whose store answers and whose worker releases shards after 300 ms
    And it must write a shard's record and give the shard back
    When it writes the records that are due
    Then the shard was written after 300 ms

  # Guards against two workers that hold the same keys: a split that the store
  # had forgotten was listed again while the worker still held the range.
  Scenario: keys are taken out of a shard once the worker has released it
    Given a node whose store answers and whose worker releases shards after 300 ms
    And it must write a shard's record that takes keys out of it
    When it writes the records that are due
    Then the shard was written after 300 ms

  # Guards against payments that are refused for ten minutes: a node that was
  # restarted got a shard back without the notes of earlier payments.
  Scenario: a shard is given back together with its notes
    Given a node whose store answers and whose worker releases shards after 0 ms
    And it must write a shard's record and give the shard back
    And the notes of the shard arrive at the other node
    When it writes the records that are due
    Then the notes of the shard were sent to the other node
    And the record that was written names the other node

  # Guards against a shard without an owner, while the node that it is to be
  # given back to can't be sent its notes.
  Scenario: a shard whose notes do not arrive is kept
    Given a node whose store answers and whose worker releases shards after 0 ms
    And it must write a shard's record and give the shard back
    And the notes of the shard do not arrive at the other node
    When it tries in vain to give the shard back
    And it writes the records that are due
    Then the notes of the shard were sent to the other node
    And the record that was written names its own node

  # Guards against two workers that hold the same keys: the record of a move may
  # be written although the lease ended first.
  Scenario Outline: a shard is granted to the worker again after a move or not
    Given a node whose store answers and whose worker releases shards after 0 ms
    When a write of a shard ends as "<progress>"
    Then the worker may hold the shard again: <again>

    Examples:
      | progress  | again |
      | NOT_SENT  | yes   |
      | ABANDONED | no    |

  # Guards against a hot shard that is closed again and again for moves and
  # splits that the node can't record.
  Scenario Outline: a <change> is not begun while the store is unreachable
    Given a node whose store does not answer and whose worker releases shards after 300 ms
    When a <change> of a shard is executed
    Then the shard was not withdrawn from the worker

    Examples:
      | change |
      | move   |
      | split  |

  # Guards against payments for split-off keys that are refused for ten minutes.
  Scenario: a part of a split shard is created after its notes were sent
    Given a node whose store answers and whose worker releases shards after 0 ms
    When it creates a part of a shard for another node
    Then the notes of the shard were sent for the part before it was written

  # Guards against a shard that is closed for good by a request that doesn't end.
  Scenario Outline: a <change> waits only a short time for requests
    Given a node whose store answers and whose worker releases shards after 0 ms
    And a request in a shard does not end
    When a <change> of a shard is begun, and <span> ms pass
    Then the write of the shard <ends>

    Examples:
      | change | span | ends        |
      | move   | 1400 | goes on     |
      | move   | 1600 | is given up |
      | split  | 1600 | is given up |

  # Guards against moves that a worker which leaves gets ever new requests between.
  Scenario: a move waits for the requests while the worker leaves
    Given a node whose store answers and whose worker releases shards after 0 ms
    And a request in a shard does not end
    And the worker of the node leaves
    When a move of a shard is begun, and 1600 ms pass
    Then the write of the shard goes on

  # Guards against a shard that is closed again as soon as it was opened.
  Scenario: a shard in which requests ran for too long stays open for some time
    Given a node whose store answers and whose worker releases shards after 0 ms
    And a request in a shard does not end
    When a move of a shard is begun, and 1600 ms pass
    Then it may be moved for its load: no
    When 10000 ms pass after that
    Then it may be moved for its load: yes
