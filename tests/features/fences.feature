Feature: Which fencing tokens lives of workers may have
  A life of a worker may take a key only under a token above all under which
  other lives of any worker had it.

  Scenario Outline: what counts as a token that has not risen, <what>
    Given lives of workers that take <earlier>
    When a life takes <later>
    Then the check finds <found>

    Examples:
      | what                             | earlier                       | later     | found                                                        |
      | a higher token                   | a#1 0-9 8                     | a#2 0-9 9 | nothing                                                      |
      | the same one, in another life    | a#1 0-9 8                     | a#2 0-9 8 | key 0 went to a#2 with fence 8; a#1 had it with fence 8      |
      | a lower one, of another worker   | a#1 0-9 8                     | b#1 0-9 7 | key 0 went to b#1 with fence 7; a#1 had it with fence 8      |
      | the same one, in the same life   | a#1 0-9 8                     | a#1 0-9 8 | nothing                                                      |
      | its own one, after another life  | a#1 0-9 8; b#1 0-9 9          | a#1 0-9 8 | key 0 went to a#1 with fence 8; b#1 had it with fence 9      |
      | one key of a range               | a#1 3-3 8                     | b#1 0-9 8 | key 3 went to b#1 with fence 8; a#1 had it with fence 8      |
      | keys beside the range            | a#1 3-3 8                     | b#1 4-9 8 | nothing                                                      |
      | the highest of others, not last  | a#1 0-9 8; b#1 0-9 9          | b#1 5-5 9 | nothing                                                      |
      | the highest of several others   | a#1 0-9 8; b#1 0-9 9; c#1 0-9 10 | c#1 0-9 10 | nothing |
      | one of several others            | a#1 0-9 8; b#1 0-9 9; c#1 0-9 10 | b#1 0-9 9 | key 0 went to b#1 with fence 9; c#1 had it with fence 10 |

  Scenario Outline: a missing safeguard is detected, <safeguard>
    Given the script
      """
      await-holders 100; <script>
      """
    Then the code without "<safeguard>" fails with "<error>" on lives of workers
    And the whole code passes on it with lives of workers

    Examples:
      | safeguard                          | error                  | script |
      | the memory of earlier instances    | TokenNotIncreasedError | restart-worker a; tick 30 |
      | the memory of earlier instances    | TokenNotIncreasedError | step-clock a -3000; restart-worker a; tick 200 |
      | the memory of earlier instances    | TokenNotIncreasedError | reports a late; tick 60; replace-worker a; reports a up; tick 2; deliver-reports a reversed; tick 40 |
      | the higher token of a new instance | TokenNotIncreasedError | restart-worker a; tick 30 |
      | the write for a required token     | NoHolderError          | restart-worker a; await-holders 200 |
      | the write of a new incarnation     | TokenNotIncreasedError | crash-vm a; tick 20; start-vm a; await-holders 400 |
      | the epochs of its own in each era  | TokenNotIncreasedError | crash-vm all; put-back 500; tick 20; start-vm all; await-holders 400 |
      | the epochs of its own in each era  | TokenNotIncreasedError | stop-updates b; move 0 d; tick 60; put-back 1; tick 2; crash-vm all; tick 2; start-vm all; await-holders 400 |
      | the epochs of split-off shards     | TokenNotIncreasedError | move 0 d; tick 60; split 0 e; tick 80; await-holders 200 |
      | the floor                          | TwoActingOwnersError   | stop-updates c; move 1 d; tick 40; crash-vm b; tick 100 |

  # Guards against keys with two owners: the store had forgotten that a range was
  # split off, and had the record of the new shard, or got it late.
  Scenario Outline: a range that was split off stays so beside an older record of its shard
    Given the script
      """
      <script>
      """
    Then the code without "<safeguard>" fails with "TwoActingOwnersError" on lives of workers
    And the whole code passes on it with lives of workers

    Examples:
      | safeguard                         | script |
      | the listing of lost splits        | restart c; restart e; tick 8; stop-updates a; cut a all; tick 40; restart e; put-back 2; tick 7; restart b; restart c; heal e; await-holders 400; split 0; tick 20; crash e; put-back 10; tick 4; restart a; restart c; tick 16; put-back 11; heal a; await-owners 300; await-holders 400 |
      | the wait for a split to be listed | await-holders 100; split 0 e; tick 14; store late; tick 3; crash-vm all; store up; put-back 1; start-vm all; await-holders 400; tick 1; stop-updates a; apply-late; tick 60; resume-updates a; await-owners 300; await-holders 400 |
      | both safeguards against late news | split 1; tick 18; put-back 2; restart b; restart d; restart e; replay-updates d; tick 42; stop-updates d; stop-updates b; tick 60; resume-updates d; resume-updates b; await-owners 300; await-holders 400 |

  # Guards against an old token for keys of a split-off shard: the store had
  # forgotten the split, and the shard that had the keys again got higher ones.
  Scenario Outline: a range that is split off again begins above what its keys had, <how>
    Given the script
      """
      <script>
      """
    Then the code without "<safeguard>" fails with "TokenNotIncreasedError" on lives of workers
    And the whole code passes on it with lives of workers

    Examples:
      | how                     | safeguard                         | script |
      | its creation came late  | the write after a second split    | await-holders 100; stop-updates b; stop-updates c; stop-updates d; stop-updates e; split 0 e; tick 14; store late; tick 3; crash-vm a; store up; put-back 1; tick 1; resume-updates b; resume-updates c; resume-updates d; resume-updates e; await-holders 800; tick 40; apply-late; tick 100; await-owners 300; await-holders 600 |
      | its owner was cut off   | the epoch of the listing record   | await-holders 100; split 0 e; tick 40; cut e all; refuse e; crash-vm a; crash-vm b; crash-vm c; crash-vm d; put-back 2; start-vm a; start-vm b; start-vm c; start-vm d; await-holders 800; move 0 a; tick 60; move 0 b; tick 60; heal e; admit e; tick 60; await-owners 300; await-holders 600 |
      | everything was lost     | the epoch of the listing record   | await-holders 100; split 0 e; tick 14; store late; tick 3; crash-vm all; store up; put-back 1; start-vm all; await-holders 400; tick 1; move 0 a; tick 60; move 0 b; tick 60; apply-late; tick 60; await-owners 300; await-holders 400 |

  # Guards against two workers that hold a key: the worker's clock was set back,
  # and a report of the ended life, held up, took its grants away from the next.
  Scenario Outline: a report of an ended life with a later start changes nothing
    Given the script
      """
      await-holders 100; reports a late; tick 30; step-clock a -20000; restart-worker a; reports a up; restart a; await-holders 600; tick <ticks>; move 0 a; tick 100; await-holders 300; deliver-reports a in-order; move 0 d; tick 100; await-owners 300; await-holders 600
      """
    Then the whole code passes on it with lives of workers

    Examples:
      | ticks |
      | 300   |
      | 305   |
      | 320   |

  # Guards against two workers that hold a key: the process of a node that had
  # just started heard a late report without keys, and recorded its earlier
  # incarnations as ended while the worker had their grants.
  Scenario Outline: late reports prove nothing to a process that has just started, <which>
    Given the script
      """
      await-holders 100; reports a late; restart-worker a; tick <ticks>; reports a up; await-holders 200; tick 4; reports a lost; restart a; deliver-reports a in-order; tick 60; reports a up; await-holders 400
      """
    Then the code without "the proof that a report is new" fails with "TwoHoldersError" on lives of workers
    And the whole code passes on it with lives of workers

    Examples:
      | which           | ticks |
      | a single report | 8     |
      | two of them     | 28    |

  # Guards against a key that two lives of workers, or two workers, have under one
  # fencing token, in any order of failures.
  Scenario: random simulations with workers that die and start again
    When 16 random simulations of 30 lines with workers that die and start again are run
    Then no shard ever had two acting owners
