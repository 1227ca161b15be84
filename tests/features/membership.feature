Feature: Joining, ending and losing nodes
  The same small world as for ownership; nothing waits and no process starts.

  Scenario: a join whose answer was lost is not repeated
    Given a store that loses the answer to a write
    When the node "a" joins, and again with the same mark once the store answers
    Then it has incarnation 1

  Scenario: the older of two processes with one id ends
    Given the script
      """
      tick 4; twin a; tick 4
      """
    When the script is run
    Then no process runs on "a"

  Scenario: a proved end is written to the store by one node
    Given the script
      """
      crash a; tick 200
      """
    When the script is run
    Then the store says that "a#1" has ended, written once
    And no node keeps a seal of "a#1"

  Scenario: an ended incarnation is never renewed again
    Given the script
      """
      cut a all; deaf a; tick 100; lose; heal a; tick 1
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

  Scenario: nodes that were lost with their witnesses and come back need nobody
    Given the script
      """
      crash a; crash d; crash e; tick 20; restart d; restart e; owned 300
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: all nodes restart at once
    Given the script
      """
      crash a; crash b; crash c; crash d; crash e; tick 20
      restart a; restart b; restart c; restart d; restart e; owned 300
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a node whose witnesses stay away joins anew with others
    Given the script
      """
      crash d; crash e; crash c; tick 200
      """
    When the script is run
    Then the node on "a" holds a lease
    And the node on "b" holds a lease

  Scenario: a record of unknown form changes nothing
    Given the script
      """
      spoil 0; tick 20
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a join waits for the store, and the others go on
    Given the script
      """
      crash e; store down; tick 40; restart e; tick 4
      """
    When the script is run
    Then the shard 0 has an owner

  Scenario: a node's record is changed by one call over the version it knows
    Given a node whose record is known
    When it records that it leaves
    Then the store was read 0 and written 1 times
    And its record says that it leaves

  Scenario: a record that was changed by another is read and changed again
    Given a node whose record is known
    And the record was changed since
    When it records that it leaves
    Then the store was read 1 and written 2 times
    And its record says that it leaves

  # Guards against a lease of no witnesses, whose every look at it fails.
  Scenario Outline: a node that leaves where <others> others are keeps a lease
    Given a node that renews its lease where <others> others are
    When it records that it leaves and reviews its witnesses
    Then it holds its lease by itself

    Examples:
      | others |
      | 0      |
      | 1      |

  # Guards against restarts in turn that overtake changes of witnesses.
  Scenario: a change of witnesses does not wait for one that has ended
    Given a node that renews its lease where 3 others are
    When one of its witnesses ends and the one to follow does not answer
    Then the change of its witnesses waits
    When that one ends too
    Then the change of its witnesses is complete and it holds its lease

  # Guards against shards that wait for the ends of nodes that are back.
  Scenario Outline: a node that is back beside a worker that <worker>
    Given a node that has joined again beside a worker that <worker>
    When it records its first witnesses
    Then the store was read 0 and written 1 times
    And its record says that <serves> and that the incarnations <open> go on

    Examples:
      | worker           | serves          | open  |
      | holds nothing    | it serves       | 2     |
      | may hold keys    | it serves       | 1 2   |
      | has not reported | it serves not   | 1 2   |
