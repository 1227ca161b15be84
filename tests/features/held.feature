Feature: Requests are not held past the timeout of their route
  Callers that would wait longer get an answer, or the end of their connection,
  when the timeout has passed since their first byte.

  # Guards against time that nobody counts: while a body comes in, while it waits
  # for its way to another node, and while it is sent there.
  Scenario Outline: <count> <requests> while <what> of "<node>" stands still
    Given 3 VMs of the sharded service "portal" with a route timeout of 800 ms
    When <what> of "<node>" stands still and its keys get <count> <requests> at "p1"
    Then at most a quarter of them have no answer 500 ms after the timeout

    Examples:
      | what       | node | count | requests                          |
      | the worker | p1   | 12    | requests whose body comes slowly  |
      | the worker | p2   | 12    | requests whose body comes slowly  |
      | the worker | p2   | 12    | requests without a body           |
      | the node   | p2   | 12    | requests without a body           |
      | the node   | p2   | 12    | payments                          |
      | the node   | p2   | 36    | payments with a long body         |
      | the node   | p2   | 100   | payments of 130 KB                |

  # Guards against requests that are answered by a timeout that was replaced.
  Scenario: a timeout that is shortened while a node stands still
    Given 3 VMs of the sharded service "portal" with a route timeout of 4000 ms
    When the route timeout becomes 800 ms, and 2000 ms pass
    And the node of "p2" stands still and its keys get 12 requests without a body at "p1"
    Then at most a quarter of them have no answer 500 ms after the timeout
