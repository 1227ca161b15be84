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
