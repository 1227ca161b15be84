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
