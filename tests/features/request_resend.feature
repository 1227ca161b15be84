Feature: Payments and their resends, with real processes

  Background:
    Given a deployment of the nodes
      | node     | failure_domain | service       |
      | portal-1 | caerdydd       | trader-portal |
      | portal-2 | abertawe       | trader-portal |
      | portal-3 | wrecsam        | trader-portal |
      | portal-4 | wrecsam        | trader-portal |
    And the applied configuration
      """
      {"services": {"trader-portal": {
        "key": {"source": "header", "name": "Kiosk"}, "shards": 8}}}
      """
    And the deployment of "trader-portal" is settled
    When 30 payments are made, and each is sent again to another node

  Scenario: a resend after the loss of an owner
    Given the node "portal-3" is killed
    When every payment is sent again until it has a final answer
    Then every payment ran once and each resend got its answer

  Scenario: a resend after every shard has moved
    When the node "portal-2" is stopped
    And every payment is sent again until it has a final answer
    Then every payment ran once and each resend got its answer

  Scenario: a resend of a request that ran when its owner was lost
    When the owner of its key is killed while a payment runs
    And it is sent again until its key has an owner
    Then it ran once and the resend was answered that it may have run
