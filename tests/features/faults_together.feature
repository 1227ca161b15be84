Feature: Faults of several things at once
  Six nodes in three failure domains, under load.

  Background:
    Given a shared deployment of 6 nodes
    And callers that go on until they are stopped

  Scenario: an owner is lost inside an outage of the store
    When the store is out of service
    And the owner of a key is killed
    Then every key is served
    When the store is back in service
    And everything is mended
    Then every key is served
    And the callers and the journals agree

  Scenario: a failure domain is lost
    When the failure domain of the owner of a key is lost
    Then every key is served
    When everything is mended
    Then every key is served
    And the callers and the journals agree

  Scenario: one is killed and another frozen
    When the owner of a key is killed
    And one of the others is frozen
    And 2 s pass
    Then every key is served
    When everything is mended
    Then every key is served
    And the callers and the journals agree

  Scenario: the store loses answers while shards move
    When the owner of a key is killed
    And the store is losing answers
    And everything is mended
    Then every key is served
    And the callers and the journals agree
