Feature: A request whose shard is on its way to the worker
  A worker learns of a shard with its next grants.  What can still be run then
  waits for them; the rest is sent away at once and told when to come back.

  Background:
    Given a gate whose worker gets its next grants in 300 ms

  Scenario: a request that has the time waits, and runs
    When a request with 1000 ms left comes
    Then it was answered by the worker after 300 ms

  Scenario: a request that has too little time left is sent away at once
    When a request with 400 ms left comes
    Then it was returned as "not-owner" at once
    And its caller is told to come again after 450 ms

  Scenario: a request whose shard gets another owner waits no longer
    Given the shard is closed after 100 ms
    When a request with 1000 ms left comes
    Then it was returned as "not-owner" after 100 ms

  # Guards against doors of a large fleet that don't know of a move.
  Scenario: a request for a shard that has moved is told who owns it
    Given the gate knows that the shard has moved to "b#1"
    When a request with 1000 ms left comes
    Then it was told first that "b#1" owns the shard
    And it was returned as "not-owner" at once

  # Guards against answers lost with the process of a node that ends.
  Scenario: a request that comes after the gate was closed goes elsewhere
    Given the gate is closed for the end of its node
    When a request for no shard comes
    Then it was returned as "not-owner" at once

  # Guards against callers that wait for an answer that nobody makes any more.
  Scenario: a request whose task fails is answered at once
    Given the gate meets a fault when it runs a request
    When a request for no shard comes
    Then it was answered with a fault at once, as one that may have run

  # Guards against places in a queue that are kept for callers that left.
  Scenario: a request leaves the queue of a gate when its caller has gone
    Given the gate runs as many requests as its worker takes
    When one more request comes and its caller leaves
    Then no request waits at the gate
    And the request that left did not run

  # Guards against faults at a gate for callers that left on the way.
  Scenario: a request whose caller has gone before it comes ends without a fault
    Given the gate runs as many requests as its worker takes
    When a request comes after it was cancelled
    Then no request waits at the gate
    And the request that left did not run
    And nothing is told but that it was cancelled

  # Guards against slots that are kept for downloads on their way (issue 30).
  Scenario: an answer that is slow to leave keeps no slot of the worker
    Given a gate whose answers leave when the test says so
    When as many requests come as its worker takes, and one more
    Then all of them were answered by the worker
    And the gate counts all of them until their answers have left

  # Guards against logs that can't tell a call sent away from a download.
  Scenario Outline: the line about a returned request tells its rank
    Given the gate is closed for the end of its node
    When a request of rank <rank> comes
    Then the line about it tells rank <rank>

    Examples:
      | rank |
      | 0    |
      | 2    |

  # Guards against requests that are sent away while nobody can tell which
  # other gates had slots free.
  Scenario: a gate tells what it carried and sent away
    Given the gate runs as many requests as its worker takes
    When 9 more requests of one key come within 500 ms
    And the gate tells its load
    Then it told of 4 busy slots, 4 requests let in and 5 sent away
