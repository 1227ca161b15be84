Feature: What a worker says about itself in its answers
  A worker in need names the rate of requests that it takes, and one that is
  about to end says so.  Real nodes run between stand-ins of the platform.

  Background:
    Given reporting workers of the sharded service "portal" and of the service "docs"
      | node  | domain | service |
      | p1    | a      | portal  |
      | p2    | b      | portal  |
      | p3    | c      | portal  |
      | d1    | a      | docs    |

  # Guards against sending a worker more than the rate that it names (issue 36).
  Scenario: a worker that names a limit is sent no more by all nodes together
    When all nodes request keys of the worker of "p1" for 8 s
    And its answers name a limit of 12 requests a second after 1 s
    Then within any 4 s it got no more requests than the limit allows
    And every request was answered

  # Guards against forgetting the limit with a node's process (issue 36).
  Scenario: the limit of a worker holds while its node is killed and restarted
    When all nodes request keys of the worker of "p1" for 14 s
    And its answers name a limit of 12 requests a second after 1 s
    And the process of its node is killed and restarted after 4 s
    Then within any 4 s it got no more requests than the limit allows

  # Guards against shards that come to a worker in need with all their requests.
  Scenario Outline: two workers in need get the shards of a node that is <ended>
    When all nodes request keys of the worker of "p1" for 10 s
    And its answers name a limit of 12 requests a second after 1 s
    And the answers of the worker of "p2" name that limit, too
    And the process of node "p3" is <ended> after 3 s
    Then within any 4 s it got no more requests than the limit allows
    And within any 4 s the worker of "p2" got no more than that

    Examples:
      | ended   |
      | killed  |
      | stopped |

  # Guards against sending requests to a worker that is about to end (issue 36).
  Scenario Outline: a worker that says in its answers that it leaves gets no requests
    Given the store is <store>
    When all nodes request keys of the worker of "p1" for 8 s
    And its answers say that it leaves after 1 s
    Then it got no requests that were sent 2 s later

    Examples:
      | store     |
      | reachable |
      | away      |

  # Guards against forgetting with a node's process that its worker leaves.
  Scenario: a node that is killed and restarted sends no requests to a leaving worker
    When all nodes request keys of the worker of "p1" for 10 s
    And its answers say that it leaves after 1 s
    And the process of its node is killed and restarted after 2 s
    Then it got no requests that were sent 2 s later
