Feature: Joining, ending and losing nodes
  Scripts run in the simulated fleet of ownership.feature; no process starts.

  Scenario: a join whose response was lost is not repeated
    Given a store that loses the response to a write
    When the node "a" joins, and again with the same mark once the store answers
    Then it has incarnation 1

  Scenario: of two processes with the same node id the older ends
    Given the script
      """
      tick 4; duplicate a; tick 4
      """
    When the script is run
    Then no process runs on "a"

  Scenario: a proved end is recorded in the store by one node
    Given the script
      """
      crash a; tick 200
      """
    When the script is run
    Then the end of "a#1" was recorded once in the store
    And no node keeps a seal of "a#1"

  Scenario: the lease of an ended incarnation is never renewed
    Given the script
      """
      cut a all; stop-updates a; tick 100; drop-held; heal a; tick 1
      """
    When the script is run
    Then the node on "a" holds no lease

  Scenario: the shards of a node lost with its witnesses wait for an operator
    Given the script
      """
      crash a; crash d; crash e; tick 80
      """
    When the script is run
    Then the shard 0 has no owner
    When the loss of "a", "d" and "e" is confirmed
    Then the shard 0 has an owner

  Scenario: nodes lost with their witnesses recover by themselves on return
    Given the script
      """
      crash a; crash d; crash e; tick 20; restart d; restart e; await-owners 300
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: all nodes restart at once
    Given the script
      """
      crash a; crash b; crash c; crash d; crash e; tick 20
      restart a; restart b; restart c; restart d; restart e; await-owners 300
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a node whose witnesses stay lost rejoins with other witnesses
    Given the script
      """
      crash d; crash e; crash c; tick 200
      """
    When the script is run
    Then the node on "a" holds a lease
    And the node on "b" holds a lease

  Scenario: a record of unknown format is ignored
    Given the script
      """
      corrupt 0; tick 20
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a join waits for the store while other nodes continue
    Given the script
      """
      crash e; store down; tick 40; restart e; tick 4
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a node with its cached record changes it by one conditional write
    Given a node that has cached its record
    When it records that it is leaving
    Then the store was read 0 and written 1 times
    And its record says that it is leaving

  Scenario: a record changed by another writer is read and changed again
    Given a node that has cached its record
    And another writer has changed the record since
    When it records that it is leaving
    Then the store was read 1 and written 2 times
    And its record says that it is leaving

  # Guards against a lease with an empty witness set, on which all checks fail.
  Scenario Outline: a leaving node beside <others> other nodes keeps its lease
    Given a node that renews its lease beside <others> other nodes
    When it records that it is leaving and reviews its witnesses
    Then it holds its lease as its only witness

    Examples:
      | others |
      | 0      |
      | 1      |

  # Guards against rolling restarts that are faster than changes of witnesses.
  Scenario: a change of witnesses does not wait for a witness that has ended
    Given a node that renews its lease beside 3 other nodes
    When one of its witnesses ends and the replacement does not answer
    Then the change of its witnesses is pending
    When the replacement ends too
    Then the change of its witnesses is complete and it holds its lease

  # Guards against shards that wait for the recorded end of an incarnation
  # although its node has rejoined.
  Scenario Outline: a node that has rejoined beside a worker that <worker>
    Given a node that has rejoined beside a worker that <worker>
    When it records its first witnesses
    Then the store was read 0 and written 1 times
    And its record says that <serves> and lists the open incarnations <open>

    Examples:
      | worker           | serves            | open  |
      | holds nothing    | it serves         | 2     |
      | may hold keys    | it serves         | 1 2   |
      | has not reported | it does not serve | 1 2   |
