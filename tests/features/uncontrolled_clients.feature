Feature: Callers that nobody controls do not end a node
  Many callers at once send what the limits allow, and most stop just short of
  its end and stay.  The node lives, within bounds, and serves others.

  # Guards against a process that runs out of memory or descriptors, or serves
  # nobody else, because of callers that stop before the end of a request.
  Scenario Outline: <count> callers with <what> leave room for others
    Given a node with 8 MB for bodies and 256 descriptors
    When <count> callers send <what>, and most stop just short of the end
    Then an ordinary request with a body is answered
    And the node runs with at most 40 MB more memory and 256 descriptors

    Examples:
      | count | what                                       |
      | 24    | bodies of 1048576 bytes                    |
      | 24    | bodies of 1048576 bytes in pieces          |
      | 160   | bodies of 65536 bytes in chunks of 65536   |
      | 60    | bodies of 64000 bytes in chunks of 2       |
      | 300   | heads of 8000 bytes                        |

  # The load: callers that stop short hold all memory when another one comes.
  Scenario Outline: <size> bytes <end> beside callers that stopped <stopped> ms ago
    Given memory for 500000 bytes, all held by callers that stopped <stopped> ms ago
    When a caller sends <size> bytes
    Then it is <end> and <evicted> others were evicted

    Examples:
      | size   | stopped | end      | evicted |
      | 1000   | 999     | refused  | 0       |
      | 1000   | 1000    | received | 1       |
      | 200000 | 1000    | received | 6       |
      | 437500 | 1000    | received | 10      |
      | 437501 | 1000    | refused  | 0       |

  # Guards against bodies for which the rest of the process leaves no memory.
  Scenario Outline: <size> bytes in a process that takes <other> of 1000000 bytes besides
    Given memory for 500000 bytes in a VM of 1000000 bytes, <held> held and <other> used otherwise
    When a caller sends <size> bytes
    Then it is <end> and 0 others were evicted

    Examples:
      | held   | other   | size   | end      |
      | 0      | 200000  | 400000 | received |
      | 0      | 600000  | 200000 | received |
      | 0      | 600000  | 400000 | refused  |
      | 200000 | 600000  | 150000 | refused  |
      | 0      | 1000000 | 1      | refused  |
      | 0      | -1      | 400000 | received |

  # The load: callers keep all connections open when another one comes.
  Scenario Outline: a connection beside others that have waited <waited> ms is <end>
    Given 3 of 3 connections, of which all but one have waited <waited> ms
    When another connection is opened
    Then that connection is <end>

    Examples:
      | waited | end                            |
      | 999    | refused                        |
      | 1000   | opened in place of the longest |

  # The load: as above, and a caller reads its answer slowly.
  Scenario: a connection on which an answer is sent outlasts idle ones
    Given 3 of 3 connections, of which all but one have waited 2000 ms
    And the one that has waited longest is sent an answer
    When another connection is opened
    Then the idle one is closed, and what it has sent is not run
