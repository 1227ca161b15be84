Feature: Open connections that go silent for good
  Both ends stay open, nothing more is passed on, and new connections work.  What
  depends on such a connection is whole again within its bound in docs/DESIGN.md.

  # Guards against a watch that waits 12 s or 32 s for an answer that was lost.
  Scenario Outline: a change of the <scope> arrives although the watch is silent
    Given a node that watches the <scope> of a store behind a relay
    When its open connections go silent for good
    And the <scope> changes in the store
    Then the node has the change within 5000 ms

    Examples:
      | scope         |
      | records       |
      | configuration |

  # Guards against requests that wait for a link that went silent until their
  # time or the budget of retries is over.
  Scenario Outline: <method> requests on links that went silent are served
    Given a shared deployment of 4 nodes
    When the open links between all nodes go silent for good
    And 60 <method> requests for different keys are sent to one node
    Then each of them is served within 3000 ms, and ran once

    Examples:
      | method |
      | POST   |
      | GET    |

  # Guards against requests that lose one silent connection after the other.
  Scenario: requests reach the worker after one found that its pool is silent
    Given a worker behind a relay, with 6 connections in the pool
    When its open connections go silent for good
    And a request of 700 ms to the worker gets no answer
    Then 6 requests of 700 ms to the worker at the same time are answered

  # Guards against a lease that lapses because its witnesses' links are silent.
  Scenario: a lease is renewed in time over links that went silent
    Given a link to a witness behind a relay
    When its open connections go silent for good
    Then a renewal that is sent every 400 ms is answered within 1450 ms
