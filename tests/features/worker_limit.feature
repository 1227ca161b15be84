Feature: The limit on its request rate that a worker names
  Only the decisions, on a fake clock.  The worker takes 90 ms for a request
  and has 18 slots.

  Background:
    Given a gate whose worker may name a limit

  # Guards against sending a worker more than the rate that it names (issue 36).
  Scenario Outline: the worker gets no more than it names, and not much less
    When 120 requests a second arrive for 3 s
    And the worker names the limit <limit>
    And 120 requests a second arrive for 12 s
    Then in no 4 s from the first answer with it on more than <most> requests started
    And in each 4 s of the end at least <least> requests started

    Examples:
      | limit | most | least |
      | 50.6  | 308  | 200   |
      | 29.7  | 183  | 116   |
      | 4     | 29   | 15    |
      | 0.3   | 6    | 1     |
      | 0     | 5    | 1     |

  Scenario: a limit that falls twice
    When the worker names the limit 60
    And 120 requests a second arrive for 3 s
    And the worker names the limit 30
    And 120 requests a second arrive for 3 s
    And the worker names the limit 10
    And 120 requests a second arrive for 8 s
    Then in no 4 s from the first answer with it on more than 65 requests started

  Scenario Outline: all is sent again soon after the worker names no limit any more
    When the worker names the limit <limit>
    And 120 requests a second arrive for 8 s
    And the worker names no limit
    And 120 requests a second arrive for 4 s
    And 120 requests a second arrive for 4 s
    Then in each 4 s of the end at least 470 requests started

    Examples:
      | limit |
      | 40    |
      | 0.3   |

  Scenario: a request that the limit leaves no time for is rejected at once
    When the worker names the limit 20
    And 120 requests a second arrive for 4 s
    Then each rejected request was rejected within 310 ms
    And the last of them was told the limit 20 and to return within 1010 ms

  Scenario: payments go before look-ups
    When the worker names the limit 30
    And 90 look-ups and 20 payments a second arrive for 8 s
    Then at least 95 of 100 payments started
    And some look-ups started

  Scenario Outline: an answer that was overtaken does not end or raise the limit
    When a request is answered with the limit 30
    And a request that was sent before that is answered with the limit <other>
    Then the limit is <limit> a second
    When a request is answered with the limit <other>
    Then the limit is <other> a second

    Examples:
      | other | limit |
      | 60    | 30    |
      | 10    | 10    |
      | none  | 30    |

  Scenario Outline: an invalid limit is logged once and changes nothing
    When a request is answered with the limit 30
    And 3 requests are answered with the headers <headers>
    Then the limit is 30 a second
    And "signal-refused" was logged once

    Examples:
      | headers                      |
      | nan                          |
      | -1                           |
      | inf                          |
      | 1e9999                       |
      | 12 twice                     |
      | fast                         |

  Scenario: the limit belongs to one instance of the worker
    When a request is answered with the limit 30
    And another instance of the worker reports
    Then the limit is none a second
    When a request that was sent before that is answered with the limit 30
    Then the limit is none a second

  # Guards against a restarted node that has forgotten the limit (issue 36).
  Scenario: a gate that has heard nothing of its worker believes other nodes
    When another node has heard the limit 30 of "worker#9"
    Then the limit is none a second
    When another node has heard the limit 30 of "worker#1"
    Then the limit is 30 a second
    When a request is answered with the limit none
    Then the limit is none a second
    When another node has heard the limit 30 of "worker#1"
    Then the limit is none a second

  # Guards against a restarted worker that gets nothing since the one before,
  # which had its id, said that it leaves.
  Scenario: that a worker leaves is believed of one instance only
    When another node has heard "worker#9" say that it leaves
    Then the worker is sent requests
    When another node has heard "worker#1" say that it leaves
    Then the worker is sent nothing
    When another instance of the worker reports
    And another node has heard "worker#1" say that it leaves
    Then the worker is sent requests

  # Guards against sending requests to a leaving worker after a restart of the
  # node: it said so to the new process first, and that counted as news.
  Scenario Outline: a worker that says that it leaves has said so <span> ms ago to another node
    When another node hears that the worker leaves, <span> ms before
    And the worker says in an answer that it leaves
    And that other node sends a request
    And 100 ms pass without a request
    Then the worker is sent <what>

    Examples:
      | span | what     |
      | 0    | requests |
      | 1600 | requests |
      | 1800 | nothing  |

  Scenario: the log of a limit is bounded
    When the worker names another limit in each answer for 5 s
    Then "worker-limit" was logged at most 6 times

  Scenario: a limit counts as a capacity for other nodes while it is heard of
    When 120 requests a second arrive for 1 s
    And the worker names the limit 50
    And 120 requests a second arrive for 2 s
    Then other nodes count between 4 and 5 usable slots of 18
    When 10000 ms pass without a request
    Then other nodes count between 18 and 18 usable slots of 18

  # Guards against other nodes that forget a limit when the node was restarted:
  # it has not heard its worker yet (issue 36).
  Scenario: a load report of a node that has not heard its worker says nothing of it
    Given another node has heard that the worker accepts 30 requests a second
    When its node reports its load
    Then the other node still knows the limit 30
    When a request is answered with the limit none
    And its node reports its load
    Then the other node still knows the limit none

  # A failure domain's workers come back cold while its requests wait for them.
  Scenario Outline: a worker that <turns cold> gets no more than it tolerates
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    When 60 requests a second arrive for 2 s
    Then at least 100 requests started
    When the worker <turns cold>
    And 60 requests a second arrive for 3 s
    Then within any second since, at most 8 requests started, and 10 in all
    And each rejected request was rejected within 510 ms

    Examples:
      | turns cold                                       |
      | reports that it is cold for 3100 ms              |
      | starts anew and reports to be cold for 3100 ms   |
      | cannot be reached                                |
      | says in a health check that it is cold for 3100 ms |
      | counts its reports anew and is cold for 3100 ms  |

  # Connections to a worker that came back are opened for many at the same time.
  Scenario: requests that wait for connections to a cold worker count when sent
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    When 60 requests a second arrive for 2 s
    And 1000 ms pass without requests
    And the worker reports that it is cold for 3100 ms
    And 40 requests are sent to it at once on new connections
    Then 8 of them reach it and 32 are refused unsent

  # What was sent before the declaration was not counted.
  Scenario: a warm-up is declared while requests are sent to a worker that turns cold
    When 60 requests a second arrive for 2 s
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    When the worker reports that it is cold for 3100 ms
    And 60 requests a second arrive for 2 s
    Then no request started until 900 ms after that

  # Guards against a burst beside what the process before has sent.
  Scenario: a node that restarts beside a cold worker sends nothing in its first second
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    And the process of the node restarts
    When 60 requests a second arrive for 1 s
    Then no request started within 1000 ms
    When the worker reports that it is cold for 3100 ms
    And 60 requests a second arrive for 2 s
    Then within any second since, at most 8 requests started, and 8 in all

  Scenario Outline: all is sent again when a worker is known to be warm
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    When the worker <turns cold>
    And the worker reports <count> times that it is warm
    And 60 requests a second arrive for 2 s
    Then <number> requests started

    Examples:
      | turns cold                                         | count | number       |
      | reports that it is cold for 2900 ms                | 1     | at least 100 |
      | cannot be reached                                  | 1     | at most 14   |
      | cannot be reached                                  | 2     | at least 100 |
      | says in a health check that it is cold for 2900 ms | 1     | at most 14   |
      | says in a health check that it is cold for 2900 ms | 2     | at least 100 |

  Scenario: workers of a service without a warm-up are sent all
    When the worker reports that it is cold for 2900 ms
    And 60 requests a second arrive for 2 s
    Then at least 100 requests started
    And other nodes count between 18 and 18 usable slots of 18

  Scenario: other nodes count less of a cold worker until it is warm
    Given the workers of its service take 6 requests a second for 3000 ms when cold
    When the worker reports that it is cold for 2900 ms
    Then other nodes count between 1 and 2 usable slots of 18
    And 2900 ms later they count 18 usable slots of 18

  Scenario: a manifest declares the warm-up, a later version something unknown
    When a manifest declares that workers of "s" are cold for 3.5 s and take 6 a second
    And a later version declares "unknown" beside it
    Then cold workers of "s" take 6 requests a second for 3500 ms
