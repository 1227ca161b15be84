Feature: Faults of several things at once
  Six nodes in three failure domains, under load.

  Background:
    Given a shared deployment of 6 nodes
    And callers that send requests until they are stopped

  Scenario: an owner is lost inside an outage of the store
    When the store is out of service
    And the owner of a key is killed
    Then every key is served
    When the store is back in service
    And all faults are repaired
    Then every key is served
    And the callers and the journals agree

  Scenario: a failure domain is lost
    When the failure domain of the owner of a key is lost
    Then every key is served
    When all faults are repaired
    Then every key is served
    And the callers and the journals agree

  Scenario: one node is killed and another is frozen
    When the owner of a key is killed
    And another node is frozen
    And 2 s pass
    Then every key is served
    When all faults are repaired
    Then every key is served
    And the callers and the journals agree

  Scenario: the store loses answers while shards move
    When the owner of a key is killed
    And the store is losing answers
    And all faults are repaired
    Then every key is served
    And the callers and the journals agree

  # Guards against payments that are refused for ten minutes after a lapse.
  Scenario: all nodes are cut from each other until they have joined anew
    When all nodes are cut from each other
    Then every node joined again under a new incarnation
    When all faults are repaired
    Then every key is served
    And a payment for every key is answered
    And the callers and the journals agree
