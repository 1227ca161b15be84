Feature: A short soak of real processes under faults
  Each seed gives other random requests and faults. A seed that has ever failed
  stays in the list, with the cause. `python -m tests.soak` runs longer soaks.

  Scenario Outline: <nodes> nodes for <seconds> s with seed <seed>, <why>
    When a soak of <nodes> nodes runs for <seconds> s with seed <seed>
    Then the soak found no violations

    Examples:
      | seed | nodes | seconds | why                                       |
      | 1    | 4     | 20      | the first seed                            |
      | 3    | 4     | 20      | a reset after the last byte of an answer  |

  Scenario Outline: workers that name limits and leave, seed <seed>, <why>
    When a soak of 4 nodes runs for <seconds> s with seed <seed> and workers that name limits and leave
    Then the soak found no violations

    Examples:
      | seed | seconds | why                                              |
      | 11   | 30      | a worker that came back under the id of a leaver |

  Scenario Outline: all faults, seed <seed>, <why>
    When a soak of 4 nodes runs for <seconds> s with seed <seed> and all faults
    Then the soak found no violations

    Examples:
      | seed | seconds | why                                               |
      | 2010 | 30      | shards that nobody claimed after a loss of power  |
      | 6019 | 20      | a door that listened for long before it served    |

  Scenario Outline: routes that change beside <others>, seed <seed>, <why>
    When a soak of 4 nodes runs for <seconds> s with seed <seed> and changes of routes beside <others>
    Then the soak found no violations

    Examples:
      | seed | seconds | others       | why            |
      | 1    | 15      | nothing else | the first seed |

  # Guards against nodes that take each other's word for proof that they have the
  # latest configuration, while none of them hears of a later one.
  Scenario: a route that moves while the watches of all nodes bring nothing
    Given a soak of 4 nodes whose watches of the store bring nothing
    When a route moves to another service, and 2 s pass
    Then no door sends its requests to the former service

  # Guards against rules that can't fail, or that blame what is allowed.
  Scenario Outline: what was handled by another configuration is found, <what>
    Given a node, a manifest, a second one at 5000 ms that moves "moved" from docs to portal and adds "added-2", and an invalid one at 6000 ms with "bad"
    When it decides <decisions>
    Then the soak finds: <found>

    Examples:
      | what                           | decisions                                                     | found                                             |
      | within 2 s                     | moved:docs@6900 added-2:none@6900                             | nothing                                           |
      | the former service             | moved:docs@7100                                               | a request was handled by a replaced configuration |
      | a route that was added         | added-2:none@7100                                             | a request was handled by a replaced configuration |
      | by the latest                  | moved:portal@7100 added-2:docs@7100                           | nothing                                           |
      | back within 250 ms             | moved:portal@6000 moved:docs@6200                             | nothing                                           |
      | back after 250 ms              | moved:portal@6000 moved:docs@6300                             | a process went back to an earlier configuration   |
      | by an invalid one              | bad:docs@6500                                                 | a request was handled by an invalid configuration |
      | an invalid one's route, denied | bad:none@6500                                                 | nothing                                           |
      | added routes, a fifth          | 20*moved:portal@8000 4*added-2:docs@8000 16*added-2:busy@8000 | added routes were served less than the first ones |
      | added routes, a quarter        | 20*moved:portal@8000 5*added-2:docs@8000 15*added-2:busy@8000 | nothing                                           |
      | too few added                  | 20*moved:portal@8000 19*added-2:busy@8000                     | nothing                                           |
      | weights, 0.25 off              | 150*split:docs@9000 50*split:portal@9000                      | services got other shares than their weights      |
      | weights, 0.2 off               | 140*split:docs@9000 60*split:portal@9000                      | nothing                                           |
      | too few by weight              | 199*split:docs@9000                                           | nothing                                           |

  Scenario: a long request does not keep a stopping node from closing its door
    Given a soak of 4 nodes whose requests may last 10 s
    When requests of 8 s run at "n2" and the node is stopped
    Then the soak found no violations

  Scenario Outline: keys that two workers held at one time are found
    Given the worker "n1" held the keys 0 to 63 from 100 to 900 ms
    And the worker "<other>" held the keys 40 to 99 from <since> to 1500 ms
    And the worker "n1" was killed at <killed> ms
    Then <found> keys are found that two workers held at one time

    Examples:
      | other | since | killed | found |
      | n2    | 800   | 2000   | 1     |
      | n2    | 900   | 2000   | 0     |
      | n2    | 800   | 800    | 0     |
      | n1    | 800   | 2000   | 0     |

  # Guards against a rule that misses a key which two lives had under one token.
  Scenario Outline: keys that a life of a worker took under an old token are found, <what>
    Given the worker "n1" held the keys 0 to 63 under token 8 from 100 to 900 ms
    And the worker "<worker>" held the keys 40 to 99 under token <token> from <since> to <until> ms
    Then <found> keys are found whose token had not risen for a new life

    Examples:
      | what                             | worker | token | since | until | found |
      | the next life, the same token    | n1     | 8     | 1000  | 1500  | 1     |
      | the next life, a higher token    | n1     | 9     | 1000  | 1500  | 0     |
      | another worker, the same token   | n2     | 8     | 1000  | 1500  | 1     |
      | another worker, a lower token    | n2     | 7     | 1000  | 1500  | 1     |
      | another worker, a higher token   | n2     | 9     | 1000  | 1500  | 0     |
      | an earlier life, a higher token  | n2     | 9     | 10    | 50    | 1     |

  # Guards against a rule that counts what was told to a process that is gone.
  Scenario Outline: requests that a leaving worker got too late are found, <what>
    Given a worker that says from 100 to 9000 ms that it leaves
    And its node was started at <starts> ms
    And it ran requests that were sent at <sent> ms
    Then <found> requests are found that it got too late

    Examples:
      | what                        | starts | sent           | found |
      | soon after it was told      | 0      | 200 1500       | 0     |
      | long after it was told      | 0      | 200 3000       | 1     |
      | the first of a new process  | 0 1000 | 200 3000       | 0     |
      | a later one of that process | 0 1000 | 200 3000 6000  | 1     |

  # Guards against a rule that can't fail, or that blames a node for its pause.
  Scenario Outline: requests that were held past their timeout are found, <what>
    Given a timeout that was shortened to 1000 ms at <changed> ms
    And a node that served from <served> ms and was paused until <resumed> ms
    And <held> requests sent to it slowly at 10000 ms that ended <late> ms after the timeout
    And <others> requests sent to it slowly at 10000 ms that ended 100 ms after the timeout
    And <whole> requests sent to it at once at 10000 ms that ended 100 ms after the timeout
    Then the soak finds that <found> held

    Examples:
      | what                          | changed | served | resumed | held | late | others | whole | found     |
      | over a quarter                | 5000    | 1000   | 5000    | 8    | 600  | 23     | 0     | some were |
      | a quarter                     | 5000    | 1000   | 5000    | 8    | 600  | 24     | 0     | none were |
      | over a quarter of one kind    | 5000    | 1000   | 5000    | 8    | 600  | 23     | 90    | some were |
      | less than eight               | 5000    | 1000   | 5000    | 7    | 600  | 0      | 0     | none were |
      | within half a second          | 5000    | 1000   | 5000    | 8    | 500  | 0      | 0     | none were |
      | a single one for long         | 5000    | 1000   | 5000    | 1    | 2100 | 0      | 90    | one was   |
      | a pause within 3 s before     | 5000    | 1000   | 7100    | 8    | 600  | 0      | 0     | none were |
      | a pause more than 3 s before  | 5000    | 1000   | 6900    | 8    | 600  | 0      | 0     | some were |
      | a change within 2 s before    | 8100    | 1000   | 5000    | 8    | 600  | 0      | 0     | none were |
      | a change more than 2 s before | 7900    | 1000   | 5000    | 8    | 600  | 0      | 0     | some were |
      | a start within 3 s before     | 5000    | 7100   | 5000    | 8    | 600  | 0      | 0     | none were |
      | a start more than 3 s before  | 5000    | 6900   | 5000    | 8    | 600  | 0      | 0     | some were |
