Feature: A store that comes back from an older copy
  The store has forgotten its last writes and gives their revisions out again.
  The era that its answers name is raised by one each time.

  # Guards against a second owner by the word of the copy: a move was forgotten,
  # and a successor that had missed it won the write over the record before it.
  Scenario: nobody follows an owner that the copy does not know
    Given the script
      """
      stop-updates c; move 1 d; tick 8; put-back 3; tick 2; crash b; resume-updates c; tick 40; await-owners 300
      """
    Then the whole code passes on it

  # Guards against two owners, or none, in any order of failures.
  Scenario: random simulations with a store that comes back
    When 40 random simulations of 30 lines with a store that comes back are run
    Then no shard ever had two acting owners

  # Guards against two workers that hold the same keys, in any order of failures.
  Scenario: random simulations with a store that comes back and workers that report
    When 40 random simulations of 30 lines with a store that comes back and workers that report are run
    Then no shard ever had two acting owners

  # Guards against configurations that are dropped because their revisions are
  # lower than that of the one in force.
  Scenario: a later configuration comes into force under a lower revision
    Given a directory that knows generation 15 from revision 500
    When the store sends generation 16 with revision 430
    Then generation 16 is in force in the directory
    When the store sends generation 17 with revision 450
    Then generation 17 is in force in the directory
    When the store sends generation 16 with revision 455
    Then generation 17 is in force in the directory

  # Guards against nodes that flood the store because they can't watch it from
  # the revision that they know.
  Scenario Outline: a node that can't watch lists the store at a paced rate, <cause>
    Given a store of 4 ms a call at revision 430 whose history begins at <begin>
    And a watcher of it that knows revision 500
    When the watcher runs for 3 s
    Then it has made at most 12 calls

    Examples:
      | cause                      | begin |
      | the store came back        | 0     |
      | its history is always gone | 430   |

  # Guards against added routes that are not served, owners that are followed
  # while they live, and a fleet that floods the store.
  Scenario: the routes and owners of a fleet through a store that comes back
    Given reporting workers of the sharded service "portal" and of the service "docs"
      | node  | domain | service |
      | p1    | a      | portal  |
      | p2    | b      | portal  |
      | p3    | c      | portal  |
      | p4    | a      | portal  |
      | p5    | b      | portal  |
      | d1    | a      | docs    |
      | d2    | b      | docs    |
    And the calls of the store since its start are counted
    When the operator writes 6 versions of the manifest within 2 s
    And keys are requested at each node while the store comes back from a copy of 3 s ago
    And the operator writes a version with an added route
    Then each node serves the added route within 2000 ms
    And every request for a key was served
    And 4 s after the store came back its calls are at most 3 times those of the start

  # Guards against keys without an owner: the takeover of a lost node's keys was
  # forgotten.
  Scenario: the keys of a node that was killed just before the store comes back
    Given reporting workers of the sharded service "portal" and of the service "docs"
      | node  | domain | service |
      | p1    | a      | portal  |
      | p2    | b      | portal  |
      | p3    | c      | portal  |
      | p4    | a      | portal  |
      | p5    | b      | portal  |
      | d1    | a      | docs    |
    When the process of node "p3" is killed
    And the store comes back from a copy of 3 s ago
    Then every key of "portal" is served at "p1" within 5 s

  # Guards against nodes that never join: the store has forgotten their record.
  Scenario: a node whose join is forgotten serves on
    Given reporting workers of the sharded service "portal" and of the service "docs"
      | node  | domain | service |
      | p1    | a      | portal  |
      | p2    | b      | portal  |
      | p3    | c      | portal  |
      | p4    | a      | portal  |
      | d1    | a      | docs    |
    When the process of node "p3" is killed and started again, and is ready
    And the store comes back from a copy of 3 s ago
    Then every key of "portal" is served at "p1" within 5 s
    And the store has the records of all nodes as they are within 10 s

  # Guards against seeds that failed while the rules for a new era were made.
  Scenario Outline: scripts of random simulations that failed
    Given the script
      """
      <script>
      """
    Then the whole code passes on it
    And the whole code with workers that report passes on it

    Examples:
      | script |
      | move 1 c; stop-updates b; tick 2; move 1 b; tick 1; put-back 1; resume-updates b; await-owners 300 |
      | restart a; tick 8; put-back 9; restart e; restart d; await-owners 300; restart d; tick 1; put-back 11; put-back 9; restart c; tick 3; await-owners 300 |
      | split 0; tick 1; restart a; tick 37; move 0 d; tick 1; put-back 6; restart b; tick 4; store refused; crash e; tick 16; put-back 10; store up; tick 24; restart e; await-owners 300 |
      | stop-updates b; move 0 d; tick 6; store down; crash a; tick 50; put-back 1; store up; tick 2; resume-updates b; tick 200 |
      | stop-updates b; move 0 d; tick 6; store down; crash a; tick 52; put-back 1; store up; tick 2; resume-updates b; tick 200 |
      | stop-updates b; stop-updates c; witnesses d 1; tick 40; move 0 d; tick 40; stop-updates d; refuse d; put-back 6; restart a; restart e; resume-updates b; resume-updates c; tick 130 |
      | stop-updates b; stop-updates c; stop-updates e; restart d; tick 60; move 0 d; tick 40; stop-updates d; refuse d; crash a; put-back 20; tick 2; resume-updates b; resume-updates c; resume-updates e; tick 300 |
      | restart c; restart a; tick 38; tick 23; put-back 6; restart b; await-owners 300 |
      | crash a; put-back 11; cut b all; tick 36; restart a; heal b; await-owners 300; put-back 10; stop-updates b; restart a; tick 36; resume-updates b; await-owners 300 |

  # Guards against keys without an owner because one living node can't confirm
  # the era: the store turns it away.
  Scenario: keys get an owner although the store turns a living node away
    Given the script
      """
      refuse e; put-back 1; tick 20; crash a; await-owners 400
      """
    Then the whole code passes on it

  Scenario Outline: a missing safeguard is detected, <safeguard>
    Given the script
      """
      <script>
      """
    Then the code without "<safeguard>" fails on it with "<error>"
    And the whole code passes on it

    Examples:
      | safeguard                                | error                  | script |
      | the wait for all nodes to confirm an era | TwoActingOwnersError   | crash a; put-back 11; cut b all; tick 36; restart a; heal b; await-owners 300; put-back 10; stop-updates b; tick 1; restart a; restart c; tick 60 |
      | the writing back of forgotten records    | TwoActingOwnersError   | crash a; put-back 11; cut b all; tick 36; restart a; heal b; await-owners 300; put-back 10; stop-updates b; restart a; tick 100 |
      | the memory of nodes that are turned away | TwoActingOwnersError   | stop-updates b; stop-updates c; witnesses d 1; tick 40; move 0 d; tick 40; stop-updates d; refuse d; put-back 6; restart a; restart e; resume-updates b; resume-updates c; tick 130 |
      | the memory of undecided writes           | TwoActingOwnersError   | store late; move 1 d; tick 3; store up; put-back 1; tick 60; stop-updates b; apply-late; tick 10 |
      | the epochs of its own in each era        | TokenNotIncreasedError | stop-updates b; move 0 d; tick 9; put-back 1; tick 2; crash a; crash b; crash c; crash d; crash e; tick 2; restart a; restart b; restart c; restart d; restart e; await-owners 300 |

  # Guards against a fleet that floods the store when it comes back.
  Scenario Outline: the store calls of <size> nodes that write back what it has forgotten
    Given <size> simulated nodes that have joined and own 3 shards each
    When the store comes back without the last <forgotten> writes
    And the nodes review the new era for 4000 ms
    Then all of them have confirmed the era, and the store has all records again
    And that took at most 3 times the calls of their start

    Examples:
      | size | forgotten |
      | 12   | 30        |
      | 80   | 200       |
      | 195  | 500       |

  # Guards against takeovers that wait for a living node which the store turns
  # away: others ask it over links, and confirm the era for it.
  Scenario Outline: <size> nodes confirm an era for one that the store turns away
    Given <size> simulated nodes that have joined and own 3 shards each
    And the store turns node 4 away
    When the store comes back without the last <forgotten> writes
    And the nodes watch the store and review the new era for 6000 ms
    Then all of them have confirmed the era, and the store has all records again
    And that took at most 3 times the calls of their start

    Examples:
      | size | forgotten |
      | 12   | 40        |
      | 80   | 200       |

  # Guards against a takeover that is lost for good: a peer that remembers it
  # tells it after the list of the store was read.
  Scenario: a record that a peer remembers is one that the store has forgotten
    Given a directory that has listed shard 1 with epoch 1 in era 2
    When a peer tells shard 1 with epoch 2 of era 1
    Then shard 1 is one that the store has forgotten

  # Guards against keys without an owner for good: the owners had ended, and a
  # fleet in which nothing changes did not see that the time of an era was over.
  Scenario: a calm node looks at its shards again once an era is settled
    Given a node of era 3 of the store, and a shard whose owner has ended
    When 1500 ms pass in which nothing is told
    Then the node is told to look at its shards again, and writes that shard

  # Guards against a node that floods the store: its record is of a form that it
  # does not know, so that each of its writes meets a conflict.
  Scenario: a node whose record is of unknown form makes few calls
    Given 12 simulated nodes that have joined and own 3 shards each
    When the record of node 4 is replaced by one of unknown form
    Then a change of its record by node 4 is refused after at most 20 calls

  # Guards against an incarnation that is given out again: the first answers that
  # a new process gets don't name the era.
  Scenario: a node that learns the era by its own write joins with a number of it
    Given a store in era 2 that names its era only in answers to writes
    When a node joins
    Then its incarnation is one of era 2

  # Guards against keys with two owners: late news of a split reach one node after
  # the store has forgotten it, and all who knew it have joined anew.
  Scenario: late news of a forgotten split give nobody its keys
    Given the script
      """
      split 1; tick 18; put-back 11; restart b; restart d; restart e; replay-updates d; await-owners 300
      """
    Then the whole code with workers that report passes on it
