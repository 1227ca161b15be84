Feature: One owner for each shard, whatever fails
  The real leases, witnesses, seals, records and writes run in a simulation with
  drifting clocks and a network and a store that fail.  After every step a check
  that sees all nodes at the same moment looks for two acting owners of a shard
  and for a fencing token that did not rise.

  Scenario: random simulations
    When 25 random simulations of 30 lines are run
    Then no shard ever had two acting owners

  Scenario Outline: a missing safeguard is detected, <safeguard>
    Given the script
      """
      <script>
      """
    Then the code without "<safeguard>" fails on it with "<error>"
    And the whole code passes on it

    Examples:
      | safeguard                           | error                | script |
      | the floor                           | TwoActingOwnersError | stop-updates c; move 1 d; tick 3; pause b; tick 36 |
      | the write before a takeover         | TwoActingOwnersError | stop-updates c; move 1 d; tick 3; pause b; tick 36 |
      | the wait for an unsettled move      | TwoActingOwnersError | store late; move 1 d; tick 3; pause b; store up; apply-late; tick 36 |
      | the memory of earlier attempts      | TwoActingOwnersError | store late; move 1 d; tick 3; store refused; tick 2; pause b; store up; apply-late; tick 36 |
      | the end of a move that was not sent | NoActingOwnerError   | store refused; move 1 d; tick 4; await-owners 20 |
      | the count of grants from sending    | TwoActingOwnersError | cut-to a all; tick 8; cut-from a all; heal-to a; tick 1; cut-to a all; tick 36 |
      | the new name of a restarted witness | TwoActingOwnersError | stop-updates b; cut b all; tick 40; restart d; restart e; heal b; tick 8 |
      | the joint majority                  | TwoActingOwnersError | witnesses b 3; cut b a; tick 40 |
      | the drop after a conflict           | TwoActingOwnersError | move 0 e; tick 8; store lose-answers; move 0 b; tick 3; pause e; store up; tick 4; move 0 d; resume e; tick 8 |
      | the reopening after a split         | NoActingOwnerError   | split 0; tick 8; await-owners 20 |
      | the automatic end of lost nodes     | NoActingOwnerError   | crash a; crash d; crash e; tick 20; restart d; restart e; await-owners 300 |

  # Guards against a shard that its owner holds and doesn't serve, although
  # nothing fails any more.
  Scenario: a shard that stays closed for two seconds is detected
    Given the script
      """
      store refused; move 1 d; tick 4; store up; tick 60
      """
    Then the code without "the reopening after a move that was not sent" fails on it with "UnservedShardError"
    And the whole code passes on it

  # Guards against two workers that hold the same keys: the end of a node's
  # incarnation was announced while its worker still held its grants.
  Scenario Outline: workers that report release shards before others get them
    Given the script
      """
      <script>
      """
    Then the code without "the wait for the worker" fails on it with workers that report
    And the whole code with workers that report passes on it

    Examples: witnesses of a node are restarted while its lease is held
      | script |
      | tick 48; crash d; crash e; tick 2; restart d; restart e; tick 100   |
      | tick 52; crash d; crash e; tick 20; restart d; restart e; tick 100  |
      | tick 52; crash a; crash d; tick 20; restart a; restart d; tick 100  |

  # Guards against keys without an owner: the end of an incarnation that waited
  # for its worker was never recorded.
  Scenario Outline: a shard gets an owner although the last one's end was delayed
    Given the script
      """
      tick 52; crash d; crash e; tick 20; restart d; restart e; <script>
      """
    Then the whole code with workers that report passes on it

    Examples:
      | script |
      | tick 5; store down; tick 20; store up; await-owners 300 |
      | tick 3; crash b; await-owners 300 |
      | tick 5; crash b; await-owners 300 |
      | tick 9; crash b; await-owners 300 |

  # Guards against both faults in any order of failures.
  Scenario: random simulations with workers that report
    When 60 random simulations of 30 lines with workers that report are run
    Then no shard ever had two acting owners
