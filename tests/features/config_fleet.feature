Feature: Decisions of a simulated fleet about its configuration
  The classes of the product run over a simulated clock, network and store.  A
  seed draws the fleet, its load, the changes of the operator and the troubles;
  each decision of each door is judged.  python -m tests.config_fleet runs more.

  # Guards against requests that are handled by a configuration that was replaced,
  # an older or an invalid one, and against routes that are not served.
  Scenario Outline: no decision breaks a rule: <nodes> nodes, <seeds> seeds from <first> on
    When fleets of <nodes> nodes are simulated with <seeds> seeds from <first> on
    Then no rule is broken

    Examples:
      | nodes | first | seeds |
      | 3     | 200   | 6     |
      | 10    | 300   | 4     |
      | 80    | 400   | 1     |

  # Guards against doors that go by what they knew seconds ago because those that
  # could tell them better take longer than usual to answer.
  Scenario Outline: no door of a loaded fleet decides by an old proof: seed <seed>
    When fleets of <nodes> nodes are simulated with 1 seed from <seed> on
    Then no rule is broken

    Examples:
      | nodes | seed |
      | 4     | 40   |
      | 10    | 3    |

  # Guards against load that is taken for an outage: turns later than the time for
  # which a door waits, a large fleet, a store whose rate is used up.
  Scenario Outline: no door of a drowned fleet decides by an old proof: seed <seed>
    When a fleet is simulated with the options "--seed <seed> <options>"
    Then no rule is broken

    Examples: turns that are late by 500 ms
      | seed   | options         |
      | 700009 | --nodes 30 80   |
      | 700011 | --nodes 30 80   |
      | 700029 | --nodes 30 80   |
      | 5033   | --nodes 3 4 5 8 10 |

    Examples: turns that are late by 800 and 1500 ms
      | seed   | options                                        |
      | 900000 | --nodes 10 30 80 --late-loops-ms 500 800 1500  |
      | 900026 | --nodes 10 30 80 --late-loops-ms 500 800 1500  |
      | 900045 | --nodes 10 30 80 --late-loops-ms 500 800 1500  |

    Examples: a store with a rate
      | seed   | options                                                     |
      | 920007 | --nodes 10 30 --late-loops-ms 0 20 100 --reads-per-s 0.3 1 3 |
      | 920013 | --nodes 10 30 --late-loops-ms 0 20 100 --reads-per-s 0.3 1 3 |

  Scenario Outline: a missing safeguard is detected: <safeguard>
    When fleets of 5 nodes are simulated with 1 seed from <seed> on, without "<safeguard>"
    Then the broken rule is "<rule>"

    Examples:
      | safeguard                              | seed | rule                                                 |
      | the renewal of a proof                 | 24   | a request was decided by an old proof                |
      | the look at the store before a refusal | 24   | a request was decided by an old proof                |
      | the order of generations               | 11   | a process went back to an earlier configuration      |
      | the weights                            | 6    | services got other shares than their weights         |

  # Guards against load that is taken for an outage: these hold it off.
  Scenario Outline: a safeguard that a drowned fleet lacks is detected: <safeguard>
    When a fleet without "<safeguard>" is simulated with the options "<options>"
    Then the broken rule is "a request was decided by an old proof"

    Examples:
      | safeguard                 | options                                                                    |
      | the limit of an old proof | --seed 900026 --nodes 10 30 80 --late-loops-ms 500 800 1500                |
      | 429 as no outage          | --seed 920007 --nodes 10 30 --late-loops-ms 0 20 100 --reads-per-s 0.3 1 3 |
